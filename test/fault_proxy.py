"""A small TCP proxy that injects faults, in-process or as a separate process.

Each link forwards one listening port to one target. As a process it takes
``{"address", "control_port", "links": [{"name", "address", "port",
"target_address", "target_port"}]}`` and is controlled by
``POST /links/{name}/{fault}`` on the control port, with the fault's arguments as
a JSON object; ``GET /links`` returns the counts.
"""

import asyncio
import json
import socket
import sys

from test.standins import server

READ_BYTES = 65536
# Connections that fill the queue of a listener that accepts none.
UNANSWERED_FILL = 4
UP = "up"
DOWN = "down"
BOTH = "both"


class Faults:
    """The faults of one direction of a link."""

    __slots__ = ("delay_ms", "cut_after_bytes", "is_silent", "suffix")

    def __init__(self):
        self.delay_ms = 0
        self.cut_after_bytes = None
        self.is_silent = False
        self.suffix = b""


class Link:
    """One listening port and its target.

    :param target_address: the address to forward to.
    :param target_port: the port to forward to.
    :param address: the address to listen on.
    :param port: the port to listen on; any free port when zero.
    """

    __slots__ = (
        "address",
        "port",
        "target_address",
        "target_port",
        "accepted",
        "bytes_by_direction",
        "_faults_by_direction",
        "_server",
        "_pairs",
        "_silent_pairs",
        "_source_by_pair",
        "_blocked_prefixes",
        "_unanswered",
    )

    def __init__(self, target_address, target_port, address="127.0.0.1", port=0):
        self.address = address
        self.port = port
        self.target_address = target_address
        self.target_port = target_port
        self.accepted = 0
        self.bytes_by_direction = {UP: 0, DOWN: 0}
        self._faults_by_direction = {UP: Faults(), DOWN: Faults()}
        self._server = None
        self._pairs = {}
        self._silent_pairs = set()
        self._source_by_pair = {}
        self._blocked_prefixes = set()
        self._unanswered = []

    async def start(self):
        """Start listening."""
        self._server = await asyncio.start_server(
            self._serve, self.address, self.port, backlog=1024
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self):
        """Stop listening and abort every connection."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self._answer()
        self.cut()

    @property
    def is_listening(self):
        """Whether new connections are accepted."""
        return self._server is not None

    def any_open(self, pairs):
        """Return whether any of the connections that :meth:`cut` returned is open."""
        return any(pair in self._pairs for pair in pairs)

    def delay(self, ms, direction=BOTH):
        """Delay each read of data."""
        for faults in self._select(direction):
            faults.delay_ms = ms

    def cut(self):
        """Abort the open connections, and return their numbers."""
        pairs = list(self._pairs)
        for writers in list(self._pairs.values()):
            for writer in writers:
                writer.transport.abort()
        return pairs

    def cut_after(self, n, direction=DOWN):
        """Abort each connection after its first n bytes in a direction."""
        for faults in self._select(direction):
            faults.cut_after_bytes = n

    def silence(self, direction=BOTH):
        """Drop all bytes on existing and new connections, but keep them open."""
        for faults in self._select(direction):
            faults.is_silent = True

    def silence_old(self):
        """Drop all bytes on the open connections; new ones work."""
        self._silent_pairs.update(self._pairs)

    def inject(self, data, direction=DOWN):
        """Write bytes that neither end sent to the open connections."""
        for writers in self._pairs.values():
            writers[0 if direction == DOWN else -1].write(data)

    def append(self, data, direction=DOWN):
        """Append bytes to each read of data that is forwarded."""
        for faults in self._select(direction):
            faults.suffix = data

    def block(self, prefixes):
        """Drop all bytes from and to sources with the given address prefixes.

        Connections that lost bytes are aborted when the block is removed, since the
        proxy cannot retransmit them.

        :param prefixes: the address prefixes; an empty sequence removes the block.
        """
        blocked = [p for p in self._pairs if self._is_blocked(p)]
        self._blocked_prefixes = set(prefixes)
        for pair in blocked:
            if not self._is_blocked(pair):
                for writer in self._pairs[pair]:
                    writer.transport.abort()

    def _is_blocked(self, pair):
        source = self._source_by_pair.get(pair, "")
        return any(source.startswith(prefix) for prefix in self._blocked_prefixes)

    def refuse_new(self):
        """Refuse new connections; the open ones live on."""
        self._server.close()
        self._server = None

    async def leave_unanswered(self):
        """Drop all bytes on the open connections, and let new ones wait for ever."""
        self.silence_old()
        self.refuse_new()
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((self.address, self.port))
        listener.listen(0)
        self._unanswered = [listener]
        # The kernel drops what comes once the queue of the listener is full.
        for _ in range(UNANSWERED_FILL):
            waiting = socket.socket()
            waiting.setblocking(False)
            waiting.connect_ex((self.address, self.port))
            self._unanswered.append(waiting)

    def _answer(self):
        for each in self._unanswered:
            each.close()
        self._unanswered = []

    async def refuse(self):
        """Refuse new connections and abort the open ones."""
        await self.close()

    async def heal(self):
        """Remove the faults; connections of :meth:`silence_old` stay silent."""
        self._faults_by_direction = {UP: Faults(), DOWN: Faults()}
        self._answer()
        if self._server is None:
            await self.start()

    def _select(self, direction):
        names = (UP, DOWN) if direction == BOTH else (direction,)
        return [self._faults_by_direction[name] for name in names]

    async def _serve(self, reader, writer):
        self.accepted += 1
        pair = self.accepted
        self._pairs[pair] = (writer,)
        self._source_by_pair[pair] = writer.get_extra_info("peername")[0]
        if self._is_blocked(pair):
            await self._discard_input(pair, reader, writer)
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(
                self.target_address, self.target_port
            )
        except OSError:
            self._remove(pair)
            writer.transport.abort()
            return
        self._pairs[pair] = (writer, target_writer)
        try:
            await asyncio.gather(
                self._pump(pair, UP, reader, target_writer),
                self._pump(pair, DOWN, target_reader, writer),
            )
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            for each in self._pairs[pair]:
                each.transport.abort()
            self._remove(pair)

    async def _discard_input(self, pair, reader, writer):
        """Read and discard the bytes of a blocked source."""
        try:
            while await reader.read(READ_BYTES):
                pass
        except OSError:
            pass
        finally:
            writer.transport.abort()
            self._remove(pair)

    def _remove(self, pair):
        self._pairs.pop(pair, None)
        self._source_by_pair.pop(pair, None)
        self._silent_pairs.discard(pair)

    async def _pump(self, pair, direction, reader, writer):
        forwarded = 0
        while data := await reader.read(READ_BYTES):
            faults = self._faults_by_direction[direction]
            if faults.delay_ms:
                await asyncio.sleep(faults.delay_ms / 1000)
                faults = self._faults_by_direction[direction]
            silent = faults.is_silent or pair in self._silent_pairs
            if silent or self._is_blocked(pair):
                continue
            bound = faults.cut_after_bytes
            if bound is not None and forwarded + len(data) >= bound:
                writer.write(data[: bound - forwarded])
                await writer.drain()
                raise ConnectionAbortedError
            writer.write(data + faults.suffix)
            forwarded += len(data)
            self.bytes_by_direction[direction] += len(data)
            await writer.drain()
        if pair not in self._silent_pairs and not writer.is_closing():
            writer.write_eof()


class FaultProxy:
    """Links by name, with the control port's handler."""

    __slots__ = ("links_by_name",)

    def __init__(self, links):
        self.links_by_name = {
            link["name"]: Link(
                link["target_address"],
                link["target_port"],
                link.get("address", "127.0.0.1"),
                link["port"],
            )
            for link in links
        }

    async def start(self):
        """Start every link."""
        for link in self.links_by_name.values():
            await link.start()

    async def close(self):
        """Stop every link."""
        for link in self.links_by_name.values():
            await link.close()

    async def handle(self, request):
        """Handle one request on the control port."""
        if request.path == "/links":
            return server.json_response(
                {
                    name: {"accepted": link.accepted, "bytes": link.bytes_by_direction}
                    for name, link in self.links_by_name.items()
                }
            )
        _, _, name, fault = request.path.split("/")
        link = self.links_by_name[name]
        arguments = request.json() if request.body else {}
        match fault:
            case "delay" | "cut" | "cut_after" | "silence" | "silence_old":
                getattr(link, fault)(**arguments)
            case "refuse" | "heal":
                await getattr(link, fault)()
            case _:
                return server.Response(404)
        return server.json_response({})


async def run(options):
    """Serve the links and the control port until cancelled."""
    proxy = FaultProxy(options["links"])
    await proxy.start()
    control = server.Server(proxy.handle, options["address"], options["control_port"])
    await control.run()


if __name__ == "__main__":
    asyncio.run(run(json.loads(sys.argv[1])))
