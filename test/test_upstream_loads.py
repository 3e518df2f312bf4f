"""Which upstreams a host avoids after failures and timeouts."""

import collections
import unittest
from types import SimpleNamespace

from goldcrestmoor.request.server_bodies import ServerBodies
from goldcrestmoor.request.upstream_loads import UpstreamLoads
from test._fleet import ManualClock
from test._request_fakes import upstream_limits

SERVICE = "desk"


class UpstreamLoadsTest(unittest.TestCase):
    def setUp(self):
        self.upstreams = [
            SimpleNamespace(
                name=n,
                address="10.0.0.1",
                port=1,
                slots=6,
                zone="a",
                started_ms=1,
                software_version="v1",
            )
            for n in ("desk-1", "desk-2")
        ]
        self.loads = UpstreamLoads(
            clock=ManualClock(),
            http=SimpleNamespace(has_idle=lambda address, port: True),
            directory=SimpleNamespace(
                usable=lambda service: self.upstreams,
                upstream_by_name={u.name: u for u in self.upstreams},
                check_usable=lambda upstream: None,
            ),
            limits=upstream_limits(ManualClock()),
            zone="a",
            # Of equal upstreams, this host prefers the first one.
            host_id="host-4",
        )
        self.first = self.upstreams[0]

    def chosen(self):
        return self.loads.choose(SERVICE, ()).name

    def test_what_exceeds_a_server_goes_to_another(self):
        """A server crashes under requests that exceed its memory."""
        self.loads._bodies = ServerBodies()
        size = 5 << 20
        with self.loads.track_request(self.first, size):
            self.assertEqual(self.loads.choose(SERVICE, (), None, size).name, "desk-2")
            with self.loads.track_request(self.upstreams[1], size):
                self.assertIsNone(self.loads.choose(SERVICE, (), None, size))
                self.assertTrue(self.loads.is_full(SERVICE, size))
                self.assertEqual(self.chosen(), "desk-1")
        self.assertFalse(self.loads.is_full(SERVICE, size))

    def test_hosts_without_load_do_not_all_choose_the_same_upstream(self):
        """79 hosts start at once and see no requests but their own."""
        count_by_name = collections.Counter()
        for number in range(79):
            self.loads._host_id = f"host-{number}"
            count_by_name[self.chosen()] += 1
        self.assertGreater(min(count_by_name["desk-1"], count_by_name["desk-2"]), 20)

    def test_an_upstream_that_failed_is_avoided(self):
        self.assertEqual(self.chosen(), "desk-1")
        self.loads.record_failure(self.first)
        self.assertEqual(self.chosen(), "desk-2")
        self.loads.record_response(self.first, "panels")
        self.assertEqual(self.chosen(), "desk-1")

    def test_timeouts_on_a_route_without_responses_are_no_failures(self):
        """A hundred requests a minute take 3 s each on a route that allows 1 s."""
        self.loads.record_response(self.first, "panels")
        for _ in range(20):
            self.loads.record_timeout(self.first, "reports")
            self.assertEqual(self.chosen(), "desk-1")

    def test_a_timeout_on_a_route_with_responses_is_a_failure(self):
        self.loads.record_response(self.first, "panels")
        self.loads.record_timeout(self.first, "panels")
        self.assertEqual(self.chosen(), "desk-2")
