"""A stand-in whose port another process has taken, so that it can't listen."""

import socket
import unittest

from test.standins.server import Response, Server


async def respond(request):
    return Response(200)


class TakenPortTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_server_that_could_not_start_can_be_closed(self):
        """The error of its start was hidden by one of its close."""
        with socket.socket() as other:
            other.bind(("127.0.0.1", 0))
            other.listen()
            server = Server(respond, "127.0.0.1", other.getsockname()[1])
            with self.assertRaises(OSError):
                await server.start()
            await server.close()


if __name__ == "__main__":
    unittest.main()
