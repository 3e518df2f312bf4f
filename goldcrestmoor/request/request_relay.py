"""Relays requests of hosts that can't reach a server."""

import contextlib

from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.request.forwarding import CONNECT_TIMEOUT_MS, Sender
from goldcrestmoor.request.relayed_messages import (
    RELAY_PREFIX,
    encode_head,
    relay_terms,
)

# Bounds the memory and the connections that other hosts' requests take here.
MAX_RELAYED = 256


class RequestRelay(Sender):
    """Sends other hosts' requests to the server that they name, each once.

    What a request means, and whether it is sent again, is up to the host that has the
    caller. Takes the parameters of
    :class:`~goldcrestmoor.request.forwarding.Sender`, and:

    :param directory: the :class:`~goldcrestmoor.process.directory.UpstreamDirectory`.
    :param in_flight: the :class:`~goldcrestmoor.process.shutdown.InFlight`.
    """

    __slots__ = ("_directory", "_in_flight", "_count")

    def __init__(self, *, directory, in_flight, **forwarding):
        super().__init__(**forwarding)
        self._directory = directory
        self._in_flight = in_flight
        self._count = 0

    async def relay(self, target, headers, body):
        """Yield the head of the server's response as a line, then its body.

        :param target: the path and query, with the prefix of relayed requests.
        :param headers: ``(name, value)`` byte pairs.
        :param body: the body.
        :raises ServiceError: ``DRAINING``, ``OVERLOADED`` or ``UPSTREAM_UNREACHABLE``
            when the request was not run, else those of the ``HttpClient``.
        """
        terms = relay_terms(headers)
        self._in_flight.check_time(terms.timeout_ms)
        upstream = self._upstream(terms)
        if not self._loads.has_room(upstream, len(body)):
            text = f"{terms.server} has no room for another request of this host."
            raise ServiceError(ErrorKind.OVERLOADED, text)
        request_id = dict(terms.headers).get(b"request-id", b"").decode("latin-1")
        async with contextlib.AsyncExitStack() as stack:
            stack.enter_context(self._counted())
            stack.enter_context(self._loads.track_request(upstream, len(body)))
            response = await stack.enter_async_context(
                self._http.stream(
                    upstream.address,
                    upstream.port,
                    terms.method,
                    target.removeprefix(RELAY_PREFIX),
                    terms.headers,
                    body,
                    terms.timeout_ms,
                    terms.is_idempotent,
                    connect_timeout_ms=CONNECT_TIMEOUT_MS,
                    progress_timeout_ms=terms.timeout_ms,
                    allow_close_delimited=True,
                    before_send=lambda: self._loads.check_usable(upstream),
                )
            )
            status, received = response.status, response.headers
            self._record_server_state(upstream, request_id, status, received)
            yield encode_head(status, received, response.ends_by_close)
            if not self._dialect.is_genuine(request_id, status, received):
                # Unread, its connection is closed: the right response may still come.
                return
            async for chunk in response.body():
                yield chunk

    def _upstream(self, terms):
        upstream = self._directory.upstream_by_name.get(terms.server)
        if (
            upstream is None
            or upstream.started_ms != terms.started_ms
            or not self._directory.is_usable(upstream)
        ):
            text = f"{terms.server} accepts no new work, or has started again."
            raise ServiceError(ErrorKind.DRAINING, text)
        return upstream

    @contextlib.contextmanager
    def _counted(self):
        if self._count >= MAX_RELAYED:
            text = "This host relays no more requests."
            raise ServiceError(ErrorKind.OVERLOADED, text)
        self._count += 1
        try:
            with self._in_flight.track():
                yield
        finally:
            self._count -= 1
