"""Shared test helpers: settings, ports and polling."""

import asyncio
import contextlib
import itertools
import os
import random
import socket
import time

import zmq

from goldcrestmoor import settings, util

EVENT_TIMEOUT_S = 60
POLL_S = 0.02
PORTS_VARIABLE = "GOLDCRESTMOOR_TEST_PORTS"
# Each test module that runs in parallel gets a separate port range.
FIRST_PORT, LAST_PORT = map(
    int, os.environ.get(PORTS_VARIABLE, "10000-32000").split("-")
)

_port_offsets = itertools.count(random.randrange(LAST_PORT - FIRST_PORT))
OPERATOR_TOKEN = "operator-token"

FLEET_PUBLIC_KEY, FLEET_SECRET_KEY = (key.decode() for key in zmq.curve_keypair())


def free_port(address="127.0.0.1"):
    """Return a TCP port that can be bound on the address at the time of the call.

    The ports lie outside the kernel's range for outgoing connections, which could use
    the port before its server binds it. A port is returned again only after the other
    ports of the range.
    """
    while True:
        port = FIRST_PORT + next(_port_offsets) % (LAST_PORT - FIRST_PORT)
        with socket.socket() as s, contextlib.suppress(OSError):
            s.bind((address, port))
            return port


def settings_document(host_id="host-a1", zone="zone-a", **sections):
    """Return the settings document of a host on the loopback interface."""
    document = {
        "host": {
            "id": host_id,
            "zone": zone,
            "address": "127.0.0.1",
            "http_port": free_port(),
            "peer_port": free_port(),
        },
        "platform": {"address": "127.0.0.1", "port": free_port()},
        "security": {
            "fleet_public_key": FLEET_PUBLIC_KEY,
            "fleet_secret_key": FLEET_SECRET_KEY,
            "operator_token_hash": util.hash_token(OPERATOR_TOKEN),
        },
    }
    for name, section in sections.items():
        if isinstance(section, dict):
            document.setdefault(name, {}).update(section)
        else:
            document[name] = section
    return document


def make_settings(*args, **sections):
    """Return validated settings of a host on the loopback interface."""
    return settings.decode(settings_document(*args, **sections))


async def eventually(predicate, timeout_s=EVENT_TIMEOUT_S):
    """Poll a sync or async predicate until it is true; fail after the timeout."""
    end = time.monotonic() + timeout_s
    while True:
        result = predicate()
        if asyncio.iscoroutine(result):
            result = await result
        if result:
            return result
        if time.monotonic() > end:
            raise AssertionError(f"{predicate} was not true within {timeout_s} s")
        await asyncio.sleep(POLL_S)
