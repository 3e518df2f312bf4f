"""Token chunks of an engine's stream, and the segments they form."""

import msgspec


class TokenChunk(msgspec.Struct, frozen=True):
    """Consecutive tokens of one stream.

    :param text: the text of the tokens.
    :param tokens: the number of tokens.
    :param version: the weight version that the engine stated for the tokens.
    :param upstream: the engine that generated the tokens.
    :param finish_reason: ``stop`` or ``length`` on the last chunk, else empty.
    """

    text: str
    tokens: int
    version: int
    upstream: str
    finish_reason: str = ""


class Segment(msgspec.Struct, frozen=True):
    """Consecutive tokens of one weight version.

    :param version: the weight version that produced the tokens.
    :param text: the text of the tokens.
    :param tokens: the number of tokens.
    """

    version: int
    text: str
    tokens: int


def merge_by_version(chunks):
    """Merge consecutive chunks of the same weight version, and yield the segments.

    :param chunks: an iterable of :class:`TokenChunk`.
    """
    current = None
    for chunk in chunks:
        if current is not None and chunk.version == current.version:
            current = Segment(
                current.version,
                current.text + chunk.text,
                current.tokens + chunk.tokens,
            )
            continue
        if current is not None:
            yield current
        current = Segment(chunk.version, chunk.text, chunk.tokens)
    if current is not None:
        yield current
