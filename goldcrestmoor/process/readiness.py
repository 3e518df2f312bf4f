"""Whether a host wants new callers.

The load this answers: an availability zone, or a few hosts, lose the store while the
rest has it. Batch jobs need the store, so their callers should go where it is heard.
The balancer sends a zone's callers to other zones only when none of its hosts is
ready. When the store is away for all, no host is better than another, and requests
that need no store are still served.
"""

import msgspec


class PeerView(msgspec.Struct, frozen=True):
    """What another host has answered.

    :param zone: its availability zone.
    :param hears_store: whether it hears the store.
    """

    zone: str
    hears_store: bool


def wants_callers(own_zone, hears_store, views, has_other_zones):
    """Tell whether new callers are better off here than elsewhere.

    :param own_zone: this host's availability zone.
    :param hears_store: whether this host hears the store.
    :param views: the :class:`PeerView` of each host that answered.
    :param has_other_zones: whether hosts in other zones are known.
    """
    if hears_store:
        return True
    if any(view.hears_store for view in views):
        return False
    hears_others = any(view.zone != own_zone for view in views)
    return hears_others or not has_other_zones
