"""One host's record of every other host, and the updates that it gossips."""

import heapq
import logging

import msgspec

from goldcrestmoor.process.membership_messages import HostState

log = logging.getLogger("goldcrestmoor.membership")

# Several times the 350 hosts of a large fleet.
MAX_MEMBERS = 2000
# Keeps a probe within one packet.
MAX_UPDATES = 6
# An update sent this many times the logarithm of the fleet's size reaches every host
# with high probability.
SENDS_FACTOR = 3
# A host that is replaced rejoins within minutes, if at all.
FORGET_MS = 600_000
# Recoveries that are further apart are unrelated.
FLAP_MEMORY_MS = 300_000
# Hold-down after the second recovery within minutes.
HOLD_DOWN_MIN_MS = 5000
# Bounds how long a host that is stable again stays without work.
HOLD_DOWN_MAX_MS = 60_000

_RANK_BY_STATE = {
    HostState.ALIVE: 0,
    HostState.SUSPECT: 1,
    HostState.LEAVING: 2,
    HostState.DEAD: 3,
}


class _Member:
    __slots__ = ("record", "changed_ms", "flaps", "flapped_ms", "held_down_until_ms")

    def __init__(self, record, now_ms):
        self.record = record
        self.changed_ms = now_ms
        self.flaps = 0
        self.flapped_ms = now_ms
        self.held_down_until_ms = now_ms


class MemberTable:
    """Records of hosts, merged by incarnation and state.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param own: this host's own record.
    :param suspect_ms: how long a suspected host has to refute, in milliseconds.
    """

    __slots__ = (
        "own",
        "_clock",
        "_suspect_ms",
        "_grace_ms",
        "_members_by_id",
        "_sends_left_by_id",
    )

    def __init__(self, clock, own, suspect_ms):
        self.own = own
        self._clock = clock
        self._suspect_ms = suspect_ms
        self._grace_ms = suspect_ms // 2
        self._members_by_id = {}
        self._sends_left_by_id = {}
        self._queue_update(own.id)

    def find(self, host_id):
        """Return a host's record, or None.

        :param host_id: the host.
        """
        if host_id == self.own.id:
            return self.own
        member = self._members_by_id.get(host_id)
        return member.record if member else None

    def others(self):
        """Return the records of all other hosts, dead ones included."""
        return [member.record for member in self._members_by_id.values()]

    def page(self, after, limit):
        """Return a page of records, sorted by host id.

        :param after: the host id after which the page starts.
        :param limit: the maximum number of records.
        :return: the records, and whether there are more.
        """
        records = [r for r in [self.own, *self.others()] if r.id > after]
        records.sort(key=lambda record: record.id)
        return tuple(records[:limit]), len(records) > limit

    def live(self):
        """Return the records of the hosts that may be given work.

        A suspected host keeps its work for half of the time that it has to refute; a
        flapping host is held down for a while.
        """
        live = [m.record for m in self._members_by_id.values() if self._is_live(m)]
        if self.own.state is HostState.ALIVE:
            live.append(self.own)
        return sorted(live, key=lambda record: record.id)

    def merge(self, record):
        """Merge a record received from another host.

        :param record: the claimed record.
        """
        if record.id == self.own.id:
            self._refute(record)
            return
        member = self._members_by_id.get(record.id)
        if member is None:
            self._add(record)
        elif _is_newer(record, member.record):
            if record.state is HostState.DEAD and _is_alive(member.record):
                # After a partition heals, each side reports the other side as dead.
                # Those hosts get time to refute before they lose their work.
                record = msgspec.structs.replace(record, state=HostState.SUSPECT)
            self._change(member, record)

    def suspect(self, host_id):
        """Record that a host did not answer a probe.

        :param host_id: the host.
        """
        member = self._members_by_id.get(host_id)
        if member is None:
            return
        if member.record.state is HostState.ALIVE:
            self._set_state(member, HostState.SUSPECT)
        elif member.record.state is HostState.LEAVING:
            self._set_state(member, HostState.DEAD)

    def leave(self):
        """Mark this host as leaving."""
        self.own = msgspec.structs.replace(self.own, state=HostState.LEAVING)
        self._queue_update(self.own.id)

    def resume_after_pause(self, pause_ms):
        """Extend all timeouts by a pause of this process, and raise its incarnation.

        :param pause_ms: the length of the pause, in milliseconds.
        """
        for member in self._members_by_id.values():
            member.changed_ms += pause_ms
        self._raise_incarnation(self.own.incarnation)

    def expire(self, listed_ids):
        """Mark hosts that have not refuted as dead, and remove those dead for long.

        :param listed_ids: hosts on the host list; their records are kept.
        """
        now_ms = self._clock.now_ms()
        for host_id, member in list(self._members_by_id.items()):
            age_ms = now_ms - member.changed_ms
            state = member.record.state
            if state is HostState.SUSPECT and age_ms >= self._suspect_ms:
                self._set_state(member, HostState.DEAD)
            elif state is not HostState.DEAD or host_id in listed_ids:
                continue
            elif age_ms >= FORGET_MS:
                del self._members_by_id[host_id]
                self._sends_left_by_id.pop(host_id, None)

    def take_updates(self, receiver_id=None):
        """Return the updates for one message, the least sent first.

        :param receiver_id: the receiving host; its own record is included when
            it is not considered alive, so that it can refute.
        """
        sends = self._sends_left_by_id
        chosen = heapq.nlargest(MAX_UPDATES, sends, key=sends.get)
        for host_id in chosen:
            sends[host_id] -= 1
            if sends[host_id] <= 0:
                del sends[host_id]
        receiver = self._members_by_id.get(receiver_id)
        if receiver and receiver.record.state is not HostState.ALIVE:
            chosen = [receiver_id, *(i for i in chosen if i != receiver_id)]
        records = (self.find(host_id) for host_id in chosen[:MAX_UPDATES])
        return tuple(record for record in records if record is not None)

    def _is_live(self, member):
        now_ms = self._clock.now_ms()
        if now_ms < member.held_down_until_ms:
            return False
        if member.record.state is HostState.SUSPECT:
            return now_ms - member.changed_ms < self._grace_ms
        return member.record.state is HostState.ALIVE

    def _add(self, record):
        if record.state is HostState.DEAD or len(self._members_by_id) >= MAX_MEMBERS:
            return
        self._members_by_id[record.id] = _Member(record, self._clock.now_ms())
        self._queue_update(record.id)
        log.info("Host %s in %s is %s.", record.id, record.zone, record.state)

    def _set_state(self, member, state):
        self._change(member, msgspec.structs.replace(member.record, state=state))

    def _change(self, member, record):
        was_live = self._is_live(member)
        old, member.record = member.record, record
        if old.state is not record.state:
            log.info("Host %s is %s, was %s.", record.id, record.state, old.state)
            if record.state is HostState.ALIVE and not was_live:
                self._hold_down(member)
            member.changed_ms = self._clock.now_ms()
        self._queue_update(record.id)

    def _hold_down(self, member):
        """Hold a flapping host down, longer each time."""
        now_ms = self._clock.now_ms()
        if now_ms - member.flapped_ms > FLAP_MEMORY_MS:
            member.flaps = 0
        member.flaps += 1
        member.flapped_ms = now_ms
        if member.flaps > 1:
            hold_down_ms = min(
                HOLD_DOWN_MAX_MS, HOLD_DOWN_MIN_MS << min(member.flaps - 2, 10)
            )
            member.held_down_until_ms = now_ms + hold_down_ms
            log.info("Host %s is held down for %d ms.", member.record.id, hold_down_ms)

    def _refute(self, claim):
        is_accused = claim.state in (HostState.SUSPECT, HostState.DEAD)
        is_accused = is_accused and claim.incarnation >= self.own.incarnation
        if is_accused or claim.incarnation > self.own.incarnation:
            self._raise_incarnation(claim.incarnation)

    def _raise_incarnation(self, above):
        self.own = msgspec.structs.replace(self.own, incarnation=above + 1)
        self._queue_update(self.own.id)

    def _queue_update(self, host_id):
        bits = (len(self._members_by_id) + 2).bit_length()
        self._sends_left_by_id[host_id] = SENDS_FACTOR * bits


def _is_newer(claim, known):
    if claim.incarnation != known.incarnation:
        return claim.incarnation > known.incarnation
    return _RANK_BY_STATE[claim.state] > _RANK_BY_STATE[known.state]


def _is_alive(record):
    return record.state is HostState.ALIVE
