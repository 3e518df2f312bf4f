"""The choice of the hosts that are asked for newer configuration, without a network."""

import random
import unittest
from collections import Counter

from goldcrestmoor.process.configuration_age import (
    MAX_PREFERRED_PER_S,
    PeerReply,
    choose_peers,
    choose_successor,
)

# outerMs of the platform.
OUTER_MS = 6000
# Long enough that all hosts come to know the few that the store serves.
PLAYED_MS = 20_000


class ChoiceTest(unittest.TestCase):
    def play(self, count, current_count, seed):
        """Play an outage that begins with a change, which some hosts still receive.

        :return: when the last host learned the change, and the most requests that one
            host got in a second.
        """
        rng = random.Random(seed)
        zones = {f"host-{n}": f"zone-{n % 3}" for n in range(count)}
        current = set(rng.sample(sorted(zones), current_count))
        learned_ms = dict.fromkeys(current, 0)
        next_ms = {host: 1000 + rng.randrange(1000) for host in zones}
        asked = dict.fromkeys(zones, ())
        replies = {host: {} for host in zones}
        requests = Counter()
        for now_ms in range(0, PLAYED_MS, 100):
            for host in zones.keys() - current:
                if now_ms < next_ms[host]:
                    continue
                next_ms[host] += 1000
                asked[host] = choose_peers(
                    zones, host, replies[host], asked[host], now_ms, rng
                )
                for peer in asked[host]:
                    requests[peer, now_ms // 1000] += 1
                    replies[host][peer] = PeerReply(now_ms, True, peer in current)
                    if learned_ms.get(peer, now_ms) < now_ms:
                        learned_ms.setdefault(host, now_ms)
        self.assertEqual(len(learned_ms), count)
        return max(learned_ms.values()), max(requests.values())

    def test_a_change_spreads_in_time_and_overloads_no_host(self):
        """The only host that the store serves must not get all others' requests."""
        for count, current_count in ((350, 1), (350, 10), (88, 1), (68, 34), (5, 1)):
            for seed in range(2):
                with self.subTest(count=count, current=current_count, seed=seed):
                    last_ms, most = self.play(count, current_count, seed)
                    self.assertLessEqual(last_ms, OUTER_MS)
                    self.assertLessEqual(most, MAX_PREFERRED_PER_S)

    def test_other_zones_and_other_hosts_are_asked_from_time_to_time(self):
        """A zone that is cut off as a whole must not be all that is asked."""
        zones = {f"host-{n}": f"zone-{n % 3}" for n in range(30)}
        first = choose_peers(zones, "host-0", {}, (), 0)
        self.assertEqual({zones[host] for host in first}, set(zones.values()))
        second = choose_peers(zones, "host-0", {}, first, 1000)
        self.assertFalse(set(first) & set(second))
        # Hosts that gave no reply are asked last.
        failed = {host: PeerReply(0, False, False) for host in zones}
        del failed["host-7"]
        self.assertIn("host-7", choose_peers(zones, "host-0", failed, (), 1000))

    def test_every_host_is_introduced_to_by_several(self):
        hosts = [f"host-{n}" for n in range(20)]
        counts = Counter(
            choose_successor(hosts, host, turn) for host in hosts for turn in range(3)
        )
        self.assertEqual(counts, dict.fromkeys(hosts, 3))
        self.assertIsNone(choose_successor(["host-0"], "host-0", 1))
