"""Application requests get complete responses; non-idempotent ones run at most once."""

import json
import unittest

from goldcrestmoor.clock import Clock, Deadline
from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.request.apps import ApplicationClient, AppRequest
from goldcrestmoor.request.placement import (
    LeastLoaded,
    Placement,
    PrefixAffinity,
    TwoChoices,
)
from test import _common, _request_fakes as fakes
from test.standins import app as standin


def make_request(method="POST", target="/notes", body=b"a note", note_id="n1"):
    headers = ((b"x-note-id", note_id.encode()),)
    return AppRequest("app", method, target, headers, body)


class AppsTestCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.clock = Clock()
        self.http = fakes.CountingHttp()
        self.app, self.server = await self.start_app(name="one")
        self.lease = fakes.FakeLease(
            fakes.upstream("app-1", "app", port=self.server.port)
        )
        self.applications = self.make_applications()

    def make_applications(self):
        placement = Placement(zone="zone-a", lease=self.lease, policy=TwoChoices())
        return ApplicationClient(
            clock=self.clock,
            http=self.http,
            placement=placement,
            budget=fakes.make_budget(),
            **fakes.parts(),
        )

    async def start_app(self, **options):
        app, server = standin.make_server(**options)
        await server.start()
        self.addAsyncCleanup(server.close)
        return app, server

    def add_dead_upstream(self):
        dead = fakes.upstream("app-0", "app", port=_common.free_port())
        self.lease.replace(dead)
        return dead

    async def fetch(self, request, timeout_ms=60_000, check=None):
        deadline = Deadline.after(self.clock, timeout_ms)
        return await self.applications.fetch(request, deadline, "r1", check)

    async def fetch_error(self, *args, **kwargs):
        with self.assertRaises(ServiceError) as caught:
            await self.fetch(*args, **kwargs)
        return caught.exception


class ApplicationsTest(AppsTestCase):
    async def test_the_response_is_forwarded_complete(self):
        answer = await self.fetch(make_request("GET", "/panel/7?a=1"))
        self.assertEqual(json.loads(answer.body)["panel"], "/panel/7?a=1")

    async def test_a_note_whose_response_is_lost_is_not_retried(self):
        other, server = await self.start_app(name="two")
        self.lease.replace(fakes.upstream("app-2", "app", port=server.port))
        modes = (
            standin.CLOSE_AFTER_RUN,
            standin.CLOSE_BEFORE_RUN,
            standin.WRONG_LENGTH,
        )
        for mode in modes:
            self.app.mode = other.mode = mode
            for method in ("POST", "PATCH"):
                before = self.app.received + other.received
                error = await self.fetch_error(make_request(method))
                self.assertEqual(error.kind, ErrorKind.UPSTREAM_FAILED)
                self.assertEqual(self.app.received + other.received, before + 1)

    async def test_an_idempotent_request_is_retried_elsewhere(self):
        self.app.mode = standin.CLOSE_AFTER_RUN
        other, server = await self.start_app(name="two")
        self.lease.replace(fakes.upstream("app-2", "app", port=server.port))
        for i in range(10):
            answer = await self.fetch(make_request("GET", f"/panel/{i}"))
            self.assertEqual(json.loads(answer.body)["app"], "two")

    async def test_a_note_of_which_no_byte_was_written_is_retried(self):
        self.add_dead_upstream()
        for i in range(10):
            answer = await self.fetch(make_request(note_id=f"n{i}"))
            self.assertEqual(answer.status, 201)
        self.assertEqual(set(self.app.count_by_id.values()), {1})
        self.assertEqual(len(self.app.count_by_id), 10)

    async def test_not_run_is_reported_only_when_it_holds(self):
        await self.server.close()
        error = await self.fetch_error(make_request())
        self.assertEqual(error.answer.ran, "not run")
        self.assertEqual(self.app.received, 0)

    async def test_a_failure_that_may_have_run_outweighs_a_later_rejection(self):
        self.app.mode = standin.CLOSE_AFTER_RUN
        error = await self.fetch_error(make_request("PUT"))
        # No other upstream is left, but the first may have run the request.
        self.assertEqual(error.kind, ErrorKind.UPSTREAM_FAILED)

    async def test_a_truncated_body_is_an_error(self):
        self.app.mode = standin.WRONG_LENGTH
        error = await self.fetch_error(make_request("GET", "/panel/1"))
        self.assertEqual(error.kind, ErrorKind.UPSTREAM_FAILED)

    async def test_a_passed_deadline_sends_nothing(self):
        error = await self.fetch_error(make_request(), timeout_ms=0)
        self.assertEqual(error.answer.ran, "not run")
        self.assertEqual(self.http.requests, 0)

    async def test_retries_stay_within_the_budget(self):
        self.app.mode = standin.CLOSE_AFTER_RUN
        other, server = await self.start_app(name="two", mode=standin.CLOSE_AFTER_RUN)
        self.lease.replace(fakes.upstream("app-2", "app", port=server.port))
        for i in range(200):
            await self.fetch_error(make_request("GET", f"/panel/{i}"))
        # A tenth of the requests, plus the retries that an idle pool may accumulate.
        self.assertLessEqual(self.http.requests, 200 + 20 + 10)


class PlacementTest(unittest.TestCase):
    def test_a_prefix_stays_on_one_upstream_up_to_its_maximum_load(self):
        lease = fakes.FakeLease(*(fakes.upstream(f"lm-{i}") for i in range(4)))
        placement = Placement(zone="zone-a", lease=lease, policy=PrefixAffinity())
        home = placement.choose("lm", "prefix")
        self.assertEqual(placement.choose("lm", "prefix"), home)
        for _ in range(8):
            chosen = placement.choose("lm", "prefix")
            placement.begin(chosen)
        # Eight streams of one prefix are distributed with little more than the mean.
        self.assertLessEqual(max(placement.in_flight_by_upstream.values()), 3)

    def names(self, lease, **options):
        placement = Placement(
            zone="zone-a", lease=lease, policy=TwoChoices(), **options
        )
        return [u.name for u in placement.usable("lm")]

    def test_every_live_zone_accepts_requests(self):
        lease = fakes.FakeLease(fakes.upstream("a"), fakes.upstream("b", zone="zone-b"))
        self.assertEqual(self.names(lease), ["a", "b"])
        self.assertEqual(self.names(lease, is_zone_live=lambda zone: False), ["a"])
        lease.replace(fakes.upstream("a", draining=True))
        self.assertEqual(self.names(lease), ["b"])
        self.assertEqual(self.names(lease, is_zone_live=lambda zone: False), ["b"])
        self.assertEqual(self.names(lease, is_leaving=lambda name: True), [])

    def test_the_local_zone_is_preferred_while_it_has_capacity(self):
        lease = fakes.FakeLease(
            *(fakes.upstream(f"b{i}", zone="zone-b", slots=2) for i in range(5)),
            fakes.upstream("a", slots=2),
        )
        for policy, own in ((TwoChoices(), 2), (LeastLoaded(), 1)):
            placement = Placement(zone="zone-a", lease=lease, policy=policy)
            names = []
            for _ in range(own + 1):
                names.append(placement.choose("lm").name)
                placement.begin(lease.configuration.upstreams_by_name[names[-1]])
            self.assertEqual(names[:own], ["a"] * own)
            self.assertNotEqual(names[own], "a")

    def test_unhealthy_upstreams_are_skipped(self):
        class Health:
            def usable(self, names):
                return [name for name in names if name != "a"]

            def try_probe(self, name):
                return self.probe_due

        lease = fakes.FakeLease(fakes.upstream("a"), fakes.upstream("b"))
        health = Health()
        self.assertEqual(self.names(lease, health=health), ["b"])
        placement = Placement(
            zone="zone-a", lease=lease, policy=TwoChoices(), health=health
        )
        for health.probe_due, may_probe, name in (
            (True, True, "a"),
            (True, False, "b"),
            (False, True, "b"),
        ):
            chosen = placement.choose("lm", may_probe=may_probe)
            self.assertEqual(chosen.name, name)
