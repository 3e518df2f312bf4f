"""Minimal proxy as a baseline: a blacksheep server with the daemon's HTTP client.

``python -m test.bench.forwarder ADDRESS PORT APP_ADDRESS APP_PORT ENGINE_ADDRESS
ENGINE_PORT`` forwards every request to one of two upstreams and does nothing else:
no client accounts, no upstream selection, no spans, no metrics.
"""

import asyncio
import sys

import uvicorn
from blacksheep import Application, Content, Request, Response, StreamedContent

from goldcrestmoor.clock import Clock
from goldcrestmoor.connection.http_client import HttpClient
from test import _common

COMPLETIONS = "/v1/completions"


def make_application(http, app_endpoint, engine_endpoint):
    """Return the forwarder as a blacksheep application.

    :param http: the ``HttpClient``.
    :param app_endpoint: the application's address and port.
    :param engine_endpoint: the engine's address and port.
    """
    app = Application(show_error_details=True)

    async def fetch(request: Request) -> Response:
        target = "/" + request.route_values["tail"]
        response = await http.request(*app_endpoint, "GET", target, idempotent=True)
        content = Content(b"application/json", response.body)
        return Response(response.status, None, content)

    async def complete(request: Request) -> Response:
        body = await request.read()

        async def chunks():
            headers = [(b"content-type", b"application/json")]
            opened = http.stream(*engine_endpoint, "POST", COMPLETIONS, headers, body)
            async with opened as response:
                async for chunk in response.body():
                    yield chunk

        return Response(200, None, StreamedContent(b"text/event-stream", chunks))

    app.router.add_get("/apps/dash/*", fetch)
    app.router.add_post(COMPLETIONS, complete)
    return app


async def main(address, port, *endpoints):
    """Serve until killed."""
    http = HttpClient(clock=Clock(), limits=_common.make_settings().limits)
    app_endpoint, engine_endpoint = zip(
        endpoints[::2], map(int, endpoints[1::2]), strict=True
    )
    app = make_application(http, app_endpoint, engine_endpoint)
    await app.start()
    config = uvicorn.Config(
        app, host=address, port=int(port), http="h11", ws="none", lifespan="off",
        log_config=None, access_log=False,
    )  # fmt: skip
    server = uvicorn.Server(config)
    serving = asyncio.create_task(server.serve())
    await _common.eventually(lambda: server.started)
    print(f"ready {port}", flush=True)
    await serving


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
