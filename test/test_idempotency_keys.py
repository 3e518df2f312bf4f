"""A request with a key is run at most once, as counted by the application itself."""

import asyncio
import types
from unittest import mock

from goldcrestmoor.adapters.table import CheckFailed, Committed, Row
from goldcrestmoor.clock import Clock, Deadline
from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.request.claim_sweeper import RETENTION_MS, ClaimSweeper
from goldcrestmoor.request.claims import SEND_WINDOW_MS, ClaimedKeys
from goldcrestmoor.request.idempotency_keys import IdempotencyKeys
from goldcrestmoor.request.key_mint import KeyMint
from goldcrestmoor.request.minted_keys import MintedKeys
from goldcrestmoor.request.outcome_cache import OutcomeCache
from test import _common, _request_fakes as fakes
from test._common import eventually
from test.standins import app as standin
from test.test_apps import AppsTestCase, make_request

HOSTS = ("host-a1", "host-a.2")
ACCOUNT = "clinic"


class ShiftedClock(Clock):
    """The real clock, which a test can set forward as a process pause would."""

    __slots__ = ("ahead_ms",)

    def __init__(self):
        self.ahead_ms = 0

    def now_ms(self):
        return super().now_ms() + self.ahead_ms


class FakeTable:
    """A table service with outages, lost replies and lost writes."""

    def __init__(self):
        self.row_by_key = {}
        self.down = False
        self.lost_replies = 0
        self.lost_writes = 0

    async def scan(self, table, prefix):
        rows = self.row_by_key.values()
        return [row for row in rows if row.key.startswith(prefix)]

    async def transact(self, checks, writes):
        await asyncio.sleep(0)
        if self.down:
            raise ServiceError(ErrorKind.PLATFORM_UNAVAILABLE)
        if self.lost_writes:
            self.lost_writes -= 1
            raise ServiceError(ErrorKind.OUTCOME_UNKNOWN)
        result = self._apply(checks, writes)
        if self.lost_replies:
            self.lost_replies -= 1
            raise ServiceError(ErrorKind.OUTCOME_UNKNOWN)
        return result

    def _apply(self, checks, writes):
        for check in checks:
            row = self.row_by_key.get(check.key)
            if (row.version if row else 0) != check.version:
                return CheckFailed(row, check.table, check.key)
        versions = {}
        for write in writes:
            row = self.row_by_key.pop(write.key, None)
            version = row.version + 1 if row else 1
            if write.value is not None:
                self.row_by_key[write.key] = Row(write.key, version, write.value)
            versions[f"{write.table}/{write.key}"] = version
        return Committed(versions)


class KeysTestCase(AppsTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.account = fakes.account(ACCOUNT)
        self.lease.configuration.accounts_by_name[ACCOUNT] = self.account
        self.table = FakeTable()
        self.network = fakes.FakeNetwork()
        self.membership = fakes.FakeMembership(*HOSTS)
        self.clock_by_host = {host: ShiftedClock() for host in HOSTS}
        self.claims_by_host = {}
        self.keys_by_host = {host: self.make_host(host) for host in HOSTS}

    def make_host(self, host, incarnation=1, **idempotency):
        settings = _common.make_settings(idempotency=idempotency).idempotency
        clock = self.clock_by_host[host]
        applications = self.make_applications()
        applications._clock = clock
        memory = OutcomeCache(clock=clock, settings=settings)
        self.addAsyncCleanup(memory.close)
        mint = KeyMint(
            clock=clock, host_id=host, incarnation=incarnation, secret="secret"
        )
        common = {
            "clock": clock,
            "memory": memory,
            "applications": applications,
            "links": self.network.links(host),
            "settings": settings,
        }
        bound = MintedKeys(
            mint=mint, membership=self.membership, lease=self.lease, **common
        )
        claims = ClaimedKeys(
            host_id=host, incarnation=incarnation, table=self.table, **common
        )
        self.claims_by_host[host] = claims
        return IdempotencyKeys(mint=mint, bound=bound, claims=claims)

    async def send(self, key, host=0, timeout_ms=60_000, **options):
        host = HOSTS[host]
        deadline = Deadline.after(self.clock_by_host[host], timeout_ms)
        return await self.keys_by_host[host].run(
            ACCOUNT, key, make_request(**options), deadline, "r1"
        )

    async def send_error(self, key, **options):
        with self.assertRaises(ServiceError) as caught:
            await self.send(key, **options)
        return caught.exception.kind

    def mint(self, host=0):
        return self.keys_by_host[HOSTS[host]].mint(ACCOUNT)

    def check_ran(self, times):
        self.assertEqual(self.app.count_by_id["POST n1"], times)

    def pause(self, host, duration_ms):
        """Return a callback for ``before_connect`` that sets a host's clock forward."""

        async def advance():
            self.clock_by_host[HOSTS[host]].ahead_ms += duration_ms

        return advance


class EitherKindTest:
    """Tests for both kinds of key; ``new_key`` returns one."""

    async def test_a_repeat_gets_the_recorded_response_through_any_host(self):
        key = self.new_key()
        first = await self.send(key)
        for host in (0, 1):
            self.assertEqual((await self.send(key, host=host)).body, first.body)
        self.check_ran(1)

    async def test_concurrent_repeats_through_two_hosts_run_once(self):
        self.app.mode = standin.SLOW
        key = self.new_key()
        answers = await asyncio.gather(*(self.send(key, host=i % 2) for i in range(20)))
        self.assertEqual(len({answer.body for answer in answers}), 1)
        self.check_ran(1)

    async def test_a_lost_response_is_unknown_and_never_retried(self):
        self.app.mode = standin.CLOSE_AFTER_RUN
        key = self.new_key()
        self.assertEqual(await self.send_error(key), ErrorKind.OUTCOME_UNKNOWN)
        self.app.mode = ""
        for host in (0, 1):
            kind = await self.send_error(key, host=host)
            self.assertEqual(kind, ErrorKind.OUTCOME_UNKNOWN)
        self.check_ran(1)

    async def test_the_same_key_with_another_body_is_rejected(self):
        key = self.new_key()
        await self.send(key)
        for host in (0, 1):
            kind = await self.send_error(key, host=host, body=b"another")
            self.assertEqual(kind, ErrorKind.KEY_REUSED)
        self.check_ran(1)

    async def test_a_request_that_was_not_run_may_be_retried(self):
        dead = fakes.upstream("app-1", "app", port=_common.free_port())
        self.lease.replace(dead)
        key = self.new_key()
        kind = await self.send_error(key)
        self.assertEqual(kind, ErrorKind.UPSTREAM_UNREACHABLE)
        self.lease.replace(fakes.upstream("app-1", "app", port=self.server.port))
        await eventually(lambda: not self.table.row_by_key)
        await self.send(key)
        self.check_ran(1)

    async def test_a_caller_that_disconnects_does_not_stop_the_request(self):
        self.app.mode = standin.SLOW
        key = self.new_key()
        asking = asyncio.create_task(self.send(key))
        await eventually(lambda: self.app.received)
        asking.cancel()
        self.assertEqual((await self.send(key)).status, 201)
        self.check_ran(1)

    async def test_a_repeat_that_cannot_wait_is_in_progress(self):
        self.app.mode = standin.SLOW
        self.app.slow_s = 0.5
        key = self.new_key()
        first = asyncio.create_task(self.send(key))
        await eventually(lambda: self.app.received)
        for host in (0, 1):
            kind = await self.send_error(key, host=host, timeout_ms=20)
            self.assertEqual(kind, ErrorKind.IN_PROGRESS)
        await first
        self.check_ran(1)

    async def test_a_response_too_large_to_cache_is_returned_once(self):
        key = self.new_key()
        answer = await self.send(key, target="/large")
        self.assertEqual(len(answer.body), standin.LARGE_BODY_BYTES)
        for host in (0, 1):
            kind = await self.send_error(key, host=host, target="/large")
            self.assertEqual(kind, ErrorKind.ANSWER_NOT_KEPT)
        self.check_ran(1)


class MintedKeyTest(EitherKindTest, KeysTestCase):
    new_key = KeysTestCase.mint

    async def test_it_works_while_the_platform_is_unavailable(self):
        self.table.down = True
        await self.send(self.mint(), host=1)
        self.check_ran(1)

    async def test_what_a_second_asking_says_is_not_said_of_the_first(self):
        kinds = [ErrorKind.PEER_UNREACHABLE, ErrorKind.FORBIDDEN]
        call = mock.AsyncMock(side_effect=map(ServiceError, kinds))
        self.keys_by_host[HOSTS[1]]._bound._links = types.SimpleNamespace(call=call)
        kind = await self.send_error(self.mint(), host=1)
        self.assertEqual(kind, ErrorKind.OUTCOME_UNKNOWN)
        self.assertEqual(call.await_count, 2)

    async def test_a_restarted_host_without_a_configuration_says_unknown(self):
        key = self.mint()
        self.keys_by_host[HOSTS[0]] = self.make_host(HOSTS[0], incarnation=2)
        self.lease.configuration.accounts_by_name.clear()
        kind = await self.send_error(key, host=1)
        self.assertEqual(kind, ErrorKind.OUTCOME_UNKNOWN)

    async def test_a_dead_or_partitioned_host_is_unknown_and_nothing_is_sent(self):
        key = self.mint()
        self.network.partitioned.add(HOSTS[0])
        kind = await self.send_error(key, host=1)
        self.assertEqual(kind, ErrorKind.OUTCOME_UNKNOWN)
        self.membership.set_state(HOSTS[0], "dead")
        self.network.partitioned.clear()
        kind = await self.send_error(key, host=1)
        self.assertEqual(kind, ErrorKind.OUTCOME_UNKNOWN)
        self.check_ran(0)

    async def test_a_restarted_host_does_not_send(self):
        key = self.mint()
        await self.send(key)
        self.keys_by_host[HOSTS[0]] = self.make_host(HOSTS[0], incarnation=2)
        for host in (0, 1):
            kind = await self.send_error(key, host=host)
            self.assertEqual(kind, ErrorKind.OUTCOME_UNKNOWN)
        self.check_ran(1)

    async def test_an_expired_key_is_never_sent(self):
        key = self.mint()
        self.clock_by_host[HOSTS[0]].ahead_ms += 600_001
        for host in (0, 1):
            kind = await self.send_error(key, host=host)
            self.assertEqual(kind, ErrorKind.KEY_EXPIRED)
        self.check_ran(0)

    async def test_a_key_that_expires_in_a_process_pause_is_not_sent(self):
        self.lease.replace(fakes.upstream("app-0", "app", port=_common.free_port()))
        del self.lease.configuration.upstreams_by_name["app-1"]
        key = self.mint()
        paused = self.pause(0, 600_001)

        async def pause_then_serve():
            await paused()
            self.lease.replace(fakes.upstream("app-1", "app", port=self.server.port))

        self.http.before_connect = pause_then_serve
        kind = await self.send_error(key, timeout_ms=10**7)
        self.assertEqual(kind, ErrorKind.KEY_EXPIRED)
        self.check_ran(0)

    async def test_a_forged_or_foreign_key_is_rejected(self):
        key = self.mint()
        forged = key[:-1] + ("0" if key[-1] != "0" else "1")
        foreign = self.keys_by_host[HOSTS[0]].mint("another")
        for bad in (forged, foreign, "gk1.", "gk1.a.b.c.d.e", "gk1.é"):
            self.assertEqual(await self.send_error(bad), ErrorKind.BAD_REQUEST, bad)

    async def test_a_key_within_its_lifetime_is_never_evicted(self):
        host = HOSTS[0]
        self.keys_by_host[host] = self.make_host(host, max_remembered=2)
        keys = [self.mint() for _ in range(3)]
        await self.send(keys[0])
        await self.send(keys[1])
        self.assertEqual(await self.send_error(keys[2]), ErrorKind.OVERLOADED)
        await self.send(keys[0])
        self.check_ran(2)
        self.clock_by_host[host].ahead_ms += 600_001
        await self.send(self.mint())


class ClaimedKeyTest(EitherKindTest, KeysTestCase):
    def new_key(self):
        return "note-17"

    async def test_nothing_is_sent_while_the_platform_is_unavailable(self):
        self.table.down = True
        kind = await self.send_error("note-17")
        self.assertEqual(kind, ErrorKind.PLATFORM_UNAVAILABLE)
        self.check_ran(0)
        self.table.down = False
        await self.send("note-17")
        self.check_ran(1)

    async def test_a_lost_reply_to_the_claim_is_resolved(self):
        self.table.lost_replies = 1
        await self.send("note-17")
        self.check_ran(1)
        self.table.lost_writes = 1
        await self.send("note-18", note_id="n2")
        self.assertEqual(self.app.count_by_id["POST n2"], 1)

    async def test_a_host_paused_after_its_claim_does_not_send(self):
        transact = self.table.transact

        async def paused(checks, writes):
            result = await transact(checks, writes)
            self.clock_by_host[HOSTS[0]].ahead_ms += SEND_WINDOW_MS
            return result

        self.table.transact = paused
        kind = await self.send_error("note-17")
        self.assertEqual(kind, ErrorKind.QUEUE_TIMEOUT)
        self.check_ran(0)

    async def test_a_claim_of_an_unreachable_host_is_unknown(self):
        self.app.mode = standin.SLOW
        self.app.slow_s = 0.2
        first = asyncio.create_task(self.send("note-17"))
        await eventually(lambda: self.app.received)
        self.network.partitioned.add(HOSTS[0])
        kind = await self.send_error("note-17", host=1)
        self.assertEqual(kind, ErrorKind.OUTCOME_UNKNOWN)
        await first
        self.check_ran(1)

    async def test_an_outcome_outlives_its_host(self):
        first = await self.send("note-17")
        row = self.table.row_by_key
        await eventually(lambda: row[f"{ACCOUNT}/note-17"].version == 2)
        self.network.partitioned.add(HOSTS[0])
        self.assertEqual((await self.send("note-17", host=1)).body, first.body)
        self.check_ran(1)

    async def test_only_old_claims_are_deleted(self):
        await self.send("note-17")
        await eventually(
            lambda: self.table.row_by_key[f"{ACCOUNT}/note-17"].version > 1
        )
        clock = self.clock_by_host[HOSTS[0]]
        sweeper = ClaimSweeper(
            clock=clock,
            host_id=HOSTS[0],
            table=self.table,
            membership=self.membership,
            lease=self.lease,
        )
        self.assertEqual(await sweeper.sweep(), 0)
        wall_ms = clock.wall_ms()
        with mock.patch.object(
            ShiftedClock, "wall_ms", lambda self: wall_ms + RETENTION_MS + 1
        ):
            self.assertEqual(await sweeper.sweep(), 1)
        self.assertEqual(self.table.row_by_key, {})

    async def test_a_malformed_key_is_rejected(self):
        for key in ("", "a/b", "x" * 129, "a b"):
            self.assertEqual(await self.send_error(key), ErrorKind.BAD_REQUEST)


class OutageTest(KeysTestCase):
    async def test_notes_accepted_while_the_platform_is_unavailable(self):
        self.table.down = True
        accepted = types.SimpleNamespace(minted=0, claimed=0)
        for i in range(20):
            await self.send(self.mint(i % 2), host=(i + 1) % 2, note_id=f"m{i}")
            accepted.minted += 1
            kind = await self.send_error(f"c{i}", note_id=f"c{i}")
            self.assertEqual(kind, ErrorKind.PLATFORM_UNAVAILABLE)
        self.assertEqual((accepted.minted, accepted.claimed), (20, 0))
        self.assertEqual(sum(self.app.count_by_id.values()), 20)
