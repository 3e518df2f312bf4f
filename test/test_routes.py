"""The routes for callers, end to end from a socket to stand-in upstreams."""

import asyncio
import json
import unittest

from goldcrestmoor.clock import Clock
from goldcrestmoor.process.http_server import HttpServer
from goldcrestmoor.process.metrics import Metrics
from goldcrestmoor.request import app_routes, completion_routes
from goldcrestmoor.request.authentication import Authenticator
from goldcrestmoor.request.idempotency_keys import IdempotencyKeys
from test import _common, _request_fakes as fakes
from test.standins import app as app_standin, engine as engine_standin
from test.test_apps import AppsTestCase
from test.test_completions import PROMPT, CompletionsTestCase

BEARER = b"Bearer " + fakes.TOKEN.encode()


class RoutesTestCase(unittest.IsolatedAsyncioTestCase):
    async def serve(self):
        """Return a server that is not started, and the common arguments of routes."""
        self.settings = _common.make_settings()
        server = HttpServer(clock=Clock(), settings=self.settings, metrics=Metrics())
        return server, {
            "clock": Clock(),
            "authenticator": Authenticator(self.lease),
            "lease": self.lease,
        }

    async def ask(self, method, target, account="clinic", headers=(), body=b""):
        sent = [(b"authorization", BEARER + account.encode()), *headers]
        return await fakes.CountingHttp().request(
            "127.0.0.1",
            self.settings.host.http_port,
            method,
            target,
            sent,
            body,
            60_000,
        )

    async def code_of(self, *args, **options):
        return json.loads((await self.ask(*args, **options)).body)["code"]


class RecordingKeys(IdempotencyKeys):
    """Keys that record their uses and send each request without a check."""

    def __init__(self, applications):
        self.applications = applications
        self.used = []

    async def run(self, account, key, request, deadline, request_id, check=None):
        self.used.append((account, key))
        return await self.applications.fetch(request, deadline, request_id)


class AppRoutesTest(AppsTestCase, RoutesTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        for name, pools in (("clinic", ("app",)), ("other", ())):
            account = fakes.account(name, pools=pools)
            self.lease.configuration.accounts_by_name[name] = account
        server, common = await self.serve()
        self.keys = RecordingKeys(self.applications)
        app_routes.register_routes(
            server.application,
            applications=self.applications,
            keys=self.keys,
            metrics=Metrics(),
            settings=self.settings,
            **common,
        )
        await server.start()
        self.addAsyncCleanup(server.stop, 0)

    async def test_path_query_and_response_are_forwarded_unchanged(self):
        answer = await self.ask("GET", "/apps/app/panel/a%2Fb%20c?x=%C3%A9&y")
        self.assertEqual(
            json.loads(answer.body)["panel"], "/panel/a%2Fb%20c?x=%C3%A9&y"
        )

    async def test_every_method_is_forwarded(self):
        for method in app_routes.METHODS:
            answer = await self.ask(method, "/apps/app/things/1")
            self.assertIn(answer.status, (200, 201), method)
            self.assertEqual(self.app.count_by_id[f"{method} /things/1"], 1)

    async def test_the_response_to_head_states_the_length_of_the_body(self):
        whole = await self.ask("GET", "/apps/app/x")
        head = await self.ask("HEAD", "/apps/app/x")
        self.assertEqual(head.body, b"")
        lengths = {dict(a.headers)[b"content-length"] for a in (whole, head)}
        self.assertEqual(lengths, {str(len(whole.body)).encode()})

    async def test_a_large_response_is_complete(self):
        answer = await self.ask("GET", "/apps/app/large")
        self.assertEqual(len(answer.body), app_standin.LARGE_BODY_BYTES)

    async def test_the_token_does_not_reach_the_upstream(self):
        seen = []
        handle = self.app._respond
        self.app._respond = lambda request: (
            seen.append(request.headers) or handle(request)
        )
        await self.ask("GET", "/apps/app/x", headers=[(b"x-kept", b"1")])
        self.assertNotIn("authorization", seen[0])
        self.assertEqual(seen[0]["x-kept"], "1")
        self.assertTrue(seen[0]["x-request-id"])

    async def test_only_an_account_with_the_pool_is_authorized(self):
        self.assertEqual(await self.code_of("GET", "/apps/app/x", "other"), "forbidden")
        self.assertEqual(
            await self.code_of("GET", "/apps/app/x", "nobody"), "unauthorized"
        )
        self.assertEqual(await self.code_of("GET", "/apps/lm/x"), "forbidden")
        self.lease.lapsed = True
        self.assertEqual(
            await self.code_of("GET", "/apps/app/x", "nobody"), "config_lapsed"
        )
        self.assertEqual(self.app.received, 0)

    async def test_a_key_is_used_for_methods_that_may_not_be_repeated(self):
        key = [(b"idempotency-key", b"k1")]
        for method in app_routes.METHODS:
            await self.ask(method, "/apps/app/x", headers=key)
        self.assertEqual(self.keys.used, [("clinic", "k1")] * 2)

    async def test_a_truncated_body_is_an_upstream_failure(self):
        self.app.mode = app_standin.WRONG_LENGTH
        code = await self.code_of("GET", "/apps/app/x")
        self.assertEqual(code, "upstream_failed")

    async def test_a_passed_deadline_is_not_run(self):
        late = [(b"x-timeout-ms", b"0")]
        answer = await self.ask("POST", "/apps/app/notes", headers=late)
        self.assertEqual(json.loads(answer.body)["ran"], "not run")
        self.assertEqual(self.app.received, 0)


class CompletionRoutesTest(CompletionsTestCase, RoutesTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.metrics = Metrics()
        server, common = await self.serve()
        completion_routes.register_routes(
            server.application,
            completions=self.completions,
            metrics=self.metrics,
            settings=self.settings.limits,
            **common,
        )
        await server.start()
        self.addAsyncCleanup(server.stop, 0)

    def complete(self, **options):
        asked = {"model": "lm", "prompt": PROMPT, "max_tokens": 20, "seed": 7}
        body = json.dumps(asked | options).encode()
        return self.ask("POST", "/v1/completions", "trainer", body=body)

    async def test_a_complete_response_states_its_versions(self):
        answer = json.loads((await self.complete()).body)
        expected = engine_standin.expected_text(PROMPT, 7, 20)
        self.assertEqual(answer["choices"][0]["text"], expected)
        segments = [(s["version"], s["tokens"]) for s in answer["segments"]]
        self.assertEqual(segments, [(1, 20)])

    async def test_a_stream_ends_with_its_marker(self):
        events = (await self.complete(stream=True)).body.decode().split("\n\n")
        self.assertEqual(events[-2:], ["data: [DONE]", ""])
        decoded = [json.loads(e.removeprefix("data: ")) for e in events[:-2]]
        text = "".join(e["choices"][0]["text"] for e in decoded)
        self.assertEqual(text, engine_standin.expected_text(PROMPT, 7, 20))
        self.assertEqual({e["version"] for e in decoded}, {1})

    async def test_a_stream_that_fails_ends_with_an_error_and_no_marker(self):
        self.engines_by_name["lm-1"].options.cut_after = 5
        body = (await self.complete(stream=True)).body
        self.assertNotIn(b"[DONE]", body)
        last = body.decode().strip().split("\n\n")[-1]
        self.assertTrue(last.startswith("event: error\ndata: "))
        error = json.loads(last.partition("data: ")[2])["error"]
        self.assertEqual(error["code"], "upstream_failed")
        labels = {"account": "trainer", "outcome": "upstream_failed"}
        name = "goldcrestmoor_requests_total"
        self.assertEqual(self.metrics.registry.get_sample_value(name, labels), 1)

    async def test_a_failure_before_the_first_token_has_an_error_status(self):
        self.engines_by_name["lm-1"].options.state_version = False
        self.assertEqual((await self.complete(stream=True)).status, 502)

    async def test_a_caller_that_disconnects_frees_the_engine(self):
        asking = asyncio.create_task(self.complete(stream=True, max_tokens=100_000))
        engine = self.engines_by_name["lm-1"]
        await _common.eventually(lambda: engine.tokens > 5)
        asking.cancel()
        await _common.eventually(lambda: engine.running == 0)
        await _common.eventually(lambda: self.owner.in_flight("lm-1") == 0)

    async def test_bad_requests_are_rejected(self):
        for options in ({"max_tokens": 0}, {"max_tokens": "x"}, {"prompt": None}):
            self.assertEqual((await self.complete(**options)).status, 400)
        self.assertEqual((await self.complete(model="none")).status, 403)
