"""The start order of slots, and the decision when to hedge a stream."""

import statistics

import msgspec

DEFAULT_LENGTH_FRACTION = 0.5
HEDGE_START_MS = 300
MIN_GAIN_MS = 1
MIN_OBSERVED_MS = 500


class LongestFirst(msgspec.Struct, frozen=True):
    """Start the slots that are expected to take longest first."""


class IndexOrder(msgspec.Struct, frozen=True):
    """Start the slots in the order of their indexes."""


LONGEST_FIRST = LongestFirst()


class NoHedge(msgspec.Struct, frozen=True):
    """Do not hedge the stream.

    :param reason: why, as a short sentence.
    """

    reason: str


class HedgeFromStart(msgspec.Struct, frozen=True):
    """Start the slot again on another engine, in parallel to the first stream.

    :param gain_ms: the time that this is expected to save, in milliseconds.
    """

    gain_ms: int


class HedgeFromTokens(msgspec.Struct, frozen=True):
    """Resume the received tokens on another engine, in parallel to the first stream.

    :param gain_ms: the time that this is expected to save, in milliseconds.
    """

    gain_ms: int


class Progress(msgspec.Struct, frozen=True):
    """The progress of a stream.

    :param tokens: the number of tokens received.
    :param elapsed_ms: the time since its start, in milliseconds.
    :param max_tokens: its maximum number of tokens.
    """

    tokens: int
    elapsed_ms: int
    max_tokens: int


class LengthEstimator:
    """Estimate the lengths and times of a step's streams from its finished ones."""

    __slots__ = ("_lengths_by_group", "_rates")

    def __init__(self):
        self._lengths_by_group = {}
        self._rates = []

    def add(self, group, tokens, elapsed_ms):
        """Add a finished stream to the estimate.

        :param group: the group's index.
        :param tokens: the stream's length, in tokens.
        :param elapsed_ms: the stream's duration, in milliseconds.
        """
        self._lengths_by_group.setdefault(group, []).append(tokens)
        self._rates.append(tokens / max(1, elapsed_ms))

    def expected_length(self, group, max_tokens):
        """Return the expected length of a sample in tokens.

        The estimate uses the lengths of the same group, which has the same prompt,
        else those of the other groups, else a fraction of the maximum.

        :param group: the group's index.
        :param max_tokens: the maximum length, in tokens.
        """
        group_lengths = self._lengths_by_group.get(group)
        if group_lengths:
            return min(max_tokens, statistics.fmean(group_lengths))
        if self._lengths_by_group:
            means = [statistics.fmean(v) for v in self._lengths_by_group.values()]
            return min(max_tokens, statistics.fmean(means))
        return max_tokens * DEFAULT_LENGTH_FRACTION

    def expected_remaining(self, group, tokens, max_tokens):
        """Return the number of tokens that a stream is expected to have left.

        Only lengths greater than the stream's own are relevant; a stream that has
        exceeded all of them may continue to its maximum.

        :param group: the group's index.
        :param tokens: the number of tokens received.
        :param max_tokens: the maximum length, in tokens.
        """
        longer = [n for n in self._lengths_by_group.get(group, ()) if n > tokens]
        if longer:
            return statistics.fmean(longer) - tokens
        expected_length = self.expected_length(group, max_tokens)
        if expected_length > tokens:
            return expected_length - tokens
        return (max_tokens - tokens) * DEFAULT_LENGTH_FRACTION

    def time_to_finish_ms(self, progress, group):
        """Return the expected remaining time of a stream in milliseconds, or None.

        :param progress: the stream's :class:`Progress`.
        :param group: its group's index.
        """
        rate = self.median_rate()
        if rate is None:
            return None
        missing = self.expected_remaining(group, progress.tokens, progress.max_tokens)
        return missing / rate

    def median_rate(self):
        """Return the median rate in tokens per millisecond, or None."""
        return statistics.median(self._rates) if self._rates else None


def start_order(slots, lengths, max_tokens_by_group, order=LONGEST_FIRST):
    """Return slots in the order in which to start them.

    :param slots: the slots to start.
    :param lengths: the step's :class:`LengthEstimator`.
    :param max_tokens_by_group: the maximum length of a sample by group, in tokens.
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
    """Decide whether to hedge a stream.

    :param progress: the stream's :class:`Progress`.
    :param group: its group's index.
    :param lengths: the step's :class:`LengthEstimator`.
    :param idle_slots: the number of engine slots that no stream of the step uses.
    :param hedges_left: the number of hedges that the budget still allows.
    :return: :class:`NoHedge`, :class:`HedgeFromStart` or :class:`HedgeFromTokens`.
    """
    if idle_slots <= 0:
        return NoHedge("No engine slot is idle.")
    if hedges_left <= 0:
        return NoHedge("The hedge budget is used up.")
    rate = lengths.median_rate()
    if rate is None:
        return NoHedge("No stream has finished yet.")
    if progress.elapsed_ms < MIN_OBSERVED_MS:
        # The rate of a stream's first tokens does not predict its later rate well.
        return NoHedge("The stream started too recently for an estimate.")
    missing = lengths.expected_remaining(group, progress.tokens, progress.max_tokens)
    hedge_ms = HEDGE_START_MS + missing / rate
    own_rate = progress.tokens / max(1, progress.elapsed_ms)
    if progress.tokens == 0:
        # Without a first token there is no rate to estimate from: the stream is
        # expected to wait for it as long again as it has waited already.
        gain_ms = int(progress.elapsed_ms - HEDGE_START_MS)
        return (
            HedgeFromStart(gain_ms)
            if gain_ms >= MIN_GAIN_MS
            else NoHedge("The first token may arrive soon.")
        )
    gain_ms = int(missing / own_rate - hedge_ms)
    if gain_ms < MIN_GAIN_MS:
        return NoHedge("A hedge would not finish sooner.")
    return HedgeFromTokens(gain_ms)
