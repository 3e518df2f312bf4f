"""The project's stand-in of a server, held to what the users' pages allow."""

import json
import time

from test.standins.server import Response
from test.standins.users_server import UsersServer


class SoundServer(UsersServer):
    """A server that keeps to its slots, and states when it was started.

    Its starts are incarnations: its counts begin anew, and ``born`` is the Unix
    millisecond of the start. A request beyond its slots is rejected as not run.

    :param slots: how many requests it runs at a time.
    :ivar peak: the most requests that it has run at a time.
    """

    def __init__(self, name, service, models=None, slots=12, **options):
        super().__init__(name, service, models, **options)
        self.slots = slots
        self.running = self.peak = 0

    async def start(self, port=0):
        """Start listening, as a new incarnation."""
        self.born = int(time.time() * 1000)
        self.sequence = self.accepted = 0
        await super().start(port)

    def entry(self, state="ready", **fields):
        """Return a new entry for the list of servers."""
        return super().entry(state, slots=self.slots, **fields)

    async def _answer(self, request):
        response = await super()._answer(request)
        if request.path == "/report" and response.status == 200:
            response.body = json.dumps(
                json.loads(response.body) | {"born": self.born}
            ).encode()
        return response

    async def _run(self, request):
        if self.running >= self.slots:
            headers = [("request-id", request.headers["request-id"]), ("not-run", "1")]
            return Response(503, headers=headers)
        return await super()._run(request)

    async def _stream(self, request, version, first):
        self.running += 1
        self.peak = max(self.peak, self.running)
        try:
            async for chunk in super()._stream(request, version, first):
                yield chunk
        finally:
            self.running -= 1
