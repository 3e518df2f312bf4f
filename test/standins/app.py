"""An application service that counts the requests it runs.

It serves ``GET /panel/...`` and ``POST /notes``. ``POST /control/mode`` injects a
fault by name, and ``GET /control/counts`` returns the request counts.
"""

import asyncio
import collections
import random

from test.standins.server import Drop, Response, Server, json_response, main

CLOSE_AFTER_RUN = "close_after_run"
CLOSE_BEFORE_RUN = "close_before_run"
SLOW = "slow"
LEAVING = "leaving"
WRONG_LENGTH = "wrong_length"
LARGE_BODY_BYTES = 200_000


class App:
    """Request handler that holds the service's state."""

    def __init__(self, options):
        self.name = options.get("name", "app")
        self.mode = options.get("mode", "")
        self.slow_s = options.get("slow_s", 0.05)
        self.jitter_s = options.get("jitter_ms", 0) / 1000
        self.count_by_id = collections.Counter()
        self.received = 0
        self.slow = asyncio.Event()

    async def __call__(self, request):
        if request.path.startswith("/control/"):
            return self._control(request)
        self.received += 1
        if self.mode == CLOSE_BEFORE_RUN:
            raise Drop
        note_id = request.headers.get("x-note-id") or request.path
        self.count_by_id[f"{request.method} {note_id}"] += 1
        if self.mode == LEAVING:
            return json_response({}, 503, [("x-upstream-state", "leaving")])
        if self.mode == CLOSE_AFTER_RUN:
            raise Drop
        if self.mode == SLOW:
            await asyncio.sleep(self.slow_s)
        if self.mode == WRONG_LENGTH:
            return Response(200, _truncated_body())
        if self.jitter_s:
            await asyncio.sleep(random.uniform(0, self.jitter_s))
        return self._respond(request)

    def _respond(self, request):
        if request.path == "/large":
            return Response(200, b"x" * LARGE_BODY_BYTES)
        if request.path == "/chunked":
            return Response(200, _chunked_body())
        if request.method in ("GET", "HEAD"):
            target = f"{request.path}?{request.query}"
            trace = request.headers.get("traceparent", "")
            answer = {"app": self.name, "panel": target}
            return json_response(answer, headers=[("x-seen-traceparent", trace)])
        return json_response({"app": self.name, "saved": request.body.decode()}, 201)

    def _control(self, request):
        if request.path == "/control/mode":
            options = request.json()
            self.mode = options["mode"]
            self.slow_s = options.get("slow_s", self.slow_s)
            return json_response({})
        return json_response(
            {"received": self.received, "count_by_id": dict(self.count_by_id)}
        )


async def _chunked_body():
    for part in (b"first ", b"second ", b"third"):
        yield part


async def _truncated_body():
    yield b'{"app":'
    raise Drop


def make_server(**options):
    """Return the service and a server for it, by default on a free port."""
    app = App(options)
    return app, Server(app, "127.0.0.1", options.get("port", 0))


if __name__ == "__main__":
    main(App)
