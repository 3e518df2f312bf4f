"""Tracks whether this host and, during an outage, other hosts reach the store."""

import asyncio
import logging
import random

from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.process.readiness import PeerStatus, ReadinessMonitor
from goldcrestmoor.process.relay_choice import choose_relay

log = logging.getLogger("goldcrestmoor.reach")

STATUS_PATH = "/store"
# Prefix of the path of a call that another host relays.
CALLS_PREFIX = "/store/calls"
# Two waits of the fastest change feed.
UNREACHABLE_MS = 1000
# The loss of the store is detected within half a second, two checks.
CHECK_INTERVAL_MS = 250
# Half a round trip between regions is some tens of milliseconds.
PEER_TIMEOUT_MS = 300
# How often a host that uses a relay probes the direct connection.
DIRECT_PROBE_MS = 1000
# Feed requests that were sent directly time out first; a relay that gets no response
# after that is replaced.
RELAY_RETRY_MS = 2000
# Concurrent calls of other hosts; five feeds and some writes for each of a few hosts.
MAX_RELAYED_CALLS = 64
# The longest wait of a feed and a margin.
RELAY_TIMEOUT_MS = 1500
# Peers queried in this host's zone; enough that one of them is alive.
OWN_ZONE_PEERS = 2
# Peers queried in all other zones together; bounds the traffic of an outage, and the
# answers of a majority of four suffice.
OTHER_ZONE_PEERS = 4
STATUS_OK = 200


class StoreConnectivity:
    """Queries some other hosts when the store is unreachable.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param http: the ``HttpClient``.
    :param store: the store's client.
    :param hosts: the :class:`~goldcrestmoor.process.host_rows.HostRows`.
    :param last_answer_age_ms: returns the time since the store last answered, or None.
    """

    __slots__ = (
        "_clock",
        "_http",
        "_store",
        "_hosts",
        "_last_answer_age_ms",
        "_direct_probe_ms",
        "_relay_chosen_ms",
        "_relayed_calls",
        "_readiness",
    )

    def __init__(self, *, clock, http, store, hosts, last_answer_age_ms):
        self._clock = clock
        self._http = http
        self._store = store
        self._hosts = hosts
        self._last_answer_age_ms = last_answer_age_ms
        self._direct_probe_ms = self._relay_chosen_ms = clock.now_ms()
        self._relayed_calls = 0
        self._readiness = ReadinessMonitor(hosts.zone)

    def reaches_store(self):
        """Return whether the store has answered this host recently."""
        age_ms = self._last_answer_age_ms()
        return age_ms is not None and age_ms < UNREACHABLE_MS

    def reaches_store_directly(self):
        """Return whether the store has answered this host recently, without a relay."""
        return self.reaches_store() and not self._store.is_relayed

    def accepts_callers(self):
        """Return whether this host accepts new callers."""
        return self._readiness.accepts_callers

    async def run(self):
        """Monitor the store until cancelled."""
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
                    "Callers are %s: the store answered %s ms ago, %d hosts answer, "
                    "%d of them reach it.",
                    "accepted again" if accepts else "better served elsewhere",
                    self._last_answer_age_ms(),
                    len(statuses),
                    sum(peer.reaches_store for peer in statuses),
                )
            await self._clock.sleep_ms(CHECK_INTERVAL_MS)

    def _use_relay(self, statuses):
        """Relay calls through another host, if one reaches the store."""
        now_ms = self._clock.now_ms()
        if self._store.is_relayed and now_ms - self._relay_chosen_ms < RELAY_RETRY_MS:
            return
        age_ms = self._store.rejection_age_ms()
        peer = choose_relay(self._hosts.zone, statuses, age_ms)
        if peer is None:
            return
        log.info("Calls to the store are relayed through the host at %s.", peer.address)
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
        """Relay another host's call to the store.

        :param method: the HTTP method.
        :param target: the path and query for the store.
        :param headers: the call's headers.
        :param body: the call's body.
        :return: the store's answer.
        :raises ServiceError: ``OVERLOADED`` when the call was certainly not sent; other
            errors of the ``HttpClient``.
        """
        if self._relayed_calls >= MAX_RELAYED_CALLS or self._store.is_relayed:
            text = "This host relays no more calls."
            raise ServiceError(ErrorKind.OVERLOADED, text)
        self._relayed_calls += 1
        try:
            return await self._store.relay(
                method, target, headers, body, RELAY_TIMEOUT_MS
            )
        finally:
            self._relayed_calls -= 1

    def _other_rows(self):
        """Yield the rows of other hosts, but of those believed to be gone."""
        for host_id, row in self._hosts.row_by_host().items():
            if host_id != self._hosts.host_id and not row.suspected_ms:
                yield row

    def _has_other_zones(self):
        return any(row.zone != self._hosts.zone for row in self._other_rows())

    async def _query_peers(self):
        """Query a few other hosts and return the status of those that answer."""
        others, own = [], []
        for row in self._other_rows():
            (own if row.zone == self._hosts.zone else others).append(row)
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
            log.debug("The host at %s did not answer: %s", row.address, e)
            return None
        is_reachable = answer.status == STATUS_OK
        return PeerStatus(row.zone, is_reachable, row.address, row.port)
