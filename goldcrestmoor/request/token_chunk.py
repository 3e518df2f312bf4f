"""What an engine's stream is made of."""

import msgspec


class TokenChunk(msgspec.Struct, frozen=True):
    """Some consecutive tokens of one stream.

    :param text: their text.
    :param tokens: how many they are.
    :param version: the weight version that the engine stated for them.
    :param upstream: the engine that made them.
    :param finish_reason: ``stop`` or ``length`` on the last piece, else empty.
    """

    text: str
    tokens: int
    version: int
    upstream: str
    finish_reason: str = ""


class Segment(msgspec.Struct, frozen=True):
    """Consecutive pieces of one weight version.

    :param version: the weight version that produced the tokens.
    :param text: their text.
    :param tokens: how many they are.
    """

    version: int
    text: str
    tokens: int


def merge_by_version(chunks):
    """Yield the segments that pieces make up, one for each run of a version.

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
