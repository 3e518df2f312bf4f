"""A request that a host sends through another one, and its response."""

import msgspec

from goldcrestmoor.connection.http_connection import FINAL_STATUSES
from goldcrestmoor.errors import ErrorKind, ServiceError

# Prefix of the path of a relayed request, which is always a POST.
RELAY_PREFIX = "/servers/requests"
HEAD_END = b"\n"
# JSON escapes take up to six times the 32 KB that a head may have.
MAX_HEAD_BYTES = 256 << 10
_SERVER_HEADER = b"relay-server"
_STARTED_HEADER = b"relay-server-started-ms"
_METHOD_HEADER = b"relay-method"
_TIMEOUT_HEADER = b"relay-timeout-ms"
_IDEMPOTENT_HEADER = b"relay-idempotent"
# Meant for the relay alone, or added by the server that received the relayed request.
_RELAY_HEADERS = frozenset(
    (
        _SERVER_HEADER,
        _STARTED_HEADER,
        _METHOD_HEADER,
        _TIMEOUT_HEADER,
        _IDEMPOTENT_HEADER,
        b"x-request-id",
        b"traceparent",
    )
)


class RelayTerms(msgspec.Struct, frozen=True):
    """How a relay sends a request.

    :param server: the name of the server that it goes to.
    :param started_ms: when that server started; a later start is another server.
    :param method: the HTTP method.
    :param timeout_ms: the timeout of the whole exchange, in milliseconds.
    :param is_idempotent: whether it may be repeated.
    :param headers: the ``(name, value)`` byte pairs to send.
    """

    server: str
    started_ms: int
    method: str
    timeout_ms: int
    is_idempotent: bool
    headers: list[tuple[bytes, bytes]]


class RelayedHead(msgspec.Struct, frozen=True):
    """The head of a relayed response, the first line of the relay's response body.

    :param status: the server's HTTP status.
    :param headers: ``(name, value)`` pairs, decoded as Latin-1.
    :param ends_by_close: as for ``ResponseStream``; hosts of the release before don't
        tell.
    """

    status: int
    headers: list[tuple[str, str]]
    ends_by_close: bool = False


_head_decoder = msgspec.json.Decoder(RelayedHead)


def relay_headers(upstream, method, timeout_ms, is_idempotent):
    """Return the headers that tell a relay how to send a request.

    The parameters are those of :class:`RelayTerms`, and:

    :param upstream: the server, a
        :class:`~goldcrestmoor.process.directory.ListedUpstream`.
    """
    return [
        (_SERVER_HEADER, upstream.name.encode()),
        (_STARTED_HEADER, str(upstream.started_ms).encode()),
        (_METHOD_HEADER, method.encode()),
        (_TIMEOUT_HEADER, str(max(1, int(timeout_ms))).encode()),
        (_IDEMPOTENT_HEADER, b"1" if is_idempotent else b"0"),
    ]


def relay_terms(headers):
    """Return the :class:`RelayTerms` of a received request.

    :param headers: its ``(name, value)`` byte pairs.
    :raises ServiceError: ``BAD_REQUEST`` when it lacks some.
    """
    pairs = [(name.lower(), value) for name, value in headers]
    values = dict(pairs)
    timeout = values.get(_TIMEOUT_HEADER, b"")
    started = values.get(_STARTED_HEADER, b"")
    server = values.get(_SERVER_HEADER, b"").decode("latin-1")
    method = values.get(_METHOD_HEADER, b"").decode("latin-1")
    if not (server and method and started.isdigit() and timeout.isdigit()):
        text = "A relayed request lacks its server, method or timeout."
        raise ServiceError(ErrorKind.BAD_REQUEST, text)
    return RelayTerms(
        server,
        int(started),
        method,
        int(timeout),
        values.get(_IDEMPOTENT_HEADER) == b"1",
        [pair for pair in pairs if pair[0] not in _RELAY_HEADERS],
    )


def encode_head(status, headers, ends_by_close=False):
    """Return the head of a relayed response, as its relay sends it before the body.

    :param status: the server's HTTP status.
    :param headers: its ``(name, value)`` byte pairs.
    :param ends_by_close: as for ``ResponseStream``.
    """
    pairs = [(n.decode("latin-1"), v.decode("latin-1")) for n, v in headers]
    return msgspec.json.encode(RelayedHead(status, pairs, ends_by_close)) + HEAD_END


class RelayedResponse:
    """A server's response, as another host relays it.

    :param response: the ``ResponseStream`` of the relay.
    :param head: the :class:`RelayedHead`.
    :param chunks: the iterator of the relay's response body, behind the head.
    :param rest: the bytes that were read with the head.
    """

    __slots__ = ("status", "headers", "ends_by_close", "_response", "_chunks", "_rest")

    def __init__(self, response, head, chunks, rest):
        self.status = head.status
        self.ends_by_close = head.ends_by_close
        self.headers = [
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in head.headers
        ]
        self._response = response
        self._chunks = chunks
        self._rest = rest

    @classmethod
    async def open(cls, response):
        """Read the head of a relayed response.

        :param response: the ``ResponseStream`` of the relay.
        :raises ServiceError: ``UPSTREAM_FAILED`` when it has none.
        """
        chunks, received = response.body(), b""
        while HEAD_END not in received:
            chunk = await anext(chunks, None)
            if chunk is None:
                text = "A relayed response has no head."
                raise ServiceError(ErrorKind.UPSTREAM_FAILED, text)
            received += chunk
            if len(received) > MAX_HEAD_BYTES and HEAD_END not in received:
                text = "The head of a relayed response is too long."
                raise ServiceError(ErrorKind.UPSTREAM_FAILED, text)
        line, _, rest = received.partition(HEAD_END)
        try:
            head = _head_decoder.decode(line)
        except msgspec.MsgspecError as e:
            text = "The head of a relayed response is malformed."
            raise ServiceError(ErrorKind.UPSTREAM_FAILED, text) from e
        if head.status not in FINAL_STATUSES:
            # Hosts of the release before pass them on.
            text = f"The status of a relayed response is {head.status}."
            raise ServiceError(ErrorKind.UPSTREAM_FAILED, text)
        return cls(response, head, chunks, rest)

    @property
    def target(self):
        """The ``(address, port)`` pair of the relay."""
        return self._response.target

    def hold(self, size):
        """Count what the reader of the body keeps of it; see ``ResponseStream.hold``.

        :param size: the bytes that it keeps now.
        """
        self._response.hold(size)

    async def discard(self):
        """Read the rest of a body that isn't used, unless it is long or slow."""
        await self._response.discard()

    async def body(self):
        """Yield the bytes of the body; see ``ResponseStream.body``."""
        if self._rest:
            yield self._rest
        async for chunk in self._chunks:
            yield chunk
