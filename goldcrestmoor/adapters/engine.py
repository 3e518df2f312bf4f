"""The model engines' protocol: streams, orders and load reports."""

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
ROLE_LEAVING = "leaving"
STATUS_OK = 200
STATUS_CONFLICT = 409
STATUS_OVERLOADED = (429, 503)


class EngineState(msgspec.Struct, frozen=True):
    """What an engine reports about itself, late.

    :param model: the model that it runs.
    :param version: the weight version.
    :param running: streams that it works on.
    :param waiting: streams that wait.
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
    """Speak to engines.

    :param http: the ``HttpClient``.
    :param clock: the :class:`~goldcrestmoor.clock.Clock`; an own one when left out.
    :param on_leaving: called with the name of an engine that answers that it is
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
        """Yield the pieces of one stream as they come.

        :param upstream: the ``Upstream``.
        :param model: the model's name.
        :param prompt: the prompt's text.
        :param max_tokens: the most tokens still to make, in tokens.
        :param seed: the sampling seed.
        :param request_id: what :meth:`cancel` names the stream by.
        :param timeout_ms: when to give up, in milliseconds.
        :param resume_text: what an earlier stream made already.
        :param idle_timeout_ms: how long the engine may send no event.
        :raises ServiceError: ``UPSTREAM_FAILED`` when the stream ends without its
            end mark or an event states no version, ``UPSTREAM_TIMEOUT`` when the
            engine is silent.
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
                # The piece that ends the text counts only with the end mark.
                if held_chunk is not None:
                    yield held_chunk

    async def order(self, upstream, *, model, version, fencing, timeout_ms):
        """Order an engine to load a weight version, and return what it then runs.

        :param upstream: the engine.
        :param model: the model's name.
        :param version: the weight version that it shall run.
        :param fencing: the number of the lease that the order is given under.
        :param timeout_ms: when to give up, in milliseconds.
        :return: the version that the engine says it runs.
        :raises ServiceError: ``VERSION_CONFLICT`` when the fencing number is old.
        """
        body = msgspec.json.encode(
            {"model": model, "version": version, "fencing": fencing}
        )
        response = await self._request(upstream, "POST", "/orders", body, timeout_ms)
        if response.status == STATUS_CONFLICT:
            text = f"{upstream.name} refused an old fencing number."
            raise ServiceError(ErrorKind.VERSION_CONFLICT, text)
        _check_status(response.status, upstream)
        return _decode(response.body, _LoadOrderReply, upstream).version

    async def state(self, upstream, *, timeout_ms):
        """Return what an engine reports about itself.

        :param upstream: the engine.
        :param timeout_ms: when to give up, in milliseconds.
        :return: the :class:`EngineState`.
        """
        response = await self._request(upstream, "GET", "/state", b"", timeout_ms)
        _check_status(response.status, upstream)
        state = _decode(response.body, EngineState, upstream)
        if state.role == ROLE_LEAVING:
            self._on_leaving(upstream.name)
        return state

    async def cancel(self, upstream, request_id, *, timeout_ms):
        """End a stream that nobody reads any more.

        :param upstream: the engine.
        :param request_id: what the stream was started with.
        :param timeout_ms: when to give up, in milliseconds.
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
        text = f"{upstream.name} sent a malformed answer."
        raise ServiceError(ErrorKind.UPSTREAM_FAILED, text) from e


async def _events(chunks, upstream, clock, idle_timeout_ms):
    """Yield the data of each server-sent event, up to the end mark.

    Silence on the connection is the HTTP client's to notice; bytes that are no
    event must not keep a stream alive either.
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
    text = f"{upstream.name} ended a stream without its end mark."
    raise ServiceError(ErrorKind.UPSTREAM_FAILED, text)


def _decode_chunk(data, upstream):
    event = _decode(data, _Event, upstream)
    if event.version is None or not event.choices:
        text = f"{upstream.name} states no weight version."
        raise ServiceError(ErrorKind.UPSTREAM_FAILED, text)
    choice = event.choices[0]
    reason = choice.finish_reason or ""
    return TokenChunk(choice.text, event.tokens, event.version, upstream.name, reason)
