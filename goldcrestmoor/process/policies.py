"""Creates the policies that the settings select."""

from goldcrestmoor.request.fair_queue import FirstComeFirstServed, WeightedFair
from goldcrestmoor.request.placement import LeastLoaded, PrefixAffinity, RoundRobin
from goldcrestmoor.version.steps.stragglers import IndexOrder, LongestFirst
from goldcrestmoor.version.weights.rollout_strategies import AllAtOnce, Rolling

PERCENT = 100


def queue_order(policy):
    """Return the order of the admission owners' queues.

    :param policy: the :class:`~goldcrestmoor.settings.PolicySettings`.
    """
    return FirstComeFirstServed() if policy.queue == "fifo" else WeightedFair()


def engine_placement(policy):
    """Return the policy that chooses engines.

    :param policy: the :class:`~goldcrestmoor.settings.PolicySettings`.
    """
    match policy.placement:
        case "least_loaded":
            return LeastLoaded()
        case "round_robin":
            return RoundRobin()
        case _:
            return PrefixAffinity()


def start_order(policy):
    """Return the order in which a step's slots are started.

    :param policy: the :class:`~goldcrestmoor.settings.PolicySettings`.
    """
    return IndexOrder() if policy.start_order == "as_numbered" else LongestFirst()


def rollout(policy):
    """Return the strategy that decides how many engines load new weights at a time.

    :param policy: the :class:`~goldcrestmoor.settings.PolicySettings`.
    """
    if policy.rollout == "rolling":
        return Rolling(policy.rolling_percent / PERCENT)
    return AllAtOnce()
