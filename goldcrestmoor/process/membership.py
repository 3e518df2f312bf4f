"""Tracks which hosts of the fleet are alive, by probes and gossip."""

import asyncio
import logging
import random

from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.process.broadcast import TreeBroadcast
from goldcrestmoor.process.listed_hosts import MAX_LEAVING_UPSTREAMS, ListedHosts
from goldcrestmoor.process.member_table import MemberTable
from goldcrestmoor.process.membership_messages import (
    HostRecord,
    HostState,
    ListRead,
    Probe,
    ProbeAnswer,
    ProbeFor,
    ProbeForAnswer,
    SyncAnswer,
    SyncRequest,
)
from goldcrestmoor.process.probe_ring import ProbeRing
from goldcrestmoor.util import Backoff, TaskGroup, rendezvous_order

log = logging.getLogger("goldcrestmoor.membership")

# Two paths around one bad link.
INDIRECT_PROBES = 2
# Bounds pending probes of slow peers; at two probes a second, four seconds' worth.
MAX_CONCURRENT_PROBES = 8
# A page of 64 records is about six kilobytes.
SYNC_PAGE_RECORDS = 64
# A page takes milliseconds between zones.
SYNC_TIMEOUT_MS = 1000
# Limits synchronization between zones that are partitioned and healed repeatedly.
RESYNC_INTERVAL_MS = 30_000
# A host that can join does so within this time.
JOIN_BACKOFF_MAX_MS = 5000
# Longer than load delays the event loop, shorter than the pause that makes a host
# suspect.
PAUSE_THRESHOLD_MS = 1000
# From this many hosts an update reaches a zone in two rounds.
LEAVE_FANOUT = 8
# Keeps the message within a few kilobytes; each host reads a longer list itself.
MAX_BROADCAST_LEAVING = 256


class Membership:
    """This host's view of the fleet.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param settings: the :class:`~goldcrestmoor.settings.Settings`.
    :param links: the :class:`~goldcrestmoor.connection.peers.PeerLinks`.
    :param host_list: the :class:`~goldcrestmoor.adapters.hosts.HostListClient`.
    :param metrics: the :class:`~goldcrestmoor.process.metrics.Metrics`.
    :param rng: the source of randomness for the order in which hosts are probed.
    """

    __slots__ = (
        "table",
        "listed",
        "_clock",
        "_settings",
        "_links",
        "_metrics",
        "_rng",
        "_seeds_by_id",
        "_ring",
        "_callbacks",
        "_leaving_answers",
        "_draining",
        "_live",
        "_live_ids",
        "_list_rank",
        "_broadcast",
        "_pending_probes",
        "_synced_ms",
        "_tasks",
    )

    def __init__(self, *, clock, settings, links, host_list, metrics, rng=None):
        host = settings.host
        own = HostRecord(
            host.id,
            host.zone,
            host.region,
            host.address,
            host.http_port,
            host.advertised_peer_port or host.peer_port,
            # A restarted host starts above its former incarnation; if its wall
            # clock is behind, peers report the higher number and it raises its own.
            clock.wall_ms(),
            HostState.ALIVE,
        )
        self.table = MemberTable(clock, own, settings.membership.suspect_ms)
        self.listed = ListedHosts(
            clock=clock,
            host_list=host_list,
            poll_ms=settings.membership.host_list_poll_ms,
            rank=lambda: self._list_rank,
            on_read=self._broadcast_reading,
        )
        self._clock = clock
        self._settings = settings.membership
        self._links = links
        self._metrics = metrics
        self._rng = rng or random.Random()
        seeds = (peer for peer in settings.peers if peer.id != own.id)
        self._seeds_by_id = {peer.id: peer for peer in seeds}
        self._ring = ProbeRing(self.table, self._candidate_ids, self._rng)
        self._callbacks = []
        self._leaving_answers = None
        self._draining = tuple
        self._live = [own]
        self._live_ids = None
        self._list_rank = 0
        self._broadcast = TreeBroadcast(links=links, membership=self, host_id=own.id)
        self._pending_probes = 0
        self._synced_ms = None
        self._tasks = TaskGroup()
        links.register(Probe, self._on_probe, urgent=True)
        links.register(ProbeFor, self._on_probe_for)
        links.register(SyncRequest, self._on_sync, urgent=True)
        links.register(ListRead, self._on_list_read, urgent=True)

    def live(self, zone=None):
        """Return the records of the hosts that may be given work.

        :param zone: an availability zone; all zones when left out.
        """
        return [r for r in self._live if zone is None or r.zone == zone]

    def find(self, host_id):
        """Return a host's record, or None when it is unknown.

        :param host_id: the host.
        """
        return self.table.find(host_id)

    def address_of(self, host_id):
        """Return a host's ``(address, peer_port)``, or None when it is unknown.

        :param host_id: the host.
        """
        host = (
            self.table.find(host_id)
            or self.listed.hosts_by_id.get(host_id)
            or self._seeds_by_id.get(host_id)
        )
        return (host.address, host.peer_port) if host else None

    def own(self):
        """Return this host's own record."""
        return self.table.own

    def all(self):
        """Return the records of all known hosts, sorted by id."""
        records = [self.table.own, *self.table.others()]
        return sorted(records, key=lambda record: record.id)

    def leaving_upstreams(self):
        """Return the names of the upstreams that the host list reports as leaving."""
        return self.listed.leaving_upstreams()

    def set_leaving_sources(self, answers, draining):
        """Set the sources of leaving upstreams that are not on the host list.

        :param answers: the :class:`~.leaving_answers.LeavingAnswers`.
        :param draining: returns the names of the upstreams that operators drain.
        """
        self._leaving_answers = answers
        self._draining = draining

    def on_change(self, callback):
        """Register a function to be called when the set of live hosts changes.

        :param callback: a function without parameters.
        """
        self._callbacks.append(callback)

    async def run(self):
        """Probe other hosts until cancelled."""
        self._tasks.start(self.listed.run(), "poll the host list")
        self._tasks.start(self._join(), "join the fleet")
        try:
            while True:
                self._probe_next()
                await self._wait_interval()
        finally:
            await self._tasks.close()

    async def leave(self):
        """Mark this host as leaving, and notify some peers immediately."""
        self.table.leave()
        self._refresh()
        own_zone_ids = [r.id for r in self.live(self.table.own.zone)]
        notified = self._rng.sample(own_zone_ids, min(LEAVE_FANOUT, len(own_zone_ids)))
        await asyncio.gather(*(self._probe_directly(host_id) for host_id in notified))

    def _probe_next(self):
        self.table.expire(self.listed.hosts_by_id)
        self._refresh()
        target = self._ring.next_id()
        if target is None or self._pending_probes >= MAX_CONCURRENT_PROBES:
            return
        self._pending_probes += 1
        self._tasks.start(self._probe(target), f"probe {target}")

    async def _wait_interval(self):
        interval_ms = self._settings.probe_interval_ms
        started_ms = self._clock.now_ms()
        await self._clock.sleep_ms(interval_ms)
        pause_ms = self._clock.now_ms() - started_ms - interval_ms
        if pause_ms >= PAUSE_THRESHOLD_MS:
            log.warning("This host stood still for %d ms.", pause_ms)
            self.table.resume_after_pause(pause_ms)

    def _refresh(self):
        self._live = self.table.live()
        ids = [record.id for record in self._live]
        if ids == self._live_ids:
            return
        self._live_ids = ids
        self._list_rank = self._rank_for_list()
        self._metrics.live_hosts.clear()
        for record in self._live:
            self._metrics.live_hosts.labels(record.zone).inc()
        for callback in self._callbacks:
            callback()

    def _rank_for_list(self):
        own = self.table.own
        own_zone_ids = [record.id for record in self.live(own.zone)]
        order = rendezvous_order(f"host list/{own.zone}", own_zone_ids)
        return order.index(own.id) if own.id in order else len(order)

    def _candidate_ids(self):
        addresses_by_id = {**self._seeds_by_id, **self.listed.hosts_by_id}
        known = (self.table.find(host_id) for host_id in addresses_by_id)
        return [
            i
            for i, record in zip(addresses_by_id, known, strict=True)
            if record is None
        ]

    async def _probe(self, target):
        started_ms = self._clock.now_ms()
        try:
            if await self._probe_directly(target) or await self._probe_indirectly(
                target
            ):
                return
            # After a pause of this process, the answers may have been missed.
            if self._clock.now_ms() - started_ms < self._max_probe_ms():
                self.table.suspect(target)
                self._refresh()
        finally:
            self._pending_probes -= 1

    def _max_probe_ms(self):
        return 3 * self._settings.probe_timeout_ms + PAUSE_THRESHOLD_MS

    async def _probe_directly(self, target):
        record = self.table.find(target)
        was_dead = record is not None and record.state is HostState.DEAD
        probe = Probe(
            self.table.own, self.table.take_updates(target), self.listed.is_stale()
        )
        try:
            answer = await self._links.call(
                target, probe, self._settings.probe_timeout_ms
            )
        except ServiceError as e:
            # An error reply from the host itself shows that the host is alive.
            return e.kind is not ErrorKind.PEER_UNREACHABLE
        if not isinstance(answer, ProbeAnswer):
            return True
        self._merge(answer.sender, *answer.updates)
        self.listed.add_leaving(answer.leaving_upstreams)
        if self._leaving_answers:
            self._leaving_answers.apply_remaining(answer.answered_leaving)
        if was_dead:
            await self._resync(target)
        return True

    async def _probe_indirectly(self, target):
        record = self.table.find(target)
        if record is None or record.state is HostState.DEAD:
            return False
        own_id = self.table.own.id
        helpers = [r.id for r in self._live if r.id not in (own_id, target)]
        chosen = self._rng.sample(helpers, min(INDIRECT_PROBES, len(helpers)))
        asked = (self._request_indirect_probe(helper, record) for helper in chosen)
        return any(await asyncio.gather(*asked))

    async def _request_indirect_probe(self, helper, record):
        timeout_ms = 2 * self._settings.probe_timeout_ms
        try:
            answer = await self._links.call(helper, ProbeFor(record), timeout_ms)
        except ServiceError:
            return False
        return isinstance(answer, ProbeForAnswer) and answer.reached

    async def _join(self):
        backoff = Backoff(self._settings.probe_interval_ms, JOIN_BACKOFF_MAX_MS)
        while self._synced_ms is None:
            candidates = self._candidate_ids()
            candidates += [record.id for record in self.table.others()]
            if candidates:
                await self._sync(self._rng.choice(candidates))
            if self._synced_ms is None:
                await self._clock.sleep_ms(backoff.next_ms())

    async def _resync(self, host_id):
        now_ms = self._clock.now_ms()
        if self._synced_ms is None or now_ms - self._synced_ms >= RESYNC_INTERVAL_MS:
            await self._sync(host_id)

    async def _sync(self, host_id):
        after, more = "", True
        while more:
            request = SyncRequest(self.table.own, after)
            try:
                answer = await self._links.call(host_id, request, SYNC_TIMEOUT_MS)
            except ServiceError as e:
                log.debug("Synchronization with %s failed: %s.", host_id, e)
                return
            if not isinstance(answer, SyncAnswer) or not answer.records:
                return
            self._merge(*answer.records)
            after, more = answer.records[-1].id, answer.more
        self._synced_ms = self._clock.now_ms()
        log.info("Received the fleet's records from %s.", host_id)

    async def _on_probe(self, sender, probe):
        self._merge(probe.sender, *probe.updates)
        leaving = ()
        if probe.list_is_stale and not self.listed.is_stale():
            known = self.leaving_upstreams().union(self._draining())
            leaving = sorted(known)[:MAX_LEAVING_UPSTREAMS]
        updates = self.table.take_updates(probe.sender.id)
        answers = self._leaving_answers
        answered = answers.remaining_ms_by_name() if answers else {}
        return ProbeAnswer(self.table.own, updates, tuple(leaving), answered)

    async def _on_probe_for(self, sender, message):
        self._merge(message.target)
        return ProbeForAnswer(await self._probe_directly(message.target.id))

    async def _on_sync(self, sender, message):
        self._merge(message.sender)
        return SyncAnswer(*self.table.page(message.after, SYNC_PAGE_RECORDS))

    async def _on_list_read(self, sender, message):
        self.listed.apply_reading(message.leaving_upstreams)
        self._broadcast.forward(message, message.targets)

    def _broadcast_reading(self, leaving):
        # Hosts that receive no reading read the list themselves.
        if len(leaving) <= MAX_BROADCAST_LEAVING:
            self._broadcast.broadcast(ListRead(leaving), self.table.own.zone)

    def _merge(self, *records):
        for record in records:
            self.table.merge(record)
        self._refresh()
