"""Each user of the rows of hosts, with rows that are dead, missing, new or different.

Rows of hosts that are gone stay for some minutes; a row may be missing for a moment, or
reach two hosts at different times. ``test_stream_records`` has the records of streams,
``test_software_versions`` the log of versions.
"""

import asyncio
import random
import unittest
from types import SimpleNamespace

import msgspec

from goldcrestmoor.adapters.table import Change
from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.process.configuration_age import PeerReply, choose_peers
from goldcrestmoor.process.host_calls import HostCalls
from goldcrestmoor.process.host_rows import HostRow, HostRows
from goldcrestmoor.process.store_connectivity import (
    CHECK_INTERVAL_MS,
    StoreConnectivity,
)
from goldcrestmoor.process.usage_counts import commit_delay_ms
from goldcrestmoor.request.crash_history import (
    BLOCK_MS,
    Crash,
    CrashHistory,
    next_trial_ms,
)
from goldcrestmoor.request.limit_budget import MAX_OWNERS, owners_of
from goldcrestmoor.request.path_choice import hosts_to_ask
from test._fleet import ManualClock

LIVE = tuple(f"host-{n}" for n in range(11))
DEAD = tuple(f"dead-{n}" for n in range(43))
ZONES = ("zone-a", "zone-b", "zone-c")
SERVER = SimpleNamespace(name="server", zone="zone-a")


def rows_of(live=LIVE, dead=DEAD, suspected_ms=0):
    """Return the rows of live hosts and of those that are gone, in three zones."""
    rows = {}
    for number, host in enumerate((*live, *dead)):
        mark_ms = suspected_ms if host in dead else 0
        zone = ZONES[number % len(ZONES)]
        rows[host] = HostRow(zone, host, 1, started_ms=1, suspected_ms=mark_ms)
    return rows


class Hosts:
    """Calls to hosts by their address, of which only the live ones reply."""

    def __init__(self, rows):
        self.clock = ManualClock()
        self.asked = []
        self.calls = HostCalls(clock=self.clock, http=self, row_by_host=lambda: rows)

    async def request(self, address, *call, **options):
        self.asked.append(address)
        if address not in LIVE:
            raise ServiceError(ErrorKind.UPSTREAM_UNREACHABLE, "gone")
        return SimpleNamespace(status=200, body=b"{}")


class ChoiceTest(unittest.IsolatedAsyncioTestCase):
    def test_a_host_that_is_believed_to_be_gone_is_chosen_by_nobody(self):
        """All hosts read the same mark, so that they agree on who owns what."""
        marked = Hosts(rows_of(suspected_ms=5)).calls.zone_by_host()
        self.assertEqual(set(marked), {*LIVE})
        self.assertLessEqual(set(owners_of(SERVER, marked)), {*LIVE})

    def test_the_next_owner_of_a_limit_follows_one_that_is_gone(self):
        zones = Hosts(rows_of(dead=())).calls.zone_by_host()
        first, *others = owners_of(SERVER, zones)
        del zones[first]
        self.assertEqual(owners_of(SERVER, zones)[: len(others)], others)
        self.assertEqual(len(owners_of(SERVER, zones)), MAX_OWNERS)

    async def test_hosts_that_gave_no_reply_are_not_asked_for_a_path(self):
        hosts = Hosts(rows_of())
        zones = hosts.calls.zone_by_host()
        decoder = msgspec.json.Decoder(dict)
        for dead in DEAD:
            await hosts.calls.call(dead, "/x", {}, decoder)
        asked = hosts_to_ask(zones, LIVE[0], hosts.calls.is_reachable)
        self.assertTrue(asked)
        self.assertLessEqual(set(asked), {*LIVE[1:]})

    def test_a_host_without_a_row_of_its_own_asks_others(self):
        zones = Hosts(rows_of(LIVE[1:], ())).calls.zone_by_host()
        asked = hosts_to_ask(zones, LIVE[0], lambda host: True)
        self.assertTrue(asked)

    def test_configuration_is_asked_of_hosts_that_replied(self):
        zones = Hosts(rows_of()).calls.zone_by_host()
        failed = dict.fromkeys(DEAD, PeerReply(100, False, False))
        chosen = choose_peers(zones, LIVE[0], failed, (), 200, random.Random(1))
        self.assertLessEqual(set(chosen), {*LIVE[1:]})

    def test_usage_is_committed_later_but_in_time_with_rows_of_lost_hosts(self):
        delays = [commit_delay_ms(count, 5000) for count in (11, 11 + len(DEAD))]
        self.assertEqual(delays, sorted(delays))
        self.assertLess(delays[-1], 5000)

    def test_hosts_that_are_gone_delay_the_trial_of_a_blocked_request(self):
        """Never beyond a minute for each; without them it comes as usual."""
        history = CrashHistory()
        for number in range(1, 4):
            history.add(Crash(f"c{number}", number, 0))
        for hosts in (LIVE, (*LIVE, *DEAD)):
            trials = [next_trial_ms(history, "d", hosts, host) for host in LIVE]
            self.assertLessEqual(min(trials), BLOCK_MS * (1 + len(hosts) - len(LIVE)))
            self.assertEqual(len(set(trials)), len(LIVE))


class ReachTest(unittest.IsolatedAsyncioTestCase):
    """The store is away for all hosts, and another zone is gone for good."""

    async def test_a_zone_that_is_gone_does_not_make_the_others_unready(self):
        clock = ManualClock()
        rows = HostRows(
            clock=clock, store=None, host_id="host-0", row=HostRow("zone-a", "a0", 1)
        )
        others = {
            "host-1": HostRow("zone-a", "a1", 1),
            "dead-0": HostRow("zone-b", "b0", 1, started_ms=1, suspected_ms=5),
        }
        rows.apply(
            [Change(host, 1, msgspec.json.encode(row)) for host, row in others.items()]
        )
        asked = []

        async def request(address, *call, **options):
            asked.append(address)
            return SimpleNamespace(status=503)

        reach = StoreConnectivity(
            clock=clock,
            http=SimpleNamespace(request=request),
            store=SimpleNamespace(is_relayed=False, rejection_age_ms=lambda: None),
            hosts=rows,
            last_answer_age_ms=lambda: 5000,
        )
        running = asyncio.create_task(reach.run())
        self.addCleanup(running.cancel)
        await clock.advance(6 * CHECK_INTERVAL_MS)
        self.assertTrue(reach.accepts_callers())
        self.assertEqual(set(asked), {"a1"})


if __name__ == "__main__":
    unittest.main()
