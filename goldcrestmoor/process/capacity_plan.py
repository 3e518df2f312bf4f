"""How many servers of a service are ordered in each availability zone, and when.

Workload: a few trainers each submit a step of some hundreds of items at once, wait for
it and submit the next one, so that the load of a service jumps from nothing to many
times its slots and back within seconds, and steps of several trainers sometimes
coincide. A new server serves after several seconds, which is too late for the step that
needs it but in time for the next ones; each second of a server is billed. So the number
follows the peak of half a minute, and falls slowly. Meanwhile servers crash and come
back, are lost for good, or are reclaimed with all others of their zone, and a zone may
have no servers to give.
"""

import math

import msgspec

from goldcrestmoor.clock import MS_PER_SECOND

# Nine items in ten have at most 56 events, of about 50 ms each. Longer ones are started
# first and take up to 7 s, whatever the number of servers.
ROUND_MS = 2800
# Two rounds take 5.6 s of the 7.5 s in which a step is due. The rest is for placing
# items, moving them off a failed engine, and reward calls. A third round, as after the
# loss of one zone of three, would not fit.
ITEMS_PER_SLOT = 2
# A trainer gives up on a step at 1.6 times the time in which it is due. What is still
# open after this many times is work that nobody waits for.
ABANDONED_FACTOR = 2
# Several steps of each trainer, so that their coincidences are included.
PEAK_MS = 30_000
# The number of servers falls only when its last peak is older than this.
HOLD_MS = 60_000
# A server that crashed is listed again within its boot time and a heartbeat or two.
REPLACEMENT_MARGIN_MS = 2000
# The servers of a reclaimed zone say so within a heartbeat of each other; one or two
# orders replace all of them.
RECLAIM_PAUSE_MS = 1000
# How long no order is sent for a zone that had no server available.
REFUSAL_MS = 10_000
# While the system starts, servers are added to the list one by one; one that crashes
# meanwhile is back after its boot time. This is the least time that is waited for both.
MIN_SETTLED_MS = 5000


class JobLoad(msgspec.Struct, frozen=True):
    """The open part of a batch job, as far as it goes to one service.

    :param items: the number of items that are not listed yet.
    :param age_ms: the time since its submission.
    :param due_after_ms: the time from submission until it is due; 0 for none.
    """

    items: float
    age_ms: int
    due_after_ms: int


class ZoneServers(msgspec.Struct, frozen=True):
    """The servers of one service in one availability zone.

    :param accepting: how many accept work.
    :param slots: the slots of those.
    :param listed: how many are listed and not being reclaimed.
    :param reclaimed: how many are listed and being reclaimed.
    """

    accepting: int = 0
    slots: int = 0
    listed: int = 0
    reclaimed: int = 0


class Order(msgspec.Struct, frozen=True):
    """An order that is due.

    :param zone: the availability zone.
    :param count: how many servers the service shall have there.
    :param reason: why it is due, as part of a sentence.
    """

    zone: str
    count: int
    reason: str


def needed_slots(jobs):
    """Return the slots that finish the open items of jobs within their time.

    A job counts with the rounds that fit into its whole time, not into what is left of
    it: a server that is ordered now serves too late for a job that is nearly due.

    :param jobs: an iterable of :class:`JobLoad`.
    """
    return sum(
        job.items / rounds(job.due_after_ms) for job in jobs if not _is_abandoned(job)
    )


def rounds(due_after_ms):
    """Return how many items a slot may run one after the other.

    :param due_after_ms: the time in which they are due, in milliseconds; 0 for none.
    """
    if not due_after_ms:
        return ITEMS_PER_SLOT
    return min(ITEMS_PER_SLOT, max(1, due_after_ms / ROUND_MS))


def _is_abandoned(job):
    return 0 < job.due_after_ms * ABANDONED_FACTOR <= job.age_ms


def spread(total, bounds, floor_by_zone):
    """Return the number of servers of each zone, as even as the floors allow.

    :param total: how many servers are needed in all.
    :param bounds: the service's
        :class:`~goldcrestmoor.version.configuration.routes.ScalingBounds`.
    :param floor_by_zone: the smallest number in each zone.
    """
    count_by_zone = {
        zone: min(bounds.max_servers, max(bounds.min_servers, floor))
        for zone, floor in floor_by_zone.items()
    }
    return add_servers(
        count_by_zone, total - sum(count_by_zone.values()), bounds, count_by_zone
    )


def add_servers(count_by_zone, missing, bounds, zones):
    """Return the numbers with some servers added, where there are fewest.

    :param count_by_zone: the number of servers of each zone.
    :param missing: how many are added, unless the bounds are reached first.
    :param bounds: as for :func:`spread`.
    :param zones: where they may be added.
    """
    count_by_zone = dict(count_by_zone)
    for _ in range(missing):
        open_zones = [z for z in zones if count_by_zone[z] < bounds.max_servers]
        if not open_zones:
            break
        zone = min(open_zones, key=lambda z: (count_by_zone[z], z))
        count_by_zone[zone] += 1
    return count_by_zone


def add_zone_reserve(count_by_zone, needed, bounds):
    """Return the numbers with servers added, so that any zone may be lost.

    The others then have as many as are needed, unless the bounds are reached first. A
    zone is lost at once, and its servers are replaced too late for the step that runs.

    :param count_by_zone: the number of servers of each zone.
    :param needed: how many servers are needed in all.
    :param bounds: as for :func:`spread`.
    """
    # A single zone has no other to take over from it.
    while len(count_by_zone) > 1:
        left = sum(count_by_zone.values()) - max(count_by_zone.values())
        larger = add_servers(count_by_zone, 1, bounds, count_by_zone)
        if left >= needed or larger == count_by_zone:
            break
        count_by_zone = larger
    return count_by_zone


class BaselineDetector:
    """Tells when a list of servers has ceased to fill."""

    __slots__ = ("_count_by_zone", "_since_ms")

    def __init__(self):
        self._count_by_zone = {}
        self._since_ms = None

    def observe(self, now_ms, count_by_zone, boot_ms):
        """Record the numbers; return whether they may be taken as the baseline.

        :param count_by_zone: the number of servers of each zone that has any.
        :param boot_ms: the time until a new server serves, in milliseconds.
        """
        if self._since_ms is None or count_by_zone != self._count_by_zone:
            self._count_by_zone = count_by_zone
            self._since_ms = now_ms
        wait_ms = max(MIN_SETTLED_MS, boot_ms + REPLACEMENT_MARGIN_MS)
        return bool(count_by_zone) and now_ms - self._since_ms >= wait_ms

    def reset(self):
        """Start again, as the list was not current."""
        self._since_ms = None


class _Peak:
    """The largest number of recent samples, one kept for each second."""

    __slots__ = ("_slots_by_second",)

    def __init__(self):
        self._slots_by_second = {}

    def record(self, now_ms, slots):
        second = now_ms // MS_PER_SECOND
        known = self._slots_by_second.pop(second, 0)
        self._slots_by_second[second] = max(known, slots)
        first = (now_ms - PEAK_MS) // MS_PER_SECOND
        for old in [s for s in self._slots_by_second if s < first]:
            del self._slots_by_second[old]

    def slots(self):
        return max(self._slots_by_second.values(), default=0)


class _Zone:
    """One zone of a plan.

    :ivar first: the number of servers when it was first seen.
    :ivar target: the number that the platform is to know.
    :ivar agreed: the number of the last accepted order, or as stored before.
    :ivar sent: the number of the last order that this holder had accepted, or None.
    """

    __slots__ = (
        "first",
        "target",
        "agreed",
        "sent",
        "accepted_ms",
        "attempted_ms",
        "refused_until_ms",
        "short_since_ms",
        "lower_since_ms",
        "servers",
        "has_new_reclaim",
    )

    def __init__(self, first, target):
        self.first = first
        self.target = self.agreed = target
        self.sent = None
        self.accepted_ms = self.attempted_ms = 0
        self.refused_until_ms = None
        self.short_since_ms = self.lower_since_ms = None
        self.servers = ZoneServers()
        self.has_new_reclaim = False

    def observe(self, now_ms, servers):
        # Here only: the target is set anew before the zone is asked again.
        if self.is_refused and now_ms >= self.refused_until_ms:
            self.refused_until_ms = None
        if servers.reclaimed > self.servers.reclaimed:
            self.has_new_reclaim = True
        self.servers = servers

    def observe_shortage(self, now_ms):
        if self.servers.accepting >= self.target:
            self.short_since_ms = None
            self.has_new_reclaim = False
        elif self.short_since_ms is None:
            self.short_since_ms = now_ms

    def aim(self, now_ms, wanted):
        """Raise the target at once; note since when it could be lower."""
        if wanted < self.target:
            if self.lower_since_ms is None:
                self.lower_since_ms = now_ms
            return
        self.lower_since_ms = None
        if not self.is_refused:
            self.target = wanted

    @property
    def is_refused(self):
        return self.refused_until_ms is not None

    def reason(self, now_ms, boot_ms):
        """Return why an order is due, or None if none is."""
        if self.is_refused:
            return None
        if self.sent is None:
            return "first order of this host"
        if self.sent != self.target:
            return f"the target was {self.sent}"
        if self.short_since_ms is None:
            return None
        if self.has_new_reclaim and now_ms - self.accepted_ms >= RECLAIM_PAUSE_MS:
            return "servers are being reclaimed"
        short_ms = now_ms - max(self.short_since_ms, self.accepted_ms)
        if short_ms >= boot_ms + REPLACEMENT_MARGIN_MS:
            return f"short for {short_ms} ms"
        return None


class ServicePlan:
    """The targets of one service, and the orders that are due for them.

    The caller calls :meth:`update` while the list of servers can be relied on, else
    :meth:`pause`; then it sends one of the orders that are :meth:`due` and records its
    outcome.

    :param now_ms: the time at which this host began to plan; its knowledge of peaks
        begins there.
    :param bounds: the service's
        :class:`~goldcrestmoor.version.configuration.routes.ScalingBounds`.
    :param first_by_zone: the number of servers of each zone when first seen.
    :param target_by_zone: the last targets, of this or another host.
    """

    __slots__ = (
        "_started_ms",
        "_bounds",
        "_zone_by_name",
        "_peak",
        "_slots_per_server",
        "_lowered_ms",
    )

    def __init__(self, *, now_ms, bounds, first_by_zone, target_by_zone):
        self._started_ms = now_ms
        self._bounds = bounds
        self._zone_by_name = {}
        self._peak = _Peak()
        self._slots_per_server = None
        self._lowered_ms = 0
        for zone, first in first_by_zone.items():
            self.add_zone(zone, first, target_by_zone.get(zone, first))

    @property
    def first_by_zone(self):
        """The number of servers of each zone when it was first seen."""
        return {name: zone.first for name, zone in self._zone_by_name.items()}

    @property
    def target_by_zone(self):
        """The number of servers that each zone is to have."""
        return {name: zone.target for name, zone in self._zone_by_name.items()}

    def add_zone(self, name, first, target):
        """Add a zone.

        :param name: the zone.
        :param first: the number of servers when it was first seen.
        :param target: its last target.
        """
        self._zone_by_name[name] = _Zone(first, target)

    def figures(self, zone):
        """Return the figures behind an order, as part of a sentence.

        :param zone: the order's zone.
        """
        state = self._zone_by_name[zone]
        has_others = len(self._zone_by_name) > 1
        reserve = (
            ", also without the largest zone if bounds allow" if has_others else ""
        )
        return (
            f"{state.servers.accepting} accept work, {state.servers.reclaimed} are "
            f"being reclaimed, {state.first} in the baseline; the peak needs "
            f"{self._peak.slots():.0f} slots at {self._slots_per_server or 0:.1f} each"
            f"{reserve}"
        )

    def pause(self):
        """Forget since when servers are missing or superfluous."""
        for zone in self._zone_by_name.values():
            zone.short_since_ms = zone.lower_since_ms = None

    def update(self, now_ms, bounds, servers_by_zone, slots):
        """Adapt the targets to what is listed and needed now.

        :param bounds: the bounds in effect.
        :param servers_by_zone: the :class:`ZoneServers` of each zone that has any.
        :param slots: the slots that the open jobs need, by :func:`needed_slots`.
        """
        self._bounds = bounds
        self._peak.record(now_ms, slots)
        self._measure_slots(servers_by_zone.values())
        for name, zone in self._zone_by_name.items():
            zone.target = min(zone.target, bounds.max_servers)
            zone.observe(now_ms, servers_by_zone.get(name, ZoneServers()))
        needed = self._needed_servers()
        even = spread(needed, bounds, self.first_by_zone)
        even = add_zone_reserve(even, needed, bounds)
        wanted = self._move_refused(even)
        for name, zone in self._zone_by_name.items():
            zone.aim(now_ms, wanted[name])
        self._lower(now_ms, sum(even.values()), wanted)
        for zone in self._zone_by_name.values():
            zone.observe_shortage(now_ms)

    def due(self, now_ms):
        """Return the orders that are due, the one that waited longest first."""
        reason_by_zone = {
            name: zone.reason(now_ms, self._bounds.boot_ms)
            for name, zone in self._zone_by_name.items()
        }
        orders = [
            Order(name, self._zone_by_name[name].target, reason)
            for name, reason in reason_by_zone.items()
            if reason is not None
        ]
        return sorted(orders, key=lambda o: (self.attempted_ms(o.zone), o.zone))

    def attempted_ms(self, zone):
        """Return when an order for a zone was last sent; 0 before."""
        return self._zone_by_name[zone].attempted_ms

    def record_accepted(self, order, now_ms):
        """Record that the platform has accepted an order.

        :param order: the :class:`Order`.
        """
        zone = self._zone_by_name[order.zone]
        zone.sent = zone.agreed = order.count
        zone.accepted_ms = zone.attempted_ms = now_ms
        zone.has_new_reclaim = False

    def record_refused(self, order, now_ms):
        """Record that the platform has refused an order; others get what it lacks.

        Its target is again the number that the platform agreed to, until it is asked
        again.

        :param order: the :class:`Order`.
        """
        zone = self._zone_by_name[order.zone]
        zone.target = min(zone.target, zone.agreed)
        zone.attempted_ms = now_ms
        zone.refused_until_ms = now_ms + REFUSAL_MS

    def record_failed(self, order, now_ms):
        """Record that an order may not have arrived; it remains due.

        :param order: the :class:`Order`.
        """
        self._zone_by_name[order.zone].attempted_ms = now_ms

    def _measure_slots(self, zones):
        zones = list(zones)
        accepting = sum(zone.accepting for zone in zones)
        if accepting:
            self._slots_per_server = sum(zone.slots for zone in zones) / accepting

    def _needed_servers(self):
        if self._slots_per_server is None:
            return 0
        return math.ceil(self._peak.slots() / self._slots_per_server)

    def _move_refused(self, count_by_zone):
        """Give other zones the servers that refusing zones lack."""
        missing = sum(
            max(0, count_by_zone[name] - zone.servers.accepting)
            for name, zone in self._zone_by_name.items()
            if zone.is_refused
        )
        others = [
            name for name, zone in self._zone_by_name.items() if not zone.is_refused
        ]
        return add_servers(count_by_zone, missing, self._bounds, others)

    def _lower(self, now_ms, needed, wanted):
        """Lower one target by one server, if that is due.

        :param needed: how many servers are needed in all.
        :param wanted: the number of servers that each zone needs.
        """
        if now_ms - self._started_ms < HOLD_MS:
            return
        if now_ms - self._lowered_ms < self._bounds.boot_ms:
            return
        # Servers that replace those of a refusing zone stay until it has its own.
        if sum(z.servers.accepting for z in self._zone_by_name.values()) <= needed:
            return
        names = [
            name
            for name, zone in self._zone_by_name.items()
            if zone.lower_since_ms is not None
            and now_ms - zone.lower_since_ms >= HOLD_MS - PEAK_MS
        ]
        if names:
            name = max(names, key=lambda n: self._zone_by_name[n].target - wanted[n])
            self._zone_by_name[name].target -= 1
            self._lowered_ms = now_ms
