"""HTTP protocol of caller connections: errors as JSON, and a request head timeout."""

import h11
import msgspec
from uvicorn.protocols.http.h11_impl import H11Protocol

from goldcrestmoor import errors
from goldcrestmoor.clock import MS_PER_SECOND
from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.process.memory_guard import STATE_KEY


def protocol_class(metrics, head_timeout_ms, memory=None):
    """Return uvicorn's protocol with this service's error format and head timeout.

    :param metrics: the :class:`~goldcrestmoor.process.metrics.Metrics`.
    :param head_timeout_ms: the timeout for a request head, in milliseconds.
    :param memory: the :class:`~goldcrestmoor.process.memory_guard.MemoryGuard` that
        counts what connections hold; None to count nothing.
    """

    class Protocol(H11Protocol):
        """HTTP/1.1 with JSON error responses and a request head timeout."""

        head_timer = None

        def connection_made(self, transport):
            super().connection_made(transport)
            self._start_head_timer()

        def connection_lost(self, exc):
            self._stop_head_timer()
            super().connection_lost(exc)

        def data_received(self, data):
            super().data_received(data)
            has_partial_head = bool(self.conn.trailing_data[0])
            if self.conn.their_state is not h11.IDLE or not has_partial_head:
                self._stop_head_timer()
            elif self.head_timer is None:
                self._start_head_timer()

        def close_if_idle(self):
            """Close the connection if it had a response and no request since."""
            had_response = self.cycle is not None and self.cycle.response_complete
            if had_response and not self.conn.trailing_data[0]:
                self.shutdown()

        def send_400_response(self, msg):
            self._reject(
                ServiceError(ErrorKind.BAD_REQUEST, "The request head is malformed.")
            )

        def _start_head_timer(self):
            self.head_timer = self.loop.call_later(
                head_timeout_ms / MS_PER_SECOND, self._on_head_timeout
            )

        def _stop_head_timer(self):
            if self.head_timer is not None:
                self.head_timer.cancel()
                self.head_timer = None

        def _on_head_timeout(self):
            if not self.conn.trailing_data[0]:
                # A response here could be mistaken for the response to a later request.
                self.transport.close()
                return
            text = f"The request head did not arrive within {head_timeout_ms} ms."
            self._reject(ServiceError(ErrorKind.BAD_REQUEST, text))

        def _reject(self, error):
            metrics.bad_input.labels("http").inc()
            body = msgspec.json.encode(errors.to_body(error))
            head = (
                "HTTP/1.1 400 Bad Request\r\nContent-Type: application/json\r\n"
                f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
            )
            self.transport.write(head.encode() + body)
            self.transport.close()

    class CountedProtocol(Protocol):
        """The same, with the memory held for the connection."""

        def connection_made(self, transport):
            super().connection_made(transport)
            self.memory = memory.open_caller(transport)
            self.app_state = {**self.app_state, STATE_KEY: self.memory}

        def connection_lost(self, exc):
            self.memory.close()
            super().connection_lost(exc)

    return Protocol if memory is None else CountedProtocol
