"""The client libraries accept each sample once and save each note at most once."""

import collections
import unittest

import msgspec
from blacksheep import Application, Content, Response, Router
from blacksheep.testing import TestClient

from goldcrestmoor.client.notes import NotesClient, Outcome
from goldcrestmoor.client.trainer import TrainerClient
from goldcrestmoor.client.transport import Transport
from goldcrestmoor.errors import ErrorKind, Ran, ServiceError, to_body
from goldcrestmoor.version.steps.step_routes import GroupBody, register_routes
from goldcrestmoor.version.steps.steps import Slot
from test._step_fakes import FakeFleet, make_spec

HttpAnswer = collections.namedtuple("HttpAnswer", ("status", "headers", "body"))


class FakeAuthenticator:
    def __init__(self, fleet):
        self._fleet = fleet

    def account(self, headers):
        if (b"authorization", b"Bearer secret") not in list(headers):
            raise ServiceError(ErrorKind.UNAUTHORIZED)
        return self._fleet.account


class FakeWeights:
    def __init__(self):
        self.published = []

    async def publish(self, model, version, account):
        self.published.append((model, version, account))


class FakeFleetHttpClient:
    """An HttpClient that maps port numbers to the hosts of a fake fleet."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.weights = FakeWeights()
        self.hosts = list(fleet.host_by_id.values())
        self.faults = []
        self.requests = []
        self._app_by_port = {}

    async def request(self, address, port, method, target, headers, body, timeout_ms):
        self.requests.append((port, target))
        fault = self.faults.pop(0) if self.faults else None
        if fault == "before":
            raise ServiceError(ErrorKind.UPSTREAM_UNREACHABLE)
        client = await self._client(port)
        sent = {name.decode(): value.decode() for name, value in headers}
        sent.pop("content-length")
        content = Content(b"application/json", body)
        response = await client.post(target, headers=sent, content=content)
        if fault == "after":
            raise ServiceError(ErrorKind.UPSTREAM_TIMEOUT)
        return HttpAnswer(response.status, [], await response.read() or b"")

    async def _client(self, port):
        if port not in self._app_by_port:
            app = Application(router=Router())
            register_routes(
                app,
                authenticator=FakeAuthenticator(self.fleet),
                steps=self.hosts[port - 1].front,
                weights=self.weights,
            )

            @app.exception_handler(ServiceError)
            async def render(self, request, error):
                body = msgspec.json.encode(to_body(error))
                content = Content(b"application/json", body)
                return Response(error.answer.status, content=content)

            await app.start()
            self._app_by_port[port] = TestClient(app)
        return self._app_by_port[port]


GROUPS = tuple(GroupBody(i, f"p{i}", 3, 100, 100 * i) for i in range(2))


class TrainerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = FakeFleet("a", "b")
        self.addAsyncCleanup(self.fleet.close)
        self.http = FakeFleetHttpClient(self.fleet)

    def make_client(self, token="secret", bound=1):
        urls = ["http://127.0.0.1:1", "http://127.0.0.1:2"]
        return TrainerClient(urls, token, bound, Transport(self.http, token))

    async def submit(self, client):
        client.version = 1
        return await client.submit("s1", "lm", GROUPS, 30_000)

    async def test_a_step_is_collected_completely(self):
        client = self.make_client()
        step = await self.submit(client)
        got = await client.collect(step, 30_000)
        self.assertEqual(set(got), set(make_spec().slots()))
        self.assertEqual(client.dropped_held, 0)

    async def test_lost_responses_cause_no_duplicates(self):
        client = self.make_client()
        self.http.faults = ["before", "after"]
        step = await self.submit(client)
        self.http.faults = ["after", "before", "after"]
        got = await client.collect(step, 30_000)
        self.assertEqual(len(got), 6)
        self.assertEqual({port for port, _ in self.http.requests}, {1, 2})

    async def test_an_unknown_step_is_resubmitted(self):
        client = self.make_client()
        step = await self.submit(client)
        await self.fleet.host_by_id["a"].front.cancel("tuner", "s1")
        got = await client.collect(step, 30_000)
        self.assertEqual(len(got), 6)

    async def test_stale_and_duplicate_samples_are_dropped(self):
        client = self.make_client()
        step = await self.submit(client)
        got, answered = await self.fleet.host_by_id["a"].collect("s1")
        self.assertTrue(client._accept_sample(step, answered[0]))
        self.assertFalse(client._accept_sample(step, answered[0]))
        # The version advances between the service's staleness check and the response.
        client.version = 3
        self.assertFalse(client._accept_sample(step, answered[1]))
        self.assertEqual((client.dropped_held, client.dropped_stale), (1, 1))

    async def test_versions_are_published(self):
        client = self.make_client()
        await client.publish("m", 7, 30_000)
        self.assertEqual(client.version, 7)
        self.assertEqual(self.http.weights.published, [("m", 7, "tuner")])

    async def test_complete_groups_are_listed_by_index(self):
        client = self.make_client()
        step = await self.submit(client)
        _, answered = await self.fleet.host_by_id["a"].collect("s1")
        for sample in answered:
            if sample.slot.group == 0 or sample.slot.index == 1:
                client._accept_sample(step, sample)
        self.assertEqual(step.held(), ((0,), (Slot(1, 1),)))

    async def test_bad_input_and_bad_tokens_are_rejected(self):
        client = await self.http._client(1)
        cases = (
            ("Bearer secret", b"{", 400),
            ("Bearer secret", b'{"step":1}', 400),
            ("Bearer secret", b'{"surprise":1}', 400),
            ("Bearer wrong", b"{}", 401),
        )
        for token, body, status in cases:
            content = Content(b"application/json", body)
            response = await client.post(
                "/v1/steps", headers={"authorization": token}, content=content
            )
            self.assertEqual(response.status, status, body)

    async def test_another_accounts_pool_is_rejected(self):
        client = self.make_client()
        with self.assertRaises(ServiceError) as caught:
            await client.submit("s1", "other", GROUPS, 30_000)
        self.assertEqual(caught.exception.kind, ErrorKind.FORBIDDEN)


class ScriptedTransport:
    """Returns scripted responses to POST requests and records the requests."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.sent = []

    async def post(self, url, path, body, timeout_ms, headers=()):
        self.sent.append((url, path, body, tuple(headers)))
        answer = self.answers.pop(0)
        if isinstance(answer, ServiceError):
            raise answer
        return answer


KEY = HttpAnswer(200, [], b'{"key":"k1"}')
SAVED = HttpAnswer(201, [], b"saved")


def rejection(kind, ran=None):
    body = to_body(ServiceError(kind, "no", 1))
    if ran is not None:
        body = msgspec.structs.replace(body, ran=ran)
    return HttpAnswer(500, [], msgspec.json.encode(body))


class NotesTest(unittest.IsolatedAsyncioTestCase):
    async def save(self, *answers):
        self.transport = ScriptedTransport(*answers)
        client = NotesClient(["http://a", "http://b"], "secret", self.transport)
        return await client.save("/apps/desk/notes", b"note", 30_000)

    def keys_sent(self):
        notes = [sent for sent in self.transport.sent if sent[1] != "/v1/keys"]
        return {sent[3][0][1] for sent in notes}

    async def test_a_note_is_saved_with_a_minted_key(self):
        saved = await self.save(KEY, SAVED)
        self.assertEqual((saved.outcome, saved.body), (Outcome.SAVED, b"saved"))
        self.assertEqual(self.keys_sent(), {b"k1"})

    async def test_a_lost_response_is_retried_on_another_host_with_the_same_key(self):
        lost = ServiceError(ErrorKind.UPSTREAM_TIMEOUT)
        saved = await self.save(KEY, lost, rejection(ErrorKind.IN_PROGRESS), SAVED)
        self.assertEqual(saved.outcome, Outcome.SAVED)
        self.assertEqual(self.keys_sent(), {b"k1"})
        urls = [sent[0] for sent in self.transport.sent[1:]]
        self.assertEqual(urls, ["http://a", "http://b", "http://a"])

    async def test_not_saved_requires_that_no_attempt_was_run(self):
        refused = rejection(ErrorKind.KEY_REUSED)
        saved = await self.save(KEY, rejection(ErrorKind.NO_UPSTREAM), refused)
        self.assertEqual(saved.outcome, Outcome.NOT_SAVED)
        lost = ServiceError(ErrorKind.UPSTREAM_FAILED)
        saved = await self.save(KEY, lost, refused)
        self.assertEqual(saved.outcome, Outcome.UNKNOWN)

    async def test_an_unknown_outcome_is_reported(self):
        saved = await self.save(KEY, rejection(ErrorKind.OUTCOME_UNKNOWN))
        self.assertEqual(saved.outcome, Outcome.UNKNOWN)

    async def test_the_hosts_report_about_the_run_takes_precedence(self):
        answer = rejection(ErrorKind.UPSTREAM_FAILED, Ran.NOT_RUN)
        saved = await self.save(KEY, answer, rejection(ErrorKind.FORBIDDEN))
        self.assertEqual(saved.outcome, Outcome.NOT_SAVED)

    async def test_the_client_generates_the_key_when_minting_fails(self):
        down = ServiceError(ErrorKind.UPSTREAM_UNREACHABLE)
        saved = await self.save(down, down, SAVED)
        self.assertEqual(saved.outcome, Outcome.SAVED)
        self.assertEqual(self.keys_sent(), {saved.key.encode()})
