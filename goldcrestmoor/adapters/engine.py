"""The client of model engines: streams, load orders and state reports."""

import msgspec

from goldcrestmoor import tracing
from goldcrestmoor.adapters.leaving import says_leaving
from goldcrestmoor.clock import Clock
from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.request.token_chunk import TokenChunk

JSON_HEADER = (b"Content-Type", b"application/json")
EVENT_PREFIX = b"data:"
END_OF_STREAM = b"[DONE]"
MAX_EVENT_BYTES = 1 << 20
# Of a reply to an order or a question about state.
MAX_REPLY_BYTES = 256 << 10
ROLE_LEAVING = "leaving"
STATUS_OK = 200
STATUS_CONFLICT = 409
STATUS_OVERLOADED = (429, 503)


class EngineState(msgspec.Struct, frozen=True):
    """The state that an engine reports, with a delay.

    :param model: the model that it runs.
    :param version: the weight version.
    :param running: the number of running streams.
    :param waiting: the number of queued streams.
    :param role: its role.
    """

    model: str
    version: int
    running: int
    waiting: int
    role: str = ""


class _Choice(msgspec.Struct):
    text: str = ""
    finish_reason: str | None = None


class _Event(msgspec.Struct):
    choices: list[_Choice]
    tokens: int
    version: int | None = None


class _LoadOrderReply(msgspec.Struct):
    version: int


class EngineClient:
    """Sends requests to engines.

    :param http: the ``HttpClient``.
    :param clock: the :class:`~goldcrestmoor.clock.Clock`; a new one by default.
    :param on_leaving: called with the name of an engine that reports that it is
        leaving.
    """

    __slots__ = ("_http", "_clock", "_on_leaving")

    def __init__(self, *, http, clock=None, on_leaving=None):
        self._http = http
        self._clock = clock or Clock()
        self._on_leaving = on_leaving or (lambda name: None)

    async def stream(
        self,
        upstream,
        *,
        model,
        prompt,
        max_tokens,
        seed,
        request_id,
        timeout_ms,
        resume_text="",
        idle_timeout_ms=None,
    ):
        """Yield the token chunks of one stream as they arrive.

        :param upstream: the ``Upstream``.
        :param model: the model's name.
        :param prompt: the prompt's text.
        :param max_tokens: the maximum number of tokens to generate.
        :param seed: the sampling seed.
        :param request_id: identifies the stream in :meth:`cancel`.
        :param timeout_ms: the timeout, in milliseconds.
        :param resume_text: the output of an earlier stream, to continue from.
        :param idle_timeout_ms: the longest time between two events.
        :raises ServiceError: ``UPSTREAM_FAILED`` when the stream ends without its
            end-of-stream marker or an event has no weight version,
            ``UPSTREAM_TIMEOUT`` when the engine sends no event in time.
        """
        body = msgspec.json.encode(
            {
                "model": model,
                "prompt": prompt,
                "max_tokens": max_tokens,
                "seed": seed,
                "stream": True,
                "resume_text": resume_text,
            }
        )
        headers = [JSON_HEADER, (b"X-Request-Id", request_id.encode())]
        with tracing.detached_span("engine stream", upstream=upstream.name) as parent:
            headers += _trace_headers(parent)
            opened = self._http.stream(
                upstream.address,
                upstream.port,
                "POST",
                "/v1/completions",
                headers,
                body,
                timeout_ms,
                head_timeout_ms=idle_timeout_ms,
                progress_timeout_ms=idle_timeout_ms,
            )
            async with opened as response:
                if says_leaving(response.headers):
                    self._on_leaving(upstream.name)
                _check_status(response.status, upstream)
                held_chunk = None
                events = _events(
                    response.body(), upstream, self._clock, idle_timeout_ms
                )
                async for data in events:
                    if held_chunk is not None:
                        yield held_chunk
                    held_chunk = _decode_chunk(data, upstream)
                    if not held_chunk.finish_reason:
                        yield held_chunk
                        held_chunk = None
                # The final chunk is valid only once the end-of-stream marker arrives.
                if held_chunk is not None:
                    yield held_chunk

    async def order(self, upstream, *, model, version, fencing, timeout_ms):
        """Send a load order to an engine and return the version that it then runs.

        :param upstream: the engine.
        :param model: the model's name.
        :param version: the weight version to load.
        :param fencing: the fencing number of the lease under which it is ordered.
        :param timeout_ms: the timeout, in milliseconds.
        :return: the version that the engine reports.
        :raises ServiceError: ``VERSION_CONFLICT`` when the fencing number is stale.
        """
        body = msgspec.json.encode(
            {"model": model, "version": version, "fencing": fencing}
        )
        response = await self._request(upstream, "POST", "/orders", body, timeout_ms)
        if response.status == STATUS_CONFLICT:
            text = f"{upstream.name} rejected a stale fencing number."
            raise ServiceError(ErrorKind.VERSION_CONFLICT, text)
        _check_status(response.status, upstream)
        return _decode(response.body, _LoadOrderReply, upstream).version

    async def state(self, upstream, *, timeout_ms):
        """Return the state that an engine reports.

        :param upstream: the engine.
        :param timeout_ms: the timeout, in milliseconds.
        :return: the :class:`EngineState`.
        """
        response = await self._request(upstream, "GET", "/state", b"", timeout_ms)
        _check_status(response.status, upstream)
        state = _decode(response.body, EngineState, upstream)
        if state.role == ROLE_LEAVING:
            self._on_leaving(upstream.name)
        return state

    async def cancel(self, upstream, request_id, *, timeout_ms):
        """Cancel a stream that is no longer read.

        :param upstream: the engine.
        :param request_id: the id that the stream was started with.
        :param timeout_ms: the timeout, in milliseconds.
        """
        body = msgspec.json.encode({"request_id": request_id})
        await self._request(upstream, "POST", "/cancel", body, timeout_ms)

    async def _request(self, upstream, method, target, body, timeout_ms):
        headers = [JSON_HEADER] if body else []
        return await self._http.request(
            upstream.address,
            upstream.port,
            method,
            target,
            headers + _trace_headers(tracing.traceparent()),
            body,
            timeout_ms,
            idempotent=method == "GET",
            max_body_bytes=MAX_REPLY_BYTES,
        )


def _trace_headers(traceparent):
    return [(b"traceparent", traceparent.encode())] if traceparent else []


def _check_status(status, upstream):
    if status == STATUS_OK:
        return
    if status in STATUS_OVERLOADED:
        raise ServiceError(ErrorKind.OVERLOADED, f"{upstream.name} is overloaded.")
    text = f"{upstream.name} answered {status}."
    raise ServiceError(ErrorKind.UPSTREAM_FAILED, text)


def _decode(data, cls, upstream):
    try:
        return msgspec.json.decode(data, type=cls)
    except (msgspec.MsgspecError, UnicodeDecodeError) as e:
        text = f"{upstream.name} sent a malformed response."
        raise ServiceError(ErrorKind.UPSTREAM_FAILED, text) from e


async def _events(chunks, upstream, clock, idle_timeout_ms):
    """Yield the data of each server-sent event, up to the end-of-stream marker.

    The HTTP client detects an idle connection; the timeout here ensures that bytes
    that are not events, such as comments, do not keep a stream alive.
    """
    buffer = b""
    last_event_ms = clock.now_ms()
    async for chunk in chunks:
        buffer += chunk
        *lines, buffer = buffer.split(b"\n")
        now_ms = clock.now_ms()
        for line in lines:
            if not line.startswith(EVENT_PREFIX):
                continue
            last_event_ms = now_ms
            data = line[len(EVENT_PREFIX) :].strip()
            if data == END_OF_STREAM:
                return
            yield data
        if idle_timeout_ms is not None and now_ms - last_event_ms > idle_timeout_ms:
            text = f"{upstream.name} sent no event for {idle_timeout_ms} ms."
            raise ServiceError(ErrorKind.UPSTREAM_TIMEOUT, text)
        if len(buffer) > MAX_EVENT_BYTES:
            break
    text = f"{upstream.name} ended a stream without its end-of-stream marker."
    raise ServiceError(ErrorKind.UPSTREAM_FAILED, text)


def _decode_chunk(data, upstream):
    event = _decode(data, _Event, upstream)
    if event.version is None or not event.choices:
        text = f"{upstream.name} sent an event without a weight version."
        raise ServiceError(ErrorKind.UPSTREAM_FAILED, text)
    choice = event.choices[0]
    reason = choice.finish_reason or ""
    return TokenChunk(choice.text, event.tokens, event.version, upstream.name, reason)
