"""Servers in need, which state how many requests a second they accept from all hosts.

A host that doesn't lower its rate, or that allows itself the whole of the limit beside
other hosts, presses a server that has said that it can't keep up.
"""

import math
import unittest
from types import SimpleNamespace

from goldcrestmoor.platform import servers
from goldcrestmoor.process.metrics import Metrics
from goldcrestmoor.process.upstream_limits import UpstreamLimits
from test._fleet import ManualClock


def server(name="s1", started_ms=1, zone="a"):
    return SimpleNamespace(name=name, service="app", zone=zone, started_ms=started_ms)


class HeaderTest(unittest.TestCase):
    def test_a_limit_is_a_decimal_number(self):
        for value, expected in (
            (b"2.5", 2.5),
            (b"0", 0.0),
            (b"many", None),
            (b"-1", None),
            (b"nan", None),
            (b"inf", None),
        ):
            headers = [(b"server-limit", value)]
            self.assertEqual(servers.stated_limit(200, headers), expected)
        self.assertEqual(servers.stated_limit(503, []), math.inf)

    def test_another_server_at_the_address_says_nothing_of_the_expected_one(self):
        self.assertIsNone(servers.stated_limit(421, [(b"server-limit", b"2")]))
        self.assertIsNone(servers.stated_limit(421, []))


class RecordTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.metrics = Metrics()
        self.limits = UpstreamLimits(clock=self.clock, metrics=self.metrics)

    def test_a_limit_holds_until_a_later_response_states_none(self):
        self.limits.record(server(), 2.5)
        self.limits.record(server(), math.inf)
        self.assertEqual(self.limits.per_second(server()), 2.5)
        self.clock._now_ms += 1000
        self.limits.record(server(), None)
        self.assertEqual(self.limits.per_second(server()), 2.5)
        self.limits.record(server(), math.inf)
        self.assertEqual(self.limits.per_second(server()), math.inf)

    def test_a_restarted_server_is_not_limited(self):
        self.limits.record(server(), 2.5)
        self.assertEqual(self.limits.per_second(server(started_ms=2)), math.inf)

    def test_changes_are_logged_and_responses_counted(self):
        with self.assertLogs("goldcrestmoor.limits", "INFO") as logs:
            for _ in range(5):
                self.limits.record(server(), 2.5)
            self.clock._now_ms += 1000
            self.limits.record(server(), math.inf)
        self.assertEqual(len(logs.output), 2, logs.output)
        self.assertIn("s1 of app accepts 2.5 requests a second", logs.output[0])
        counted = self.metrics.registry.get_sample_value(
            "goldcrestmoor_limited_requests_total", {"outcome": "answered"}
        )
        self.assertEqual(counted, 5)


if __name__ == "__main__":
    unittest.main()
