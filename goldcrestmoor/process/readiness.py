"""Whether a host accepts new callers.

Workload: an availability zone, or a few hosts, lose the store while the other hosts
still reach it. Batch jobs need the store, so their callers should be sent to hosts
that reach it. The load balancer sends a zone's callers to other zones only when none
of the zone's hosts is ready. When no host reaches the store, all hosts stay ready, and
requests that don't need the store are still served.
"""

import msgspec

# On a busy host all responses of one check may be late; the load balancer also ejects a
# host only after two missed checks.
UNREADY_AFTER_CHECKS = 2


class PeerStatus(msgspec.Struct, frozen=True):
    """Store connectivity as another host reported it.

    :param zone: its availability zone.
    :param reaches_store: whether it reaches the store directly.
    :param address: its IP address.
    :param port: the TCP port of its readiness check.
    """

    zone: str
    reaches_store: bool
    address: str = ""
    port: int = 0


class ReadinessMonitor:
    """Decides after each check whether this host accepts new callers.

    :param own_zone: this host's availability zone.
    :ivar accepts_callers: the result of the last check.
    """

    __slots__ = ("accepts_callers", "_own_zone", "_failed_checks")

    def __init__(self, own_zone):
        self.accepts_callers = True
        self._own_zone = own_zone
        self._failed_checks = 0

    def update(self, reaches_store, statuses, has_other_zones):
        """Record one check; only consecutive failed checks make the host unready.

        :param reaches_store: whether this host reaches the store.
        :param statuses: the :class:`PeerStatus` of each host that answered.
        :param has_other_zones: whether hosts in other zones are known.
        :return: whether new callers are accepted.
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
