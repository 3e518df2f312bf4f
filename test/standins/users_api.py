"""Stand-in for the API of the users' platform: usage reports and server orders."""

import asyncio

from test.standins.server import Drop, Response, Server


class UsersApi:
    """Accepts calls of the holder of a duty, and records them.

    :ivar calls: every call that arrived, as ``(path, holder, fencing, body)``.
    :ivar received: also every call that was refused, with the time of its arrival
        first.
    :ivar arrived_s: when each of them arrived, by the loop's clock.
    :ivar mode: ``""`` to accept calls, ``busy`` to answer 503, ``reset`` to close
        connections, ``silent`` to answer nothing, ``full`` to answer 429.
    :ivar lost_answers: how many of the next calls are accepted without a response.
    :ivar unavailable_zones: the availability zones in which orders get 409.
    """

    def __init__(self):
        self.calls = []
        self.received = []
        self.arrived_s = []
        self.mode = ""
        self.lost_answers = 0
        self.unavailable_zones = set()
        self._server = Server(self.handle, "127.0.0.1", 0)

    @property
    def port(self):
        """The port that the API listens on."""
        return self._server.port

    async def start(self):
        """Start listening."""
        await self._server.start()

    async def close(self):
        """Stop listening and abort all connections."""
        await self._server.close()

    async def handle(self, request):
        """Answer one call."""
        body = request.json()
        holder = request.headers["duty-holder"]
        fencing = int(request.headers["fence-token"])
        now_s = asyncio.get_running_loop().time()
        self.received.append((now_s, request.path, holder, fencing, body))
        match self.mode:
            case "busy":
                return Response(503)
            case "reset":
                raise Drop
            case "full":
                return Response(429)
            case "silent":
                await asyncio.sleep(60)
        self.calls.append((request.path, holder, fencing, body))
        self.arrived_s.append(now_s)
        if self.lost_answers:
            self.lost_answers -= 1
            raise Drop
        if body.get("zone") in self.unavailable_zones:
            return Response(409)
        return Response(200)

    def usage(self):
        """Return the counts of each reported window, in the order of arrival."""
        return [
            (body["windowId"], body["counts"])
            for path, _, _, body in self.calls
            if path == "/usage"
        ]

    def orders(self):
        """Return each order as ``(service, zone, count)``, in the order of arrival."""
        return [
            (body["service"], body["zone"], body["targetGroups"])
            for path, _, _, body in self.calls
            if path == "/scaling"
        ]
