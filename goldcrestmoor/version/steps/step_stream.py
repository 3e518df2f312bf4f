"""One stream that is to fill a slot."""

from goldcrestmoor import util
from goldcrestmoor.request.token_chunk import merge_by_version
from goldcrestmoor.version.steps.steps import make_sample
from goldcrestmoor.version.steps.stragglers import Progress


class Stream:
    """What has come in for a slot from one engine after another.

    :param slot: the slot to fill.
    :param group: its group's specification.
    :param started_ms: when it was started, on the clock's scale.
    :param chunks: what it goes on from.
    :param is_hedge: whether it is a second copy.
    """

    __slots__ = (
        "slot",
        "group",
        "chunks",
        "started_ms",
        "request_id",
        "task",
        "is_hedge",
    )

    def __init__(self, slot, group, started_ms, chunks=(), is_hedge=False):
        self.slot = slot
        self.group = group
        self.chunks = list(chunks)
        self.started_ms = started_ms
        self.request_id = util.new_id()
        self.task = None
        self.is_hedge = is_hedge

    def tokens(self):
        """Return the tokens received."""
        return sum(chunk.tokens for chunk in self.chunks)

    def remaining_tokens(self):
        """Return the tokens that it may still have, at least one."""
        return max(1, self.group.max_tokens - self.tokens())

    def text(self):
        """Return the text received."""
        return "".join(chunk.text for chunk in self.chunks)

    def has_older_version(self, version):
        """Tell whether a token was made by an older version.

        :param version: the weight version.
        """
        return any(chunk.version < version for chunk in self.chunks)

    def has_versions(self):
        """Tell whether every piece states the version that made it."""
        return all(chunk.version for chunk in self.chunks)

    def is_complete(self):
        """Tell whether the engine said that the sample is whole."""
        return bool(self.chunks) and bool(self.chunks[-1].finish_reason)

    def progress(self, now_ms):
        """Return how far it is.

        :param now_ms: the present time, on the clock's scale.
        """
        elapsed_ms = now_ms - self.started_ms
        return Progress(self.tokens(), elapsed_ms, self.group.max_tokens)

    def segments(self):
        """Return the text received, by weight version."""
        return tuple(merge_by_version(self.chunks))

    def sample(self):
        """Return the sample that its pieces make up."""
        # A piece without tokens ends a stream and made none of its text.
        with_content = [p for p in self.chunks if p.tokens or p.text] or self.chunks
        return make_sample(
            self.slot, merge_by_version(with_content), self.chunks[-1].finish_reason
        )
