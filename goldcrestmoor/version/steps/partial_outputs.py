"""What ended streams of a step made, for the next try of their slots."""

from goldcrestmoor.request.token_chunk import TokenChunk


class PartialOutputs:
    """Keep the longest of each slot's failed streams.

    :param is_enabled: whether anything is kept at all.
    :param partials: the ``Partial`` texts
        that an earlier holder's streams had come to.
    """

    __slots__ = ("_is_enabled", "_chunks_by_slot")

    def __init__(self, is_enabled, partials=()):
        self._is_enabled = is_enabled
        self._chunks_by_slot = {}
        if is_enabled:
            for partial in partials:
                chunks = [
                    TokenChunk(s.text, s.tokens, s.version, "")
                    for s in partial.segments
                ]
                self._chunks_by_slot[partial.slot] = chunks

    def save(self, stream):
        """Keep the pieces of a stream that failed.

        :param stream: the :class:`~goldcrestmoor.version.steps.step_stream.Stream`.
        """
        saved = self._chunks_by_slot.get(stream.slot, ())
        if self._is_enabled and len(stream.chunks) > len(saved):
            self._chunks_by_slot[stream.slot] = stream.chunks

    def take(self, slot, max_tokens, oldest_version):
        """Return the pieces that a slot's next stream goes on from, often none.

        :param slot: the slot.
        :param max_tokens: the most tokens of a sample; pieces that have as many are
            of no use, as they lack their end.
        :param oldest_version: the oldest weight version that may be delivered.
        """
        chunks = self._chunks_by_slot.pop(slot, ())
        is_full = sum(chunk.tokens for chunk in chunks) >= max_tokens
        if is_full or any(chunk.version < oldest_version for chunk in chunks):
            return ()
        return chunks

    def forget(self, slot):
        """Drop what is kept for a slot that has its sample.

        :param slot: the slot.
        """
        self._chunks_by_slot.pop(slot, None)
