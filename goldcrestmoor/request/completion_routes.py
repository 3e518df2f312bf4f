"""HTTP route of completions."""

import contextlib
import logging

from blacksheep import Content, Request, Response, StreamedContent

from goldcrestmoor import logs
from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.request.authentication import check_pool
from goldcrestmoor.request.completion_format import (
    DONE_EVENT,
    CompletionRequest,
    complete_response,
    error_event,
    event,
)
from goldcrestmoor.request.request_parsing import read_deadline, read_json
from goldcrestmoor.version.configuration.document import UpstreamKind

log = logging.getLogger("goldcrestmoor.completions")

MAX_TOKENS = 1 << 17
MAX_PREFIX_CHARACTERS = 256


def register_routes(
    app, *, clock, authenticator, completions, lease, metrics, settings
):
    """Add ``POST /v1/completions`` to an application.

    :param app: the blacksheep application.
    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param authenticator: the ``Authenticator``.
    :param completions: the :class:`~.completions.Completions`.
    :param lease: provides the
        :class:`~goldcrestmoor.version.configuration.document.ConfigurationView`.
    :param metrics: the :class:`~goldcrestmoor.process.metrics.Metrics`.
    :param settings: the :class:`~goldcrestmoor.settings.LimitSettings`.
    """

    async def count_outcome(chunks, account):
        """Yield the token chunks, and count the completion by its outcome."""
        outcome = "given_up"
        try:
            async with contextlib.aclosing(chunks):
                async for chunk in chunks:
                    yield chunk
            outcome = "answered"
        except ServiceError as e:
            outcome = e.code
            raise
        finally:
            metrics.requests.labels(account.name, outcome).inc()

    async def complete(request: Request) -> Response:
        authenticator.account(request.headers)
        completion_request = await read_json(request, CompletionRequest)
        # The account is looked up again, because reading the body may take long.
        account = authenticator.account(request.headers)
        if not 0 < completion_request.max_tokens <= MAX_TOKENS:
            raise ServiceError(ErrorKind.BAD_REQUEST, "max_tokens is out of range.")
        configuration = lease.view().configuration
        check_pool(
            account, configuration, completion_request.model, UpstreamKind.ENGINE
        )
        request_id = logs.request_id.get()
        chunks = completions.generate(
            account=account,
            pool=completion_request.model,
            prompt=completion_request.prompt,
            max_tokens=completion_request.max_tokens,
            seed=completion_request.seed,
            deadline=read_deadline(request, clock, settings.request_timeout_ms),
            request_id=request_id,
            prefix_key=completion_request.prompt[:MAX_PREFIX_CHARACTERS],
        )
        chunks = count_outcome(chunks, account)
        if completion_request.stream:
            return await _stream_response(chunks, request_id, completion_request.model)
        async with contextlib.aclosing(chunks):
            collected = [chunk async for chunk in chunks]
        body = complete_response(request_id, completion_request.model, collected)
        return Response(200, None, Content(b"application/json", body))

    app.router.add_post("/v1/completions", complete)


async def _stream_response(chunks, request_id, model):
    # An error before the first token chunk is still reported by the HTTP status.
    first = await anext(chunks, None)

    async def events():
        async with contextlib.aclosing(chunks):
            try:
                if first is not None:
                    yield event(request_id, model, first)
                async for chunk in chunks:
                    yield event(request_id, model, chunk)
                yield DONE_EVENT
            except ServiceError as e:
                yield error_event(e, request_id)
            except Exception:
                log.exception("A completion stream failed unexpectedly.")
                error = ServiceError(
                    ErrorKind.INTERNAL, "An unexpected error occurred."
                )
                yield error_event(error, request_id)

    return Response(200, None, StreamedContent(b"text/event-stream", events))
