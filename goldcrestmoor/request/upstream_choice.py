"""Choice of an upstream of a service by cost.

Workload: each host gets a few requests a second for a handful of upstreams. A new
connection costs more than the transfer between two zones, and an upstream may be slow,
failing or terminated while it is still listed. So a request goes to an upstream with
an open connection and few requests in flight, and avoids those that have just failed
as long as there is another. One that limits its requests is in need and gets what the
others have no free slot for. A host sees only its own requests: of equal upstreams,
each host prefers another one, so that hundreds of hosts do not all choose the same.
"""

import msgspec

# A new connection costs as much as this many more requests in flight.
NEW_CONNECTION_COST = 2.0
# Half a slot: a request goes to another zone when the local upstream is fuller by more.
OTHER_ZONE_COST = 0.5
# Above the load of any upstream with a free slot.
LIMITED_COST = 25.0
# Above any load, so that an upstream that failed is the last resort.
FAILED_COST = 100.0


class Candidate(msgspec.Struct, frozen=True):
    """An upstream to choose from.

    :param name: the upstream's name.
    :param in_flight: how many requests from this host are in flight on it.
    :param slots: how many requests it runs at a time.
    :param has_connection: whether an idle connection to it is open.
    :param is_local: whether it is in this host's availability zone.
    :param has_failed: whether it is in the cool-down after a failed request.
    :param is_limited: whether it limits its requests.
    :param rank: its rank in this host's order of the upstreams, which decides between
        equal ones.
    """

    name: str
    in_flight: int
    slots: int
    has_connection: bool
    is_local: bool
    has_failed: bool
    is_limited: bool = False
    rank: int = 0


def choose_upstream(choices, avoid=()):
    """Return the name of the upstream that a request goes to, or None.

    :param choices: an iterable of :class:`Candidate`.
    :param avoid: the names of the upstreams that the request has been sent to.
    """
    ranked = sorted((c for c in choices if c.name not in avoid), key=_cost)
    return ranked[0].name if ranked else None


def _cost(choice):
    cost = float(choice.in_flight)
    cost += 0 if choice.has_connection else NEW_CONNECTION_COST
    cost += 0 if choice.is_local else OTHER_ZONE_COST
    cost += LIMITED_COST if choice.is_limited else 0
    cost += FAILED_COST if choice.has_failed else 0
    # A full upstream queues or rejects; any other with a free slot is faster.
    cost += FAILED_COST / 2 if choice.in_flight >= choice.slots else 0
    return cost, choice.rank, choice.name
