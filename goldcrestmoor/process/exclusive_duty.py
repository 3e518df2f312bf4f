"""A duty whose holder makes calls that no two hosts may make in turns.

Workload: hosts are killed, frozen and restarted in turn, so that the holder changes
several times within seconds, and a host may get back a duty that it has just lost. The
platform sees only the calls. It must see neither a lower fencing number after a higher
one, nor two hosts that take turns within a few seconds. A host that is restarted goes
on at once with its own lease, unless its last process was still waiting for its turn.
"""

import logging
import random

from goldcrestmoor.errors import ServiceError

log = logging.getLogger("goldcrestmoor.duties")

# Another host takes over after this and the lease margin.
LEASE_MS = 2000
# How often a host without the duty checks whether it may be claimed.
POLL_INTERVAL_MS = 500
# Spreads the claims of hundreds of hosts, of which one succeeds.
MAX_CLAIM_DELAY_MS = 400
# A small host claims the duty only if no larger one has.
SMALL_HOST_DELAY_MS = 600
MIN_CORES = 1


class ExclusiveDuty:
    """Claims a duty whenever it is free, and tells when its holder may act.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param duties: the :class:`~goldcrestmoor.process.duties.Duties`.
    :param name: the duty.
    :param turn_ms: how long a new holder waits before it acts, in milliseconds; no
        two hosts may take turns within this time.
    :param cores: the processor cores that this host may use.
    """

    __slots__ = ("name", "_clock", "_duties", "_turn_ms", "_cores", "_is_leaving")

    def __init__(self, *, clock, duties, name, turn_ms, cores):
        self.name = name
        self._clock = clock
        self._duties = duties
        self._turn_ms = turn_ms
        self._cores = cores
        self._is_leaving = False

    def is_held(self):
        """Return whether this host holds the duty, although it may not act yet."""
        return self._duties.holds(self.name)

    def may_act(self):
        """Return whether the holder's calls may be sent now. Ask before each call."""
        lease = self._duties.lease(self.name)
        if lease is None or not lease.holds():
            return False
        held_ms = self._clock.now_ms() - lease.acquired_ms
        return lease.continues_own or held_ms >= self._turn_ms

    def may_send(self, fencing):
        """Return whether a call with a fencing number may still be sent.

        :param fencing: what :meth:`fencing` returned when the call was decided on.
        """
        return self.may_act() and self.fencing() == fencing

    def fencing(self):
        """Return the fencing number of the holder's calls."""
        return self._duties.lease(self.name).fencing

    def holding(self):
        """Return the holder and its fencing number according to the feed, or None."""
        return self._duties.holding(self.name)

    def acquired_ms(self):
        """Return when this host acquired the duty that it holds."""
        return self._duties.lease(self.name).acquired_ms

    def leave(self):
        """Stop claiming the duty."""
        self._is_leaving = True

    async def run(self):
        """Claim the duty whenever it is free, until cancelled."""
        while True:
            await self._clock.sleep_ms(POLL_INTERVAL_MS)
            self._settle()
            if not self._is_claimable():
                continue
            delay_ms = random.random() * MAX_CLAIM_DELAY_MS
            if self._cores < MIN_CORES:
                delay_ms += SMALL_HOST_DELAY_MS
            if not self._duties.was_last_held_here(self.name):
                await self._clock.sleep_ms(delay_ms)
            if not self._is_claimable():
                continue
            try:
                await self._duties.claim(self.name, LEASE_MS)
            except ServiceError as e:
                log.info("Claiming the duty %s failed: %s", self.name, e)

    def _settle(self):
        """Let the next process of this host act at once, as this one has waited."""
        if self.may_act():
            lease = self._duties.lease(self.name)
            if not lease.row.is_settled:
                lease.settle()

    def _is_claimable(self):
        return (
            not self._is_leaving
            and not self.is_held()
            and self._duties.is_claimable(self.name)
        )
