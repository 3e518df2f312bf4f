"""Strategies for how many engines of a pool load new weights concurrently."""

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AllAtOnce:
    """All engines load at once: fastest rollout, but the pool stops meanwhile."""


@dataclass(frozen=True, slots=True)
class Rolling:
    """Engines load in batches, so that the pool never stops.

    :param fraction: the fraction of engines that load concurrently, in (0, 1].
    """

    fraction: float


def max_loads(total, strategy):
    """Return how many upstreams may load concurrently.

    :param total: the number of upstreams of the model.
    :param strategy: :class:`AllAtOnce` or :class:`Rolling`.
    """
    match strategy:
        case AllAtOnce():
            return total
        case Rolling(fraction):
            return max(1, math.floor(fraction * total))
        case _:
            raise TypeError(f"Unknown rollout strategy: {strategy}.")
