"""Ports of stand-ins that stop and start again beside other test processes.

Another process took the port of a link or a server while that was down, so that it
could not be healed or started again.
"""

import asyncio
import socket
import unittest

from test import _common
from test.standins.server import Response, Server


async def respond(request):
    return Response(200)


class ReservedPortTest(unittest.IsolatedAsyncioTestCase):
    async def test_nobody_else_gets_the_port_while_its_server_is_down(self):
        port = _common.reserved_port()
        for _ in range(2):
            server = Server(respond, "127.0.0.1", port)
            await server.start()
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.close()
            await server.close()
            with socket.socket() as other, self.assertRaises(OSError):
                # As in free_port().
                other.bind(("127.0.0.1", port))
            with self.assertRaises(ConnectionRefusedError):
                await asyncio.open_connection("127.0.0.1", port)

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
