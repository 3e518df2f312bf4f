"""A small HTTP/1.1 server for stand-ins, on asyncio streams and h11.

It can inject faults: a handler may raise :class:`Drop` to close the connection
without a response.
"""

import asyncio
import json
import sys

import h11

READ_BYTES = 65536
# Long enough for a caller to read what comes before a response by itself.
BEFORE_S = 0.05


class Drop(Exception):
    """Raised to close the connection immediately, without the rest of a response."""


class Request:
    """A request with its complete body."""

    __slots__ = ("method", "path", "query", "headers", "body")

    def __init__(self, method, target, headers, body):
        self.method = method
        self.path, _, self.query = target.partition("?")
        self.headers = headers
        self.body = body

    def json(self):
        """Return the decoded body."""
        return json.loads(self.body)


class Response:
    """A response whose body is bytes, or an async iterator of bytes sent in chunks.

    :ivar before: bytes that are sent before it, or None.
    """

    __slots__ = ("status", "headers", "body", "before")

    def __init__(self, status=200, body=b"", headers=()):
        self.status = status
        self.headers = list(headers)
        self.body = body
        self.before = None


def json_response(value, status=200, headers=()):
    """Return a response with a JSON body."""
    return Response(status, json.dumps(value).encode(), headers)


class Server:
    """HTTP server for a handler, ``async (Request) -> Response``, on one address."""

    __slots__ = ("handler", "address", "port", "_server", "_reader_by_writer", "_tasks")

    def __init__(self, handler, address, port):
        self.handler = handler
        self.address = address
        self.port = port
        self._server = None
        self._reader_by_writer = {}
        self._tasks = set()

    @property
    def connection_count(self):
        """The number of connections that the other end has not closed."""
        readers = self._reader_by_writer.values()
        return sum(not reader.at_eof() for reader in readers)

    async def start(self):
        """Start listening."""
        self._server = await asyncio.start_server(
            self._serve, self.address, self.port, backlog=1024
        )
        if not self.port:
            self.port = self._server.sockets[0].getsockname()[1]

    async def close(self):
        """Stop listening, if it has begun, and abort all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._reader_by_writer):
            writer.transport.abort()

    async def run(self):
        """Start, print ``ready`` and the port, and serve until cancelled."""
        await self.start()
        print(f"ready {self.port}", flush=True)
        await self._server.serve_forever()

    async def _serve(self, reader, writer):
        self._reader_by_writer[writer] = reader
        # Nothing else refers to the task of a handler that never returns; it would be
        # garbage-collected together with its connection.
        task = asyncio.current_task()
        self._tasks.add(task)
        connection = h11.Connection(h11.SERVER)
        try:
            while await self._serve_one(connection, reader, writer):
                connection.start_next_cycle()
        except (Drop, ConnectionError, h11.ProtocolError, asyncio.CancelledError):
            pass
        finally:
            self._reader_by_writer.pop(writer, None)
            self._tasks.discard(task)
            writer.transport.abort() if writer.is_closing() else writer.close()

    async def _serve_one(self, connection, reader, writer):
        request = await _read_request(connection, reader)
        if request is None:
            return False
        response = await self.handler(request)
        if response.before is not None:
            writer.write(response.before)
            await writer.drain()
            await asyncio.sleep(BEFORE_S)
        body = response.body
        headers = list(response.headers)
        if isinstance(body, bytes):
            headers.append(("content-length", str(len(body))))
        else:
            headers.append(("transfer-encoding", "chunked"))
        head = h11.Response(status_code=response.status, headers=headers)
        writer.write(connection.send(head))
        if isinstance(body, bytes):
            writer.write(connection.send(h11.Data(data=body)))
        else:
            await _write_chunks(connection, writer, body)
        writer.write(connection.send(h11.EndOfMessage()))
        await writer.drain()
        return connection.our_state is h11.DONE and connection.their_state is h11.DONE


async def _write_chunks(connection, writer, body):
    try:
        async for chunk in body:
            writer.write(connection.send(h11.Data(data=chunk)))
            await writer.drain()
    finally:
        # A suspended generator would count as running until it is garbage-collected.
        if hasattr(body, "aclose"):
            await body.aclose()


async def _read_request(connection, reader):
    head, body = None, []
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await reader.read(READ_BYTES))
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            headers = {k.decode().lower(): v.decode() for k, v in head.headers}
            return Request(
                head.method.decode(), head.target.decode(), headers, b"".join(body)
            )
        else:
            return None


def main(make_handler):
    """Run a stand-in with the options in the first argument, a JSON object.

    :param make_handler: returns the handler for the decoded options, which include
        at least ``address`` and ``port``.
    """
    options = json.loads(sys.argv[1])
    server = Server(make_handler(options), options["address"], options["port"])
    asyncio.run(server.run())
