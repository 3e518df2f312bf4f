"""Partial outputs of failed streams, from which their slots' next attempts resume."""

from goldcrestmoor.request.token_chunk import TokenChunk


class PartialOutputs:
    """Hold the output of the longest failed stream of each slot.

    :param is_enabled: whether outputs are saved at all.
    :param partials: the ``Partial`` outputs of an earlier holder's streams.
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
        """Save the token chunks of a failed stream.

        :param stream: the :class:`~goldcrestmoor.version.steps.step_stream.Stream`.
        """
        saved = self._chunks_by_slot.get(stream.slot, ())
        if self._is_enabled and len(stream.chunks) > len(saved):
            self._chunks_by_slot[stream.slot] = stream.chunks

    def take(self, slot, max_tokens, oldest_version):
        """Remove and return the chunks from which a slot's next stream resumes.

        :param slot: the slot.
        :param max_tokens: the maximum number of tokens of a sample; an output that has
            reached it cannot be resumed, as its end-of-stream marker is missing.
        :param oldest_version: the oldest weight version that may be delivered.
        :return: the chunks; empty when there are none that can be used.
        """
        chunks = self._chunks_by_slot.pop(slot, ())
        is_full = sum(chunk.tokens for chunk in chunks) >= max_tokens
        if is_full or any(chunk.version < oldest_version for chunk in chunks):
            return ()
        return chunks

    def forget(self, slot):
        """Drop the output saved for a slot that has its sample.

        :param slot: the slot.
        """
        self._chunks_by_slot.pop(slot, None)
