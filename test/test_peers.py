"""Daemons call each other over real sockets."""

import asyncio
import contextlib
import unittest

import zmq
import zmq.asyncio

from goldcrestmoor import wire
from goldcrestmoor.clock import Clock
from goldcrestmoor.connection import frames, peer_link
from goldcrestmoor.connection.peers import PeerLinks
from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.process.metrics import Metrics
from test import _common

CALL_TIMEOUT_MS = 30_000
SHORT_TIMEOUT_MS = 200
BIG_TEXT = "x" * 3_000_000


class Ask(wire.Message, frozen=True):
    text: str


class PeersTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.endpoints = {}
        self.metrics = Metrics()
        self.a = await self.start_links("host-a")
        self.b = await self.start_links("host-b")

    async def start_links(self, host_id, **sections):
        settings = _common.make_settings(host_id, **sections)
        host = settings.host
        self.endpoints[host_id] = (host.address, host.peer_port)
        links = PeerLinks(
            clock=Clock(),
            settings=settings,
            directory=self.endpoints.get,
            metrics=self.metrics,
        )
        await links.start()
        self.addAsyncCleanup(links.close)
        return links

    async def call(self, text, timeout_ms=CALL_TIMEOUT_MS):
        return await self.a.call("host-b", Ask(text), timeout_ms)

    async def assert_fails(self, kind, awaitable):
        with self.assertRaises(ServiceError) as caught:
            await awaitable
        self.assertEqual(caught.exception.kind, kind)

    async def test_replies_errors_and_large_replies_reach_the_caller(self):
        async def handler(sender, message):
            if message.text == "refuse":
                raise ServiceError(ErrorKind.OVERLOADED, "Full.", 77)
            if message.text == "break":
                raise ValueError("broken")
            return Ask(sender + message.text) if message.text else None

        self.b.register(Ask, handler)
        self.assertEqual(await self.call(BIG_TEXT), Ask("host-a" + BIG_TEXT))
        self.assertEqual(await self.call(""), wire.Done())
        with self.assertRaises(ServiceError) as caught:
            await self.call("refuse")
        self.assertEqual(caught.exception.retry_after_ms, 77)
        with self.assertLogs("goldcrestmoor.peers", "ERROR"):
            await self.assert_fails(ErrorKind.INTERNAL, self.call("break"))
        self.assertGreater(self.a.bytes_sent_by_class["Ask"], len(BIG_TEXT))

    async def test_a_late_reply_reaches_no_other_call(self):
        release = asyncio.Event()

        async def handler(sender, message):
            if message.text == "slow":
                with contextlib.suppress(asyncio.CancelledError):
                    await release.wait()
            return message

        self.b.register(Ask, handler)
        await self.call("first")
        slow = self.call("slow", SHORT_TIMEOUT_MS)
        await self.assert_fails(ErrorKind.PEER_UNREACHABLE, slow)
        release.set()
        self.assertEqual(await self.call("quick"), Ask("quick"))
        await _common.eventually(lambda: self.a.dropped_replies)

    async def test_one_way_messages_arrive(self):
        received = []

        async def handler(sender, message):
            received.append((sender, message.text))

        self.b.register(Ask, handler)
        self.a.send("host-b", Ask("hello"))
        await _common.eventually(lambda: received)
        self.assertEqual(received, [("host-a", "hello")])

    async def test_malformed_frames_are_counted_and_break_nothing(self):
        self.b.register(Ask, self.echo)
        await self.call("before")
        link = self.a._links_by_host_id["host-b"]
        for parts in ([b"?"], [b"C", b"x" * 16, b"Nope", b"", b""], [b"C"] * 9):
            await link._socket.send_multipart(parts)
        self.assertEqual(await self.call("after"), Ask("after"))
        count = self.metrics.registry.get_sample_value(
            "goldcrestmoor_bad_input_total", {"where": "peer"}
        )
        self.assertEqual(count, 3)

    async def test_only_the_fleet_key_is_accepted(self):
        received = []

        async def handler(sender, message):
            received.append(message.text)

        self.b.register(Ask, handler)
        stranger = [key.decode() for key in zmq.curve_keypair()]
        await self.send_with_keys(*stranger, "stranger")
        fleet = (_common.FLEET_PUBLIC_KEY, _common.FLEET_SECRET_KEY)
        await self.send_with_keys(*fleet, "daemon")
        await _common.eventually(lambda: received)
        self.assertEqual(received, ["daemon"])

    async def send_with_keys(self, public_key, secret_key, text):
        socket = zmq.asyncio.Context.instance().socket(zmq.DEALER)
        self.addCleanup(socket.close, 0)
        socket.curve_publickey = public_key.encode()
        socket.curve_secretkey = secret_key.encode()
        socket.curve_serverkey = _common.FLEET_PUBLIC_KEY.encode()
        socket.connect("tcp://{}:{}".format(*self.endpoints["host-b"]))
        headers = frames.Headers("host-x", "00")
        call_id = b"0" * frames.CALL_ID_BYTES
        parts = frames.encode(frames.KIND_SEND, call_id, headers, Ask(text))
        await socket.send_multipart(parts)

    async def test_an_unresponsive_link_is_reconnected(self):
        self.b.register(Ask, self.echo)
        await self.call("first")
        old = self.a._links_by_host_id["host-b"]
        unresponsive = zmq.asyncio.Context.instance().socket(zmq.ROUTER)
        self.addCleanup(unresponsive.close, 0)
        port = unresponsive.bind_to_random_port("tcp://127.0.0.1")
        old._socket.disconnect(old._socket.last_endpoint)
        old._socket.connect(f"tcp://127.0.0.1:{port}")
        timeout_ms = peer_link.UNRESPONSIVE_MS

        async def answered():
            try:
                return await self.call("again", timeout_ms)
            except ServiceError:
                return None

        self.assertEqual(await _common.eventually(answered), Ask("again"))
        self.assertIsNot(self.a._links_by_host_id["host-b"], old)

    async def test_a_restarted_peer_is_reached_again(self):
        self.b.register(Ask, self.echo)
        await self.call("first")
        address, port = self.endpoints["host-b"]
        await self.b.close()
        restarted = await self.start_links(
            "host-b", host={"address": address, "peer_port": port}
        )
        restarted.register(Ask, self.echo)

        async def answered():
            try:
                return await self.call("again", peer_link.UNRESPONSIVE_MS)
            except ServiceError:
                return None

        self.assertEqual(await _common.eventually(answered), Ask("again"))

    async def test_an_overloaded_host_still_answers_urgent_messages(self):
        self.b.register(Ask, self.echo)
        self.b._running_handlers = 10**6
        await self.assert_fails(ErrorKind.OVERLOADED, self.call("x"))
        self.b.register(Ask, self.echo, urgent=True)
        self.assertEqual(await self.call("y"), Ask("y"))

    @staticmethod
    async def echo(sender, message):
        return message
