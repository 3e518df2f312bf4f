"""Tests that an accepted configuration change is in effect on all hosts."""

import asyncio
import functools
import unittest

import msgspec
from hypothesis import example, given, settings as hypothesis_settings, strategies

from goldcrestmoor.clock import Deadline
from goldcrestmoor.errors import ErrorKind
from goldcrestmoor.version.configuration import document as documents
from goldcrestmoor.version.configuration.cut_off import (
    CutOffPart,
    Proposal,
    UpstreamLocation,
    cut_off_part,
    intersect,
)
from goldcrestmoor.version.configuration.document import Configuration
from goldcrestmoor.version.configuration.driver import Accepted, Refused, Unknown
from goldcrestmoor.version.configuration.lease import MAX_PROPOSALS
from goldcrestmoor.version.configuration.messages import PrepareCutOff
from goldcrestmoor.version.configuration.store import Head
from test import _common
from test._configuration import World, change_function

ALTER_TISZA_SHARE = "ALTER ACCOUNT tisza SHARE %d"
ALTER_TISZA_CUTOFF_STALENESS = "ALTER ACCOUNT tisza CUTOFF STALENESS %d"


class DocumentTest(unittest.TestCase):
    def test_only_a_complete_document_is_decoded(self):
        data = documents.encode(Configuration(7))
        self.assertEqual(documents.decode(data), Configuration(7))
        for broken in (b"", b"{}", data[:-1], data[:-9], b"x" + data):
            with self.assertRaises(msgspec.MsgspecError):
                documents.decode(broken)


class ConfigurationTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.world = World(3)
        self.clock, self.platform = self.world.clock, self.world.platform
        self.h0, self.h1, self.h2 = self.world.hosts.values()
        await self.world.set_up()

    async def change(self, text, host=None, base=None):
        return await (host or self.h0).driver.change(base, change_function(text))

    async def test_a_change_is_accepted_only_after_older_leases_have_expired(self):
        settings = self.world.settings
        answer = await self.change(ALTER_TISZA_SHARE % 5)
        self.assertEqual(answer.version, 2)
        self.assertGreaterEqual(
            answer.elapsed_ms, settings.lease_ms + settings.lease_margin_ms
        )
        self.assertLessEqual(answer.elapsed_ms, 15_000)

    async def test_of_two_concurrent_changes_one_is_rejected_with_the_current_version(
        self,
    ):
        answers = await asyncio.gather(
            self.change(ALTER_TISZA_SHARE % 5, self.h0, 1),
            self.change(ALTER_TISZA_SHARE % 6, self.h1, 1),
        )
        self.assertEqual({type(answer) for answer in answers}, {Accepted, Refused})
        refused = next(a for a in answers if isinstance(a, Refused))
        self.assertEqual((refused.kind, refused.version), ("config_conflict", 2))

    async def test_a_lost_reply_is_resolved_whether_or_not_the_write_took_effect(self):
        for fault in ("lose_after", "lose_before"):
            setattr(self.platform, fault, 1)
            before = self.platform.writes
            answer = await self.change(ALTER_TISZA_SHARE % 5)
            self.assertIsInstance(answer, Accepted)
            self.assertEqual(self.platform.writes, before + 1)

    async def test_a_lost_reply_is_resolved_after_a_later_write(self):
        store = self.h1.driver._store

        async def overtake():
            head = await store.read_head()
            deadline = Deadline.after(self.clock, 1000)
            await store.write(head, self.h1.lease.configuration, "other", deadline)

        self.platform.lose_after = 1
        self._after_write(overtake)
        answer = await self.change(ALTER_TISZA_SHARE % 5)
        self.assertEqual((type(answer), answer.version), (Accepted, 2))
        self.assertEqual((await store.read_head()).version, 3)

    async def test_an_unresolved_write_is_unknown_within_the_deadline(self):
        async def cut():
            self.h0.platform.cut = True

        self.platform.lose_after = 1
        self._after_write(cut)
        started_ms = self.clock.now_ms()
        answer = await self.change(ALTER_TISZA_SHARE % 5)
        self.assertIsInstance(answer, Unknown)
        self.assertLessEqual(self.clock.now_ms() - started_ms, 15_000)

    async def test_a_host_paused_during_a_change_resumes_with_cut_off_terms(self):
        await self.change(ALTER_TISZA_SHARE % 5)
        view = self.h1.lease.view()
        self.assertTrue(view.lease_expired)
        account = view.configuration.accounts_by_name["tisza"]
        self.assertEqual((account.share, account.staleness_bound), (2, 2))
        self.assertNotIn("derwent", view.configuration.accounts_by_name)
        self.assertIn("u1", view.configuration.upstreams_by_name)

    async def test_the_lease_starts_when_the_read_is_sent(self):
        await self.h1.begin_poll()
        self.world.lapse()
        await self.h1.end_poll()
        self.assertTrue(self.h1.lease.view().lease_expired)

    async def test_an_older_head_is_not_adopted_and_renews_no_lease(self):
        old = dict(self.platform.row_by_key)
        await self.change(ALTER_TISZA_SHARE % 5)
        await self.world.poll_all()
        self.platform.row_by_key = old
        self.world.lapse()
        self.assertFalse(await self.h1.lease.poll())
        self.assertTrue(self.h1.lease.view().lease_expired)
        self.assertEqual(self.h1.lease.version, 2)

    async def test_a_corrupt_document_is_not_adopted_and_renews_no_lease(self):
        await self.change(ALTER_TISZA_SHARE % 5)
        for key in self.platform.data_by_key:
            self.platform.data_by_key[key] = b"{}"
        self.assertFalse(await self.h1.lease.poll())
        self.assertEqual(self.h1.lease.version, 1)

    async def test_a_rejection_of_cut_off_terms_names_the_unresponsive_hosts(self):
        self.world.network.silent = {"h1", "h2"}
        answer = await self.change(ALTER_TISZA_CUTOFF_STALENESS % 1)
        self.assertIsInstance(answer, Refused)
        self.assertEqual(answer.unresponsive_hosts, ("h1", "h2"))
        self.assertIn("h1, h2", answer.reason)
        self.assertIsInstance(await self.change(ALTER_TISZA_SHARE % 5), Accepted)

    async def test_pending_terms_are_the_stricter_ones_until_a_newer_head(self):
        self.world.network.silent = {"h2"}
        await self.change(ALTER_TISZA_CUTOFF_STALENESS % 1)
        self.world.lapse()
        self.assertEqual(self._staleness(self.h1), 1)
        await self.change(ALTER_TISZA_SHARE % 5)
        await self.world.poll_all()
        self.world.lapse()
        self.assertEqual(self._staleness(self.h1), 2)

    async def test_looser_pending_terms_leave_the_old_ones(self):
        self.h1.platform.cut = True
        answer = await self.change(ALTER_TISZA_CUTOFF_STALENESS % 3)
        self.assertIsInstance(answer, Accepted)
        self.assertEqual(self._staleness(self.h1), 2)

    async def test_a_pending_new_token_accepts_neither_token(self):
        self.world.network.silent = {"h2"}
        await self.change("ALTER ACCOUNT tisza TOKEN 'new'")
        self.world.lapse()
        view = self.h1.lease.view()
        self.assertEqual(
            (view.lease_expired, view.configuration.accounts_by_name), (True, {})
        )

    async def test_a_dropped_account_is_not_served_after_the_lease_has_expired(self):
        self.h1.platform.cut = True
        answer = await self.change("DROP ACCOUNT tisza")
        self.assertIsInstance(answer, Accepted)
        view = self.h1.lease.view()
        self.assertEqual(
            (view.lease_expired, view.configuration.accounts_by_name), (True, {})
        )

    async def test_a_peer_offers_only_the_rest_of_its_lease(self):
        self.clock.ms += 4000
        late_host = self.world.start_host("h3")
        late_host.platform.cut = True
        self.h0.links.after_answer = functools.partial(self._advance_ms, 1000)
        self.assertFalse(await late_host.lease.poll())
        await late_host.lease.fetch_from_peers()
        self.assertTrue(late_host.lease.ready())
        self.assertFalse(late_host.lease.view().lease_expired)
        end_ms = self.h0.lease._lease_end_ms
        self.clock.ms = end_ms
        self.assertTrue(late_host.lease.view().lease_expired)

    async def test_a_peer_with_an_expired_lease_offers_an_expired_view(self):
        self.world.lapse()
        late_host = self.world.start_host("h3")
        late_host.platform.cut = True
        await late_host.lease.fetch_from_peers()
        view = late_host.lease.view()
        self.assertEqual((view.lease_expired, late_host.lease.version), (True, 1))
        self.assertEqual(list(view.configuration.accounts_by_name), ["tisza"])

    async def test_hosts_that_received_terms_from_a_peer_must_acknowledge(self):
        late_host = self.world.start_host("h3")
        late_host.platform.cut = True
        await late_host.lease.fetch_from_peers()
        self.platform.host_ids.remove("h3")
        del self.world.network.incarnation_by_host["h3"]
        self.assertIsInstance(
            await self.change(ALTER_TISZA_CUTOFF_STALENESS % 1), Accepted
        )
        self.assertEqual(self._staleness(late_host), 1)
        self.world.network.silent = {"h3"}
        answer = await self.change(ALTER_TISZA_CUTOFF_STALENESS % 0)
        self.assertEqual(answer.unresponsive_hosts, ("h3",))

    async def test_a_restarted_host_that_fetched_from_a_peer_is_asked_again(self):
        async def restart_h1(message):
            if isinstance(message, PrepareCutOff):
                self.h2.links.before_answer = None
                restarted = self.world.start_host("h1", 2)
                restarted.platform.cut = True
                restarted.lease._peers = lambda: ["h2"]
                await restarted.lease.fetch_from_peers()

        self.h2.links.before_answer = restart_h1
        self.assertIsInstance(
            await self.change(ALTER_TISZA_CUTOFF_STALENESS % 1), Accepted
        )
        restarted = self.world.hosts["h1"]
        self.assertIsNot(restarted, self.h1)
        self.assertEqual(self._staleness(restarted), 1)

    async def test_an_offer_contains_the_pending_terms(self):
        self.world.network.silent = {"h2"}
        await self.change(ALTER_TISZA_CUTOFF_STALENESS % 1)
        late_host = self.world.start_host("h3")
        late_host.platform.cut = True
        await late_host.lease.fetch_from_peers()
        self.world.lapse()
        self.assertEqual(self._staleness(late_host), 1)

    async def test_of_two_proposals_only_the_later_can_take_effect(self):
        writes = []

        async def propose_another():
            writes.append(True)
            if len(writes) == 2:
                await self.h1.driver._store.save_proposal(Proposal("other", 1))

        self.platform.before_write = propose_another
        answer = await self.change(ALTER_TISZA_CUTOFF_STALENESS % 1)
        self.assertEqual((type(answer), answer.version), (Refused, 1))

    async def test_refused_terms_leave_room_for_later_ones(self):
        self.world.network.silent = {"h2"}
        for bound in range(MAX_PROPOSALS + 1):
            answer = await self.change(ALTER_TISZA_CUTOFF_STALENESS % (bound % 2))
            self.assertEqual(answer.unresponsive_hosts, ("h2",))
        self.world.network.silent = set()
        self.assertIsInstance(
            await self.change(ALTER_TISZA_CUTOFF_STALENESS % 1), Accepted
        )

    async def test_a_host_that_starts_during_a_proposal_reads_it(self):
        async def start():
            self.platform.before_write = None
            late_host = self.world.start_host("h3")
            await late_host.lease.poll()
            late_host.platform.cut = True

        writes = []

        async def before_write():
            writes.append(True)
            if len(writes) == 2:
                await start()

        self.platform.before_write = before_write
        answer = await self.change(ALTER_TISZA_CUTOFF_STALENESS % 1)
        self.assertIsInstance(answer, Accepted)
        late_host = self.world.hosts["h3"]
        self.assertEqual((late_host.lease.version, self._staleness(late_host)), (1, 1))

    async def test_an_invalid_change_is_rejected(self):
        answer = await self.change("ALTER ACCOUNT tisza POOLS (gone)")
        self.assertEqual((type(answer), answer.version), (Refused, 1))
        answer = await self.change("DROP ACCOUNT gone")
        self.assertEqual(answer.kind, ErrorKind.NOT_FOUND)

    async def test_a_change_is_rejected_while_the_platform_is_unavailable(self):
        self.h0.platform.cut = True
        answer = await self.change(ALTER_TISZA_SHARE % 5)
        self.assertEqual(answer.kind, ErrorKind.PLATFORM_UNAVAILABLE)

    async def test_polling_adopts_and_calls_back(self):
        adopted = []
        self.h1.lease.add_callback(adopted.append)
        await self.change(ALTER_TISZA_SHARE % 5)
        task = asyncio.create_task(self.h1.lease.run())
        await _common.eventually(lambda: adopted)
        task.cancel()
        self.assertEqual(adopted[0].version, 2)

    def _staleness(self, host):
        view = host.lease.view()
        self.assertTrue(view.lease_expired)
        return view.configuration.accounts_by_name["tisza"].staleness_bound

    def _after_write(self, act):
        """Call a function before the first read that follows the driver's write."""
        read = self.h0.platform.get
        writes = self.platform.writes

        async def get(*key):
            if self.platform.writes > writes:
                self.h0.platform.get = read
                await act()
            return await read(*key)

        self.h0.platform.get = get

    def _advance_ms(self, duration_ms):
        self.clock.ms += duration_ms


STATEMENTS = (
    ALTER_TISZA_SHARE % 7,
    ALTER_TISZA_CUTOFF_STALENESS % 1,
    ALTER_TISZA_CUTOFF_STALENESS % 3,
    "DROP ACCOUNT tisza",
    "CREATE ACCOUNT tisza KIND trainer TOKEN 'c' POOLS (lm) SHARE 2",
    "DROP UPSTREAM u1",
    "CREATE UPSTREAM u1 POOL lm ZONE zone-b ADDRESS '127.0.0.2' PORT 2",
    "ALTER ACCOUNT derwent CUTOFF SERVE on",
)
HOSTS = strategies.integers(0, 2)
ACTIONS = strategies.one_of(
    strategies.tuples(
        strategies.sampled_from(
            ["poll", "begin_poll", "end_poll", "cut", "heal", "silence", "restart"]
        ),
        HOSTS,
    ),
    strategies.tuples(strategies.just("advance"), strategies.integers(1, 7000)),
    strategies.tuples(
        strategies.sampled_from(["lose_after", "lose_before", "cut_when_lost"]), HOSTS
    ),
    strategies.just(("speak", 0)),
)
HOST_AND_STATEMENT = strategies.tuples(HOSTS, strategies.sampled_from(STATEMENTS))
CHANGES = strategies.tuples(
    strategies.lists(HOST_AND_STATEMENT, min_size=1, max_size=2),
    strategies.lists(ACTIONS, max_size=10),
)


class ChangeSequence:
    """A sequence of changes, with faults and other events between their steps."""

    def __init__(self):
        self.world = World(3)
        self.accepted = (0, Configuration())
        self.actions = []
        self.outcomes = []

    async def run(self, changes):
        world = self.world
        await world.set_up()
        world.clock.on_sleep = world.platform.before_write = self.step
        for concurrent, actions in changes:
            self.actions = list(actions)
            await asyncio.gather(*(self._change(*args) for args in concurrent))
            while self.actions:
                await self.step()
        for host in world.hosts.values():
            await host.end_poll()

    async def _change(self, number, text):
        driver = self.world.hosts[f"h{number}"].driver
        answer = await driver.change(None, change_function(text))
        self.outcomes.append(type(answer))
        if isinstance(answer, Accepted) and answer.version > self.accepted[0]:
            self.accepted = answer.version, self._document(answer.version)
        self.check()

    async def step(self):
        for _ in range(2):
            if not self.actions:
                return
            action = self.actions.pop(0)
            await self._act(*action)
            self.check()

    async def _act(self, name, number):
        world = self.world
        host = world.hosts.get(f"h{number}")
        match name:
            case "poll" if host.poll_task is None:
                await host.lease.poll()
            case "begin_poll" if not host.platform.cut:
                await host.begin_poll()
            case "end_poll":
                await host.end_poll()
            case "cut" | "heal":
                host.platform.cut = name == "cut"
            case "silence":
                world.network.silent.add(host.id)
            case "speak":
                world.network.silent.clear()
            case "lose_after" | "lose_before" | "cut_when_lost":
                setattr(world.platform, name, 1)
            case "advance":
                world.clock.ms += number
            case "restart":
                await self._restart(host)

    async def _restart(self, host):
        await host.end_poll()
        incarnation = self.world.network.incarnation_by_host[host.id] + 1
        restarted_host = self.world.start_host(host.id, incarnation)
        restarted_host.platform.cut = host.platform.cut
        if not await restarted_host.lease.poll():
            await restarted_host.lease.fetch_from_peers()

    def _document(self, version):
        # Writers that lost a race also leave documents of the same version.
        platform = self.world.platform
        row = platform.read(("configuration", "head"))
        head = msgspec.json.decode(row.value, type=Head)
        tokens = (r.token for r in head.recent_tokens if r.version == version)
        key = f"configuration/{version}-{next(tokens)}"
        return documents.decode(platform.data_by_key[key])

    def check(self):
        version, configuration = self.accepted
        bound = cut_off_part(configuration)
        for host in self.world.hosts.values():
            view = host.lease.view()
            if not host.lease.ready() or view.configuration.version >= version:
                continue
            assert view.lease_expired, f"{host.id} acts on {view.configuration.version}"
            upstreams = view.configuration.upstreams_by_name.values()
            part = CutOffPart(
                view.configuration.accounts_by_name,
                {
                    u.name: UpstreamLocation(u.pool, u.address, u.port)
                    for u in upstreams
                },
            )
            assert intersect(part, _as_proposal(part, bound)) == part, host.id


def _as_proposal(part, bound):
    """Return the proposal that reduces a part to what a bound allows."""
    accounts = {
        name: bound.accounts_by_name.get(name) for name in part.accounts_by_name
    }
    places = {
        name: bound.places_by_upstream.get(name) for name in part.places_by_upstream
    }
    return Proposal("", 0, accounts, places)


# Three writers race and each writes a document of version 2; only one wins.
RACE_FOR_ONE_VERSION = [
    (
        [(0, "DROP UPSTREAM u1"), (0, "DROP ACCOUNT tisza")],
        [
            ("advance", 126),
            ("speak", 0),
            ("advance", 1048),
            ("advance", 2508),
            ("advance", 4395),
        ],
    ),
    ([(2, "DROP ACCOUNT tisza")], [("restart", 0)]),
]


class ChangeSequenceTest(unittest.TestCase):
    def test_after_acceptance_no_host_uses_older_terms(self):
        outcomes = set()

        @hypothesis_settings(max_examples=200, deadline=None, derandomize=True)
        @given(strategies.lists(CHANGES, min_size=1, max_size=5))
        @example(RACE_FOR_ONE_VERSION)
        def run(changes):
            sequence = ChangeSequence()
            asyncio.run(sequence.run(changes))
            outcomes.update(sequence.outcomes)

        run()
        self.assertEqual({Accepted, Refused, Unknown}, outcomes)
