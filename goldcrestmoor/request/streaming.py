"""Forwarding of event streams, which are resumed on failure where the route allows it.

Workload: engines crash, hang and change weights while long streams are open. A stream
that may be resumed continues on another engine after the last complete event that was
sent to the caller; any other stream is aborted, so that it never looks complete. What
engines of two software versions write doesn't fit together, so that a stream continues
only at the version that began it, also when its caller takes it up at another host.
"""

import contextlib
import logging

import msgspec

from goldcrestmoor.decoding import parse_integer
from goldcrestmoor.errors import ErrorKind, Ran, ServiceError
from goldcrestmoor.request import retry_decision
from goldcrestmoor.request.apps import AppResponse
from goldcrestmoor.request.event_stream import EventParser
from goldcrestmoor.request.forwarding import CallerRequestSender, FailedAttempt
from goldcrestmoor.version.configuration.routes import RetryPolicy

log = logging.getLogger("goldcrestmoor.streams")

STATUS_OK = 200
EVENT_STREAM = b"text/event-stream"
# Callers abandon a stream after a gap of two seconds, or more if their route allows it.
MIN_IDLE_TIMEOUT_MS = 2000


class StreamResponse(msgspec.Struct, frozen=True):
    """A response that is a stream of events.

    :param headers: ``(name, value)`` byte pairs of the first upstream's response.
    :param events: an async iterator of the events' bytes, which must be closed. It
        raises when the stream fails and is not resumed.
    """

    headers: tuple[tuple[bytes, bytes], ...]
    events: object


class UnrecordedError(Exception):
    """The version of a new stream's upstream could not be recorded."""


class StreamForwarder(CallerRequestSender):
    """Forward requests whose responses are streams.

    Takes the parameters of ``CallerRequestSender``, and:

    :param versions: the
        :class:`~goldcrestmoor.process.stream_versions.StreamVersions`.
    """

    __slots__ = ("_versions",)

    def __init__(self, *, versions, **forwarding):
        super().__init__(**forwarding)
        self._versions = versions

    async def forward(self, request, route, deadline):
        """Return a response once its first event is received, or a complete one.

        :param request: the :class:`~goldcrestmoor.request.forwarding.CallerRequest`.
        :param route: its :class:`~goldcrestmoor.version.configuration.routes.Route`.
        :param deadline: the time by which the stream must have ended.
        :return: a :class:`StreamResponse`, or an
            :class:`~goldcrestmoor.request.apps.AppResponse` when it is not a stream.
        :raises ServiceError: as ``Forwarder.forward``; also ``NO_UPSTREAM`` when it is
            unknown which software version began the stream.
        """
        attempts = self._new_attempts(request, route, deadline)
        may_resume = route.retry_policy is RetryPolicy.RESUMABLE
        if may_resume and request.resumed_id is not None:
            await self._find_version(attempts)
        elif may_resume and not self._versions.can_record():
            self._restrict_to_unrecorded(attempts)
        items = self._run(attempts)
        try:
            head = await anext(items)
            match head:
                case AppResponse():
                    await items.aclose()
                    return head
                case _:
                    first = await anext(items, None)
        except BaseException:
            await items.aclose()
            raise
        return StreamResponse(head, _prepend(first, items))

    async def _find_version(self, attempts):
        """Restrict a stream that is taken up to the version that began it."""
        stream_id = attempts.request.resumed_id
        version = await self._versions.find(stream_id, attempts.service)
        if version is None:
            text = f"It is unknown which software version began stream {stream_id}."
            raise ServiceError(
                ErrorKind.NO_UPSTREAM, text, retry_decision.RETRY_AFTER_NONE_MS
            )
        attempts.software_version = version

    def _restrict_to_unrecorded(self, attempts):
        """Restrict a new stream to the version that needs no record."""
        version = self._versions.unrecorded_version(attempts.service)
        if version is None:
            text = "The software version of a new stream can't be recorded now."
            raise ServiceError(
                ErrorKind.NO_UPSTREAM, text, retry_decision.RETRY_AFTER_NONE_MS
            )
        attempts.software_version = version

    async def _begin(self, attempts, upstream):
        """Restrict a stream to the version of the upstream that began it.

        :raises UnrecordedError: when its client could not take it up again at that
            version; nothing of it must be sent on.
        """
        version = upstream.software_version
        may_be_taken_up = attempts.route.retry_policy is RetryPolicy.RESUMABLE
        if may_be_taken_up and attempts.request.resumed_id is None:
            is_recorded = await self._versions.begin(
                attempts.request.id, attempts.service, version
            )
            if not is_recorded:
                text = f"Software {version} of {upstream.name} could not be recorded."
                raise UnrecordedError(text)
        attempts.software_version = version

    def _count(self, attempts):
        """Count a stream, unless it was counted when it began."""
        may_resume = attempts.route.retry_policy is RetryPolicy.RESUMABLE
        if attempts.request.resumed_id is None or not may_resume:
            attempts.record_start()

    async def _run(self, attempts):
        """Yield the first upstream's headers, then the bytes of its events.

        A response that is not a stream is yielded complete, in place of the headers.
        """
        last_id, has_head, has_events = "", False, False
        while True:
            has_new_events = False
            upstream = await attempts.next_upstream()
            sent_ms = attempts.deadline.clock.now_ms()
            parser = EventParser(
                self._dialect.EVENT_FIELDS,
                attempts.deadline.clock,
                _idle_timeout_ms(attempts.route),
            )
            try:
                async with self._open_stream(upstream, attempts, last_id) as response:
                    outcome = await self._check_response(
                        upstream, attempts, response, has_head
                    )
                    if isinstance(outcome, AppResponse):
                        self._count(attempts)
                        attempts.record_run()
                        yield outcome
                        return
                    if outcome is None:
                        attempts.record_response(response.status)
                        if not has_head:
                            has_head = True
                            yield tuple(response.headers)
                        async for chunk in response.body():
                            raw, last_id, error = _parse(
                                parser, chunk, attempts.route, last_id
                            )
                            if raw:
                                if not has_events:
                                    await self._begin(attempts, upstream)
                                    self._count(attempts)
                                has_events = has_new_events = True
                                yield raw
                                # A caller that reads slowly is no stall of the server.
                                parser.exclude_pause()
                            if error is not None:
                                raise error
                            response.hold(parser.buffered_bytes)
                        is_cut = response.ends_by_close and not has_new_events
                        if not (parser.has_partial_event or is_cut):
                            if parser.rest:
                                yield parser.rest
                            self._loads.record_response(upstream, attempts.route.name)
                            attempts.record_run()
                            return
                        text = "The stream ended within an event, or before the first"
                        raise ServiceError(ErrorKind.UPSTREAM_FAILED, text)
                if outcome.ran is not Ran.NOT_RUN:
                    self._loads.record_failure(upstream)
            except UnrecordedError as e:
                # The upstream's events are discarded.
                last_id = ""
                version = self._versions.unrecorded_version(attempts.service)
                if version is None:
                    raise ServiceError(ErrorKind.UPSTREAM_FAILED, str(e)) from e
                attempts.software_version = version
                outcome = FailedAttempt(Ran.RAN, str(e))
            except ServiceError as e:
                self._record_error(upstream, attempts, e)
                await attempts.record_lost_response(upstream, sent_ms, e)
                outcome = FailedAttempt(e.answer.ran, e.message)
            may_resume = (
                last_id and attempts.route.retry_policy is RetryPolicy.RESUMABLE
            )
            if has_events and not may_resume:
                raise ServiceError(ErrorKind.UPSTREAM_FAILED, outcome.reason)
            attempts.retry_or_raise(outcome)

    def _record_error(self, upstream, attempts, error):
        # An idle timeout within the stream is the engine's fault; a stream that is
        # longer than its caller's deadline is not.
        if error.kind is ErrorKind.DRAINING:
            return
        if error.kind is ErrorKind.UPSTREAM_TIMEOUT and attempts.deadline.passed():
            self._loads.record_timeout(upstream, attempts.route.name)
        else:
            self._loads.record_failure(upstream)

    @contextlib.asynccontextmanager
    async def _open_stream(self, upstream, attempts, last_id):
        request = attempts.request
        headers = self._dialect.request_headers(
            request.headers, upstream, attempts.deadline.remaining_ms()
        )
        if last_id:
            resume = self._dialect.resume_header(last_id)
            headers = [pair for pair in headers if pair[0] != resume[0]] + [resume]
        with self._loads.track_request(upstream, len(request.body)):
            async with self._paths.stream(
                upstream,
                request.method,
                request.target,
                headers,
                request.body,
                max(1, attempts.deadline.remaining_ms()),
                idempotent=attempts.route.retry_policy is not RetryPolicy.NEVER,
                progress_timeout_ms=_idle_timeout_ms(attempts.route),
                allow_close_delimited=True,
                before_send=lambda: self._loads.check_usable(upstream),
            ) as response:
                yield response

    async def _check_response(self, upstream, attempts, response, has_head):
        """Return None for a stream to forward, else the outcome of the attempt."""
        failure = await self._attempt_failure(upstream, attempts.request.id, response)
        if failure is not None:
            return failure
        status, headers = response.status, response.headers
        content_type = dict(headers).get(b"content-type", b"")
        if status == STATUS_OK and content_type.startswith(EVENT_STREAM):
            return None
        if has_head:
            return FailedAttempt(
                Ran.RAN, f"{upstream.name} did not resume the stream: {status}"
            )
        body = await self._http.read_body(response)
        return AppResponse(status, tuple(headers), body)


def _parse(parser, chunk, route, last_id):
    """Return the bytes of the events that a chunk completes, up to the first fault.

    :param last_id: the id of the last event before, from any server; empty for none.
    :return: their bytes, the id of the last event, and the error that ends the stream,
        or None.
    """
    raw = bytearray()
    try:
        for event in parser.feed(chunk):
            _check_id(event, route, last_id)
            last_id = event.id or last_id
            raw += event.raw
    except ServiceError as e:
        return bytes(raw), last_id, e
    return bytes(raw), last_id, None


def _check_id(event, route, last_id):
    """Raise if a stream can't go on after an event, though its route promises it.

    A server that didn't resume sends events again that its predecessor had sent.
    """
    if route.retry_policy is not RetryPolicy.RESUMABLE:
        return
    if event.data and not event.id:
        raise ServiceError(ErrorKind.UPSTREAM_FAILED, "An event has no id.")
    number, last = parse_integer(event.id), parse_integer(last_id)
    if number is not None and last is not None and number <= last:
        text = f"Event {event.id} does not follow event {last_id}."
        raise ServiceError(ErrorKind.UPSTREAM_FAILED, text)


def _idle_timeout_ms(route):
    return max(MIN_IDLE_TIMEOUT_MS, 4 * route.target_ms)


async def _prepend(first, items):
    async with contextlib.aclosing(items):
        if first is not None:
            yield first
        async for item in items:
            yield item
