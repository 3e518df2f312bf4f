"""A plain HTTP/1.1 client and server on asyncio streams, for the cases' stand-ins."""

import asyncio
import contextlib

CLOSE_POLL_S = 0.02


class Message:
    """A request or a response that was read.

    :ivar start: the start line, split at spaces.
    :ivar headers: the headers, names in lower case.
    :ivar body: the body's bytes.
    :ivar is_whole: whether its framing marked the end of the body.
    """

    def __init__(self, start, headers, body=b"", is_whole=True):
        self.start = start
        self.headers = headers
        self.body = body
        self.is_whole = is_whole

    @property
    def status(self):
        """The status of a response."""
        return int(self.start[1])


async def read_head(reader):
    """Return a message without its body, or None at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.lower()] = value.strip()
    return Message(lines[0].split(" ", 2), headers)


async def body_chunks(reader, headers):
    """Yield the bytes of a body as they arrive, and at last None if it is whole."""
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, ValueError):
        if headers.get("transfer-encoding") == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                data = await reader.readexactly(size + 2)
                if not size:
                    yield None
                    return
                yield data[:-2]
        left = int(headers.get("content-length", "0"))
        while left:
            data = await reader.read(min(left, 65536))
            if not data:
                return
            left -= len(data)
            yield data
        yield None


async def read_message(reader):
    """Return a whole message, one that was cut off, or None."""
    message = await read_head(reader)
    if message is None:
        return None
    message.is_whole = False
    body = bytearray()
    async for chunk in body_chunks(reader, message.headers):
        if chunk is None:
            message.is_whole = True
        else:
            body += chunk
    message.body = bytes(body)
    return message


def encode(start, headers, body=b""):
    """Return the bytes of a message with a body of known length."""
    pairs = [*headers, ("Content-Length", len(body))]
    lines = "".join(f"{name}: {value}\r\n" for name, value in pairs)
    return f"{start}\r\n{lines}\r\n".encode() + body


class Connection:
    """A client's connection, which carries one request at a time."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    @classmethod
    async def open(cls, address, port, **options):
        """Open a connection."""
        return cls(*await asyncio.open_connection(address, port, **options))

    def send(self, method, target, headers=(), body=b""):
        """Write a request."""
        start = f"{method} {target} HTTP/1.1"
        if not any(name == "Host" for name, _ in headers):
            headers = [("Host", "127.0.0.1"), *headers]
        self.writer.write(encode(start, headers, body))

    async def exchange(self, method, target, headers=(), body=b""):
        """Send a request and return its response, or None without one."""
        self.send(method, target, headers, body)
        return await read_message(self.reader)

    def close(self):
        """Close the connection."""
        self.writer.close()


class Server:
    """A server whose handler gets each connection's requests and its writer.

    :param handle: a coroutine function that takes a :class:`Message`, the
        ``StreamWriter`` and the connection's own dictionary, and writes the response;
        it returns whether the connection stays open.
    """

    def __init__(self, handle):
        self._handle = handle
        self._server = None
        self._writers = set()
        self._tasks = set()
        self.port = None

    async def start(self):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self):
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        task = asyncio.current_task()
        self._tasks.add(task)
        state = {}
        try:
            while True:
                request = await read_message(reader)
                if request is None or not request.is_whole:
                    break
                if not await self._run(request, reader, writer, state):
                    break
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            self._writers.discard(writer)
            self._tasks.discard(task)
            writer.close()

    async def _run(self, request, reader, writer, state):
        """Handle a request; drop it when its connection closes."""
        handling = asyncio.create_task(self._handle(request, writer, state))
        watching = asyncio.create_task(_closed(reader))
        try:
            await asyncio.wait(
                {handling, watching}, return_when=asyncio.FIRST_COMPLETED
            )
            if not handling.done():
                return False
            return handling.result()
        finally:
            for task in (handling, watching):
                task.cancel()
            await asyncio.gather(handling, watching, return_exceptions=True)


async def _closed(reader):
    """Return once the other end has closed the connection."""
    while True:
        if reader.at_eof() or reader.exception() is not None:
            return
        await asyncio.sleep(CLOSE_POLL_S)
