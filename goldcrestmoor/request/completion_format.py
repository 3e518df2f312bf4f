"""OpenAI-style completion requests and responses, complete or streamed."""

import msgspec

from goldcrestmoor import errors
from goldcrestmoor.request.token_chunk import Segment, merge_by_version

DONE_EVENT = b"data: [DONE]\n\n"


class CompletionRequest(msgspec.Struct):
    """The body of a completion request.

    :param model: the pool's name.
    :param prompt: the prompt's text.
    :param max_tokens: the most tokens to generate, in tokens.
    :param seed: the sampling seed.
    :param stream: whether the response is streamed as events.
    """

    model: str
    prompt: str
    max_tokens: int = 16
    seed: int = 0
    stream: bool = False


class Choice(msgspec.Struct):
    """The only choice of a response."""

    index: int
    text: str
    finish_reason: str | None


class Usage(msgspec.Struct):
    """The usage of a response, in tokens."""

    completion_tokens: int


class CompletionResponse(msgspec.Struct):
    """A complete response, with the weight versions that produced it."""

    id: str
    object: str
    model: str
    choices: list[Choice]
    usage: Usage
    segments: list[Segment]


class CompletionEvent(msgspec.Struct):
    """One event of a streamed response."""

    id: str
    object: str
    model: str
    choices: list[Choice]
    version: int
    tokens: int


class _ErrorEvent(msgspec.Struct):
    error: errors.ErrorBody


def complete_response(request_id, model, chunks):
    """Return the complete response made up of token chunks, as JSON bytes.

    :param request_id: the request's id.
    :param model: the pool's name.
    :param chunks: all token chunks of the response.
    """
    text = "".join(chunk.text for chunk in chunks)
    reason = chunks[-1].finish_reason if chunks else ""
    answer = CompletionResponse(
        request_id,
        "text_completion",
        model,
        [Choice(0, text, reason or None)],
        Usage(sum(chunk.tokens for chunk in chunks)),
        list(merge_by_version(chunks)),
    )
    return msgspec.json.encode(answer)


def event(request_id, model, chunk):
    """Return the event that carries one token chunk, as bytes.

    :param request_id: the request's id.
    :param model: the pool's name.
    :param chunk: the :class:`~goldcrestmoor.request.token_chunk.TokenChunk`.
    """
    value = CompletionEvent(
        request_id,
        "text_completion",
        model,
        [Choice(0, chunk.text, chunk.finish_reason or None)],
        chunk.version,
        chunk.tokens,
    )
    return b"data: " + msgspec.json.encode(value) + b"\n\n"


def error_event(error, request_id):
    """Return the event that ends a failed stream, as bytes.

    :param error: the :class:`~goldcrestmoor.errors.ServiceError`.
    :param request_id: the request's id.
    """
    value = _ErrorEvent(errors.to_body(error, request_id))
    return b"event: error\ndata: " + msgspec.json.encode(value) + b"\n\n"
