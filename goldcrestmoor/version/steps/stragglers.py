"""Which slots to start first, and when a second copy of a slot pays."""

import statistics

import msgspec

DEFAULT_LENGTH_FRACTION = 0.5
HEDGE_START_MS = 300
MIN_GAIN_MS = 1
MIN_OBSERVED_MS = 500


class LongestFirst(msgspec.Struct, frozen=True):
    """Start the slots that are expected to take longest first."""


class IndexOrder(msgspec.Struct, frozen=True):
    """Start the slots in the order of their numbers."""


LONGEST_FIRST = LongestFirst()


class NoHedge(msgspec.Struct, frozen=True):
    """Leave the stream alone.

    :param reason: why, as a short sentence.
    """

    reason: str


class HedgeFromStart(msgspec.Struct, frozen=True):
    """Start the slot over on another engine, beside the first stream.

    :param gain_ms: the time that this is expected to save, in milliseconds.
    """

    gain_ms: int


class HedgeFromTokens(msgspec.Struct, frozen=True):
    """Go on from the tokens received on another engine, beside the first stream.

    :param gain_ms: the time that this is expected to save, in milliseconds.
    """

    gain_ms: int


class Progress(msgspec.Struct, frozen=True):
    """How far a stream is.

    :param tokens: the tokens received.
    :param elapsed_ms: the time since it was started, in milliseconds.
    :param max_tokens: the most tokens that it may have.
    """

    tokens: int
    elapsed_ms: int
    max_tokens: int


class LengthEstimator:
    """Lengths and rates seen in one step, and what they let one expect."""

    __slots__ = ("_lengths_by_group", "_rates")

    def __init__(self):
        self._lengths_by_group = {}
        self._rates = []

    def add(self, group, tokens, elapsed_ms):
        """Take in a finished stream.

        :param group: the group's index.
        :param tokens: its length, in tokens.
        :param elapsed_ms: how long it took, in milliseconds.
        """
        self._lengths_by_group.setdefault(group, []).append(tokens)
        self._rates.append(tokens / max(1, elapsed_ms))

    def expected_length(self, group, max_tokens):
        """Return the expected length of a sample in tokens.

        The group's own prompt says most; then the other groups; then the bound.

        :param group: the group's index.
        :param max_tokens: the bound on its length, in tokens.
        """
        group_lengths = self._lengths_by_group.get(group)
        if group_lengths:
            return min(max_tokens, statistics.fmean(group_lengths))
        if self._lengths_by_group:
            means = [statistics.fmean(v) for v in self._lengths_by_group.values()]
            return min(max_tokens, statistics.fmean(means))
        return max_tokens * DEFAULT_LENGTH_FRACTION

    def expected_remaining(self, group, tokens, max_tokens):
        """Return the tokens that a stream is expected to lack.

        Only the lengths beyond the stream's own say something about it; a stream
        that has passed all of them may go on to its bound.

        :param group: the group's index.
        :param tokens: the tokens received.
        :param max_tokens: the bound on its length, in tokens.
        """
        longer = [n for n in self._lengths_by_group.get(group, ()) if n > tokens]
        if longer:
            return statistics.fmean(longer) - tokens
        expected_length = self.expected_length(group, max_tokens)
        if expected_length > tokens:
            return expected_length - tokens
        return (max_tokens - tokens) * DEFAULT_LENGTH_FRACTION

    def time_to_finish_ms(self, progress, group):
        """Return how long a stream is expected to take still, or None.

        :param progress: the stream's :class:`Progress`.
        :param group: its group's index.
        """
        rate = self.median_rate()
        if rate is None:
            return None
        missing = self.expected_remaining(group, progress.tokens, progress.max_tokens)
        return missing / rate

    def median_rate(self):
        """Return the median rate in tokens a millisecond, or None."""
        return statistics.median(self._rates) if self._rates else None


def start_order(slots, lengths, max_tokens_by_group, order=LONGEST_FIRST):
    """Return slots in the order in which they are to start.

    :param slots: the slots to start.
    :param lengths: the step's :class:`LengthEstimator`.
    :param max_tokens_by_group: the bounds, in tokens.
    :param order: :class:`LongestFirst` or :class:`IndexOrder`.
    """
    if isinstance(order, IndexOrder):
        return sorted(slots)
    expected_by_group = {
        group: lengths.expected_length(group, max_tokens)
        for group, max_tokens in max_tokens_by_group.items()
    }
    return sorted(slots, key=lambda slot: (-expected_by_group[slot.group], slot))


def decide_hedge(progress, group, lengths, idle_slots, hedges_left):
    """Decide whether a stream gets a second copy.

    :param progress: the stream's :class:`Progress`.
    :param group: its group's index.
    :param lengths: the step's :class:`LengthEstimator`.
    :param idle_slots: engine slots that no stream of the step needs.
    :param hedges_left: the copies that the budget still allows.
    :return: :class:`NoHedge`, :class:`HedgeFromStart` or :class:`HedgeFromTokens`.
    """
    if idle_slots <= 0:
        return NoHedge("No engine slot is idle.")
    if hedges_left <= 0:
        return NoHedge("The budget of second copies is used up.")
    rate = lengths.median_rate()
    if rate is None:
        return NoHedge("No stream has finished yet.")
    if progress.elapsed_ms < MIN_OBSERVED_MS:
        # The rate of a stream's first tokens says little about the rest.
        return NoHedge("The stream is too young to be judged.")
    missing = lengths.expected_remaining(group, progress.tokens, progress.max_tokens)
    hedge_ms = HEDGE_START_MS + missing / rate
    own_rate = progress.tokens / max(1, progress.elapsed_ms)
    if progress.tokens == 0:
        # Nothing is known but that the first token takes longer than it should:
        # a stream is expected to stay silent as long as it has been already.
        gain_ms = int(progress.elapsed_ms - HEDGE_START_MS)
        return (
            HedgeFromStart(gain_ms)
            if gain_ms >= MIN_GAIN_MS
            else NoHedge("It may start soon.")
        )
    gain_ms = int(missing / own_rate - hedge_ms)
    if gain_ms < MIN_GAIN_MS:
        return NoHedge("A second copy would not be sooner.")
    return HedgeFromTokens(gain_ms)
