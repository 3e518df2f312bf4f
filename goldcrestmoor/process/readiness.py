"""Whether a host wants new callers.

The load this answers: an availability zone, or a few hosts, lose the store while the
rest has it. Batch jobs need the store, so their callers should go where it is heard.
The balancer sends a zone's callers to other zones only when none of its hosts is
ready. When the store is away for all, no host is better than another, and requests
that need no store are still served.
"""

import msgspec

# One round of asking may come back late as a whole on a busy host; the balancer too
# takes a host out only after two misses.
UNREADY_AFTER_CHECKS = 2


class PeerStatus(msgspec.Struct, frozen=True):
    """What another host has answered.

    :param zone: its availability zone.
    :param reaches_store: whether it hears the store by itself.
    :param address: its IP address.
    :param port: the TCP port that it answered at.
    """

    zone: str
    reaches_store: bool
    address: str = ""
    port: int = 0


class ReadinessMonitor:
    """Judge after each check whether new callers are better off here than elsewhere.

    :param own_zone: this host's availability zone.
    :ivar accepts_callers: the last judgement.
    """

    __slots__ = ("accepts_callers", "_own_zone", "_failed_checks")

    def __init__(self, own_zone):
        self.accepts_callers = True
        self._own_zone = own_zone
        self._failed_checks = 0

    def update(self, reaches_store, statuses, has_other_zones):
        """Take in one check; only doubts in a row turn callers away.

        :param reaches_store: whether this host hears the store.
        :param statuses: the :class:`PeerStatus` of each host that answered.
        :param has_other_zones: whether hosts in other zones are known.
        :return: whether new callers are wanted.
        """
        if self._is_failed_check(reaches_store, statuses, has_other_zones):
            self._failed_checks += 1
        else:
            self._failed_checks = 0
        self.accepts_callers = self._failed_checks < UNREADY_AFTER_CHECKS
        return self.accepts_callers

    def _is_failed_check(self, reaches_store, statuses, has_other_zones):
        if reaches_store:
            return False
        if any(status.reaches_store for status in statuses):
            return True
        reaches_others = any(status.zone != self._own_zone for status in statuses)
        return has_other_zones and not reaches_others
