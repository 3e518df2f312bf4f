"""Forward a stream of events as they come, and carry it on where that is allowed.

The load this answers: engines crash, hang and change weights while long streams are
open. A stream that may be resumed goes on at another engine behind the last whole
event that its caller has; any other is broken off, so that it never looks complete.
"""

import contextlib
import logging

import msgspec

from goldcrestmoor.errors import ErrorKind, Ran, ServiceError
from goldcrestmoor.request.apps import AppResponse
from goldcrestmoor.request.event_stream import EventParser
from goldcrestmoor.request.forwarding import Sender, TryEnd
from goldcrestmoor.version.configuration.routes import RetryPolicy

log = logging.getLogger("goldcrestmoor.streams")

STATUS_OK = 200
EVENT_STREAM = b"text/event-stream"
# Callers leave a stream after a gap of two seconds, or longer by their route's terms.
SILENCE_MS = 2000


class StreamResponse(msgspec.Struct, frozen=True):
    """An answer that comes in events.

    :param headers: ``(name, value)`` byte pairs of the first upstream's answer.
    :param events: an async iterator of the events' bytes. It raises when the stream
        is broken for good, and must be closed.
    """

    headers: tuple[tuple[bytes, bytes], ...]
    events: object


class StreamForwarder(Sender):
    """Send requests whose answers are streams."""

    __slots__ = ()

    async def forward(self, request, route, deadline):
        """Return an answer once its first event is there, or a whole one.

        :param request: the :class:`~goldcrestmoor.request.forwarding.CallerRequest`.
        :param route: its :class:`~goldcrestmoor.version.configuration.routes.Route`.
        :param deadline: when the stream must have ended.
        :return: a :class:`StreamResponse`, or an
            :class:`~goldcrestmoor.request.apps.AppResponse` when it is no stream.
        :raises ServiceError: as ``Forwarder.forward``.
        """
        tries = self._tries(request, route, deadline)
        parts = self._run(tries)
        try:
            head = await anext(parts)
            match head:
                case AppResponse():
                    await parts.aclose()
                    return head
                case _:
                    first = await anext(parts, None)
        except BaseException:
            await parts.aclose()
            raise
        return StreamResponse(head, _joined(first, parts))

    async def _run(self, tries):
        """Yield the first upstream's headers, then each event's bytes.

        An answer that is no stream is yielded whole, in place of the headers.
        """
        last_id, has_head, has_events = "", False, False
        while True:
            upstream = tries.next_upstream()
            reader = EventParser(self._dialect.EVENT_FIELDS)
            try:
                async with self._opened(upstream, tries, last_id) as response:
                    end = await self._check(upstream, tries, response, has_head)
                    if isinstance(end, AppResponse):
                        yield end
                        return
                    if end is None:
                        tries.note_answer(response.status)
                        if not has_head:
                            has_head = True
                            yield tuple(response.headers)
                        async for chunk in response.body():
                            for event in reader.feed(chunk):
                                last_id = event.id or last_id
                                has_events = True
                                yield event.raw
                        if not reader.has_partial_event:
                            self._loads.note_answer(upstream, tries.route.name)
                            return
                        end = TryEnd(Ran.UNKNOWN, "The stream ended within an event")
                if end.ran is not Ran.NOT_RUN:
                    self._loads.note_failure(upstream)
            except ServiceError as e:
                self._note_error(upstream, tries, e)
                end = TryEnd(e.answer.ran, e.message)
            may_resume = last_id and tries.route.retry_policy is RetryPolicy.RESUMABLE
            if has_events and not may_resume:
                raise ServiceError(ErrorKind.UPSTREAM_FAILED, end.reason)
            tries.settle(end)

    def _note_error(self, upstream, tries, error):
        # Silence within the stream is its engine's; a stream that is longer than its
        # caller waits says nothing of the engine.
        if error.kind is ErrorKind.UPSTREAM_TIMEOUT and tries.deadline.passed():
            self._loads.note_timeout(upstream, tries.route.name)
        else:
            self._loads.note_failure(upstream)

    @contextlib.asynccontextmanager
    async def _opened(self, upstream, tries, last_id):
        request = tries.request
        headers = self._dialect.request_headers(
            request.headers, upstream, tries.deadline.remaining_ms()
        )
        if last_id:
            resume = self._dialect.resume_header(last_id)
            headers = [pair for pair in headers if pair[0] != resume[0]] + [resume]
        with self._loads.counted(upstream):
            async with self._http.stream(
                upstream.address,
                upstream.port,
                request.method,
                request.target,
                headers,
                request.body,
                max(1, tries.deadline.remaining_ms()),
                idempotent=tries.route.retry_policy is not RetryPolicy.NEVER,
                progress_timeout_ms=max(SILENCE_MS, 4 * tries.route.target_ms),
                allow_close_delimited=True,
            ) as response:
                yield response

    async def _check(self, upstream, tries, response, has_head):
        """Return None for a stream to pass on, else how the try ended."""
        status, headers = response.status, response.headers
        if self._dialect.ran(status, headers) is Ran.NOT_RUN:
            async for _ in response.body():
                pass
            return TryEnd(Ran.NOT_RUN, f"Not run, answered {status}")
        if not self._dialect.is_genuine(tries.request.id, status, headers):
            return TryEnd(Ran.UNKNOWN, "The answer is spoilt or another's")
        if dict(headers).get(b"content-type", b"").startswith(EVENT_STREAM):
            return None
        if has_head:
            return TryEnd(Ran.RAN, f"{upstream.name} did not resume it: {status}")
        chunks = [chunk async for chunk in response.body()]
        return AppResponse(status, tuple(headers), b"".join(chunks))


async def _joined(first, parts):
    async with contextlib.aclosing(parts):
        if first is not None:
            yield first
        async for part in parts:
            yield part
