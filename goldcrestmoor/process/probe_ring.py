"""Selection of the next host to probe."""

import random

from goldcrestmoor.process.membership_messages import HostState

# The own zone is probed more often; updates on other zones arrive through many hosts.
OTHER_ZONE_EVERY_PROBES = 4
# Detects hosts that recover, with little traffic to those that don't.
DEAD_EVERY_PROBES = 5


class ProbeRing:
    """Shuffled rounds over the hosts of the own zone, of other zones and dead hosts.

    :param table: the :class:`~goldcrestmoor.process.member_table.MemberTable`.
    :param candidates: returns the ids of hosts that are known only by address.
    :param rng: the source of randomness for the order.
    """

    __slots__ = (
        "_table",
        "_candidates",
        "_rng",
        "_count",
        "_own_zone",
        "_other_zones",
        "_dead",
    )

    def __init__(self, table, candidates, rng=None):
        self._table = table
        self._candidates = candidates
        self._rng = rng or random.Random()
        self._count = 0
        self._own_zone = []
        self._other_zones = []
        self._dead = []

    def next_id(self):
        """Return the next host to probe, or None when none is known."""
        self._count += 1
        rounds = [
            (self._own_zone, self._is_in_own_zone),
            (self._other_zones, self._is_in_other_zone),
        ]
        if self._count % OTHER_ZONE_EVERY_PROBES == 0:
            rounds.reverse()
        if self._count % DEAD_EVERY_PROBES == 0:
            return self._next_dead() or self._next_live(rounds)
        return self._next_live(rounds) or self._next_dead()

    def _next_live(self, rounds):
        for queue, belongs in rounds:
            host_id = self._next_from(queue, belongs)
            if host_id is not None:
                return host_id
        return None

    def _next_from(self, queue, belongs):
        refilled = False
        while True:
            while queue:
                record = self._table.find(queue.pop())
                if record is not None and belongs(record):
                    return record.id
            if refilled:
                return None
            refilled = True
            queue.extend(r.id for r in self._table.others() if belongs(r))
            self._rng.shuffle(queue)

    def _next_dead(self):
        if not self._dead:
            dead = (r for r in self._table.others() if r.state is HostState.DEAD)
            self._dead.extend({r.id for r in dead}.union(self._candidates()))
            self._rng.shuffle(self._dead)
        return self._dead.pop() if self._dead else None

    def _is_in_own_zone(self, record):
        is_in_own_zone = record.zone == self._table.own.zone
        return is_in_own_zone and record.state is not HostState.DEAD

    def _is_in_other_zone(self, record):
        is_in_other_zone = record.zone != self._table.own.zone
        return is_in_other_zone and record.state is not HostState.DEAD
