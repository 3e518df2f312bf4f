"""Which upstream of a service a request goes to.

The load this answers: each host gets a few requests a second for a handful of
upstreams. A new connection costs more than the bytes between two zones, and one
upstream may be slow, failing or gone while it is still listed. So a request goes
where a connection is open and little is in flight, and leaves alone what has just
failed as long as there is another.
"""

import msgspec

# In-flight requests that a way over an open connection in this zone is worth.
NEW_CONNECTION_COST = 2.0
# Half a slot: worth going to another zone for when the own one is fuller by more.
OTHER_ZONE_COST = 0.5
# Above any load, so that one that failed is the last resort.
FAILED_COST = 100.0


class Candidate(msgspec.Struct, frozen=True):
    """An upstream as the choice sees it.

    :param name: its name.
    :param in_flight: how many requests this host has at it.
    :param slots: how many requests it runs at a time.
    :param has_connection: whether an idle connection to it is open.
    :param is_local: whether it is in this host's availability zone.
    :param has_failed: whether it has failed a request a moment ago.
    """

    name: str
    in_flight: int
    slots: int
    has_connection: bool
    is_local: bool
    has_failed: bool


def choose_upstream(choices, avoid=()):
    """Return the name of the upstream that a request goes to, or None.

    :param choices: an iterable of :class:`Candidate`.
    :param avoid: the names of those that the request has been sent to.
    """
    ranked = sorted((c for c in choices if c.name not in avoid), key=_cost)
    return ranked[0].name if ranked else None


def _cost(choice):
    cost = float(choice.in_flight)
    cost += 0 if choice.has_connection else NEW_CONNECTION_COST
    cost += 0 if choice.is_local else OTHER_ZONE_COST
    cost += FAILED_COST if choice.has_failed else 0
    # A full upstream queues or refuses; any other with a free slot is quicker.
    cost += FAILED_COST / 2 if choice.in_flight >= choice.slots else 0
    return cost, choice.name
