"""How many engines of a pool load new weights at the same time."""

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AllAtOnce:
    """Every engine at once: the newest weights soonest, the pool pauses."""


@dataclass(frozen=True, slots=True)
class Rolling:
    """A part after the other, so that the pool never stops.

    :param fraction: the part of all engines that load together, above 0, up to 1.
    """

    fraction: float


def max_loads(total, strategy):
    """Return how many upstreams may load at the same time.

    :param total: how many upstreams the model has.
    :param strategy: :class:`AllAtOnce` or :class:`Rolling`.
    """
    match strategy:
        case AllAtOnce():
            return total
        case Rolling(fraction):
            return max(1, math.floor(fraction * total))
        case _:
            raise TypeError(f"{strategy} is no strategy.")
