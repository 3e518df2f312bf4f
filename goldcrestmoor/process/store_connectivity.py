"""Knows whether this host hears the store, and how the others fare when it doesn't."""

import asyncio
import logging
import random

import msgspec

from goldcrestmoor.adapters.table import Write
from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.process.readiness import PeerStatus, ReadinessMonitor
from goldcrestmoor.process.relay_choice import choose_relay

log = logging.getLogger("goldcrestmoor.reach")

TABLE = "hosts"
STATUS_PATH = "/store"
# Before the path of a call that another host is to pass on.
CALLS_PREFIX = "/store/calls"
# Two waits of the quickest feed.
UNREACHABLE_MS = 1000
# A host that loses the store is known to within half a second, two checks.
CHECK_INTERVAL_MS = 250
# Half a round trip between regions is some tens of milliseconds.
PEER_TIMEOUT_MS = 300
# How often a host that goes round tries the straight way again.
DIRECT_PROBE_MS = 1000
# Feeds that were asked the straight way fall silent first; after that a way round that
# brings no answer is changed for another.
RELAY_RETRY_MS = 2000
# Calls of other hosts at a time; five feeds and some writes for each of a few hosts.
MAX_RELAYED_CALLS = 64
# The longest wait of a feed and its slack.
RELAY_TIMEOUT_MS = 1500
# Asked of the own zone and of all others together; enough that one lives.
OWN_ZONE_PEERS = 2
# Bounds the traffic of an outage; a majority of four is enough to tell.
OTHER_ZONE_PEERS = 4
# An outage of the store lasts seconds.
REGISTER_RETRY_MS = 500
STATUS_OK = 200


class HostRow(msgspec.Struct, frozen=True):
    """Where a host answers other hosts.

    :param zone: its availability zone.
    :param address: its IP address.
    :param port: the TCP port of its readiness check.
    """

    zone: str
    address: str
    port: int


_decoder = msgspec.json.Decoder(HostRow)


class StoreConnectivity:
    """Follow the rows of hosts, and ask some of them when the store is not heard.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param http: the ``HttpClient``.
    :param store: the store's client.
    :param host_id: this host.
    :param row: this host's :class:`HostRow`.
    :param last_answer_age_ms: gives the time since the store last answered, or None.
    """

    __slots__ = (
        "_clock",
        "_http",
        "_store",
        "_host_id",
        "_row",
        "_last_answer_age_ms",
        "_direct_probe_ms",
        "_relay_chosen_ms",
        "_relayed_calls",
        "_row_by_host",
        "_readiness",
    )

    def __init__(self, *, clock, http, store, host_id, row, last_answer_age_ms):
        self._clock = clock
        self._http = http
        self._store = store
        self._host_id = host_id
        self._row = row
        self._last_answer_age_ms = last_answer_age_ms
        self._direct_probe_ms = self._relay_chosen_ms = clock.now_ms()
        self._relayed_calls = 0
        self._row_by_host = {}
        self._readiness = ReadinessMonitor(row.zone)

    def apply(self, changes):
        """Take in what the feed of hosts says.

        :param changes: a list of :class:`~goldcrestmoor.adapters.table.Change`.
        """
        for change in changes:
            if change.value is None:
                self._row_by_host.pop(change.key, None)
                continue
            try:
                self._row_by_host[change.key] = _decoder.decode(change.value)
            except msgspec.MsgspecError as e:
                log.warning("The row of host %s is passed over: %s.", change.key, e)

    def reaches_store(self):
        """Tell whether the store has answered this host lately."""
        age_ms = self._last_answer_age_ms()
        return age_ms is not None and age_ms < UNREACHABLE_MS

    def reaches_store_directly(self):
        """Tell whether the store has answered this host lately, by itself."""
        return self.reaches_store() and not self._store.is_relayed

    def accepts_callers(self):
        """Tell whether new callers are better off here than elsewhere."""
        return self._readiness.accepts_callers

    async def run(self):
        """Register this host, and watch the store for good."""
        await self._register()
        while True:
            await self._probe_direct()
            is_reachable = self.reaches_store()
            statuses = [] if is_reachable else await self._query_peers()
            if not is_reachable:
                self._use_relay(statuses)
            accepted = self._readiness.accepts_callers
            accepts = self._readiness.update(
                is_reachable or self.reaches_store(), statuses, self._has_other_zones()
            )
            if accepts != accepted:
                log.info(
                    "Callers are %s: the store was heard %s ms ago, %d hosts answer, "
                    "%d of them hear it.",
                    "wanted again" if accepts else "better off elsewhere",
                    self._last_answer_age_ms(),
                    len(statuses),
                    sum(peer.reaches_store for peer in statuses),
                )
            await self._clock.sleep_ms(CHECK_INTERVAL_MS)

    def _use_relay(self, statuses):
        """Have another host pass calls on, if there is one that can."""
        now_ms = self._clock.now_ms()
        if self._store.is_relayed and now_ms - self._relay_chosen_ms < RELAY_RETRY_MS:
            return
        age_ms = self._store.rejection_age_ms()
        peer = choose_relay(self._row.zone, statuses, age_ms)
        if peer is None:
            return
        log.info("Calls to the store go round by the host at %s.", peer.address)
        self._store.use_relay(peer.address, peer.port, CALLS_PREFIX)
        self._relay_chosen_ms = self._direct_probe_ms = now_ms

    async def _probe_direct(self):
        now_ms = self._clock.now_ms()
        if (
            not self._store.is_relayed
            or now_ms - self._direct_probe_ms < DIRECT_PROBE_MS
        ):
            return
        self._direct_probe_ms = now_ms
        await self._store.probe_direct()
        if not self._store.is_relayed:
            log.info("Calls to the store go straight again.")

    async def relay(self, method, target, headers, body):
        """Send another host's call to the store.

        :param method: the HTTP method.
        :param target: the path and query, as the store knows them.
        :param headers: the call's headers.
        :param body: the call's body.
        :return: the store's answer.
        :raises ServiceError: ``OVERLOADED`` when it was surely not sent; those of the
            ``HttpClient``.
        """
        if self._relayed_calls >= MAX_RELAYED_CALLS or self._store.is_relayed:
            text = "This host passes no more calls on."
            raise ServiceError(ErrorKind.OVERLOADED, text)
        self._relayed_calls += 1
        try:
            return await self._store.relay(
                method, target, headers, body, RELAY_TIMEOUT_MS
            )
        finally:
            self._relayed_calls -= 1

    async def leave(self):
        """Take this host's row away.

        :raises ServiceError: when the store cannot be reached.
        """
        await self._store.transact([], [Write(TABLE, self._host_id, None)])

    async def _register(self):
        write = Write(TABLE, self._host_id, msgspec.json.encode(self._row))
        while True:
            try:
                await self._store.transact([], [write])
                return
            except ServiceError as e:
                log.info("This host is not registered yet: %s", e)
                await self._clock.sleep_ms(REGISTER_RETRY_MS)

    def _has_other_zones(self):
        return any(row.zone != self._row.zone for row in self._row_by_host.values())

    async def _query_peers(self):
        """Return the views of a few other hosts that answer."""
        others, own = [], []
        for host_id, row in self._row_by_host.items():
            if host_id != self._host_id:
                (own if row.zone == self._row.zone else others).append(row)
        asked = random.sample(own, min(len(own), OWN_ZONE_PEERS))
        asked += random.sample(others, min(len(others), OTHER_ZONE_PEERS))
        statuses = await asyncio.gather(*(self._query_peer(row) for row in asked))
        return [peer for peer in statuses if peer is not None]

    async def _query_peer(self, row):
        try:
            answer = await self._http.request(
                row.address, row.port, "GET", STATUS_PATH, timeout_ms=PEER_TIMEOUT_MS
            )
        except ServiceError as e:
            log.debug("Host at %s does not answer: %s", row.address, e)
            return None
        is_reachable = answer.status == STATUS_OK
        return PeerStatus(row.zone, is_reachable, row.address, row.port)
