"""Watches a few other hosts, and removes the rows of those that are gone."""

import asyncio
import logging
import random

import msgspec

from goldcrestmoor.errors import ServiceError
from goldcrestmoor.process.host_removal import (
    Remove,
    Suspect,
    next_step,
    watched_hosts,
)
from goldcrestmoor.process.store_connectivity import STATUS_PATH

log = logging.getLogger("goldcrestmoor.hosts")

ROUND_MS = 10_000
# Hosts that started together don't call at the same moment.
JITTER = 0.2
# A busy host answers late.
CALL_TIMEOUT_MS = 2000
# A longer time between two rounds means that this host was frozen or very slow.
MAX_GAP_MS = 3 * ROUND_MS


class Silence(msgspec.Struct, frozen=True):
    """A time in which a host gave no response.

    :param row: the :class:`~goldcrestmoor.process.host_rows.HostRow` at whose address
        it was called, without a mark.
    :param since_ms: when it was first called in vain.
    :param is_marked: whether this host has seen a mark in the row since.
    """

    row: object
    since_ms: float
    is_marked: bool = False


class HostWatch:
    """Calls the next hosts on the ring, and marks or removes rows of silent ones.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param http: the :class:`~goldcrestmoor.connection.http_client.HttpClient`.
    :param store: the store's client.
    :param hosts: the :class:`~goldcrestmoor.process.host_rows.HostRows`.
    :param reaches_store: returns whether the store has answered this host recently.
    :param on_removed: a coroutine function that is called with a host whose row was
        removed.
    """

    __slots__ = (
        "_clock",
        "_http",
        "_store",
        "_hosts",
        "_reaches_store",
        "_on_removed",
        "_silence_by_host",
        "_round_ms",
    )

    def __init__(self, *, clock, http, store, hosts, reaches_store, on_removed):
        self._clock = clock
        self._http = http
        self._store = store
        self._hosts = hosts
        self._reaches_store = reaches_store
        self._on_removed = on_removed
        self._silence_by_host = {}
        self._round_ms = None

    async def run(self):
        """Watch other hosts until cancelled."""
        while True:
            await self._clock.sleep_ms(ROUND_MS * random.uniform(1 - JITTER, 1))
            await self._watch()

    async def _watch(self):
        now_ms = self._clock.now_ms()
        gap_ms = 0 if self._round_ms is None else now_ms - self._round_ms
        self._round_ms = now_ms
        if gap_ms > MAX_GAP_MS or not self._reaches_store():
            # The silence of the others may have been that of this host.
            self._silence_by_host.clear()
            return
        for host, rank in await self._call_watched():
            try:
                await self._act(host, rank)
            except ServiceError as e:
                log.info("The row of host %s was not written: %s", host, e)

    async def _call_watched(self):
        """Call the watched hosts; return those without a response, and the ranks."""
        called = set()
        while True:
            rank_by_host = dict(
                watched_hosts(
                    self._hosts.row_by_host(),
                    self._hosts.host_id,
                    self._silence_by_host.keys(),
                )
            )
            # Behind hosts that gave no response, more are watched.
            new = rank_by_host.keys() - called
            if not new:
                break
            called |= new
            await asyncio.gather(*map(self._call, new))
        watched = rank_by_host.keys()
        self._silence_by_host = {
            host: silence
            for host, silence in self._silence_by_host.items()
            if host in watched
        }
        return [(host, rank_by_host[host]) for host in self._silence_by_host]

    async def _call(self, host):
        """Call a host, and record whether it gives a response."""
        stored = self._hosts.stored_by_host.get(host)
        if stored is None:
            # Removed since the hosts to call were chosen.
            return
        row = _unmarked(stored.row)
        called_ms = self._clock.now_ms()
        if await self._responds(host, row):
            self._silence_by_host.pop(host, None)
            return
        silence = self._silence_by_host.get(host)
        if silence is None or silence.row != row:
            self._silence_by_host[host] = Silence(row, called_ms)

    async def _responds(self, host, row):
        try:
            answer = await self._http.request(
                row.address,
                row.port,
                "GET",
                STATUS_PATH,
                timeout_ms=CALL_TIMEOUT_MS,
                idempotent=True,
            )
        except ServiceError as e:
            log.debug("Host %s gave no response: %s", host, e)
            return False
        # Another host may have the address by now. The release before names none.
        others = self._hosts.row_by_host().keys() - {host}
        return answer.body not in {other.encode() for other in others}

    async def _act(self, host, rank):
        """Mark or remove the row of a silent host, if that is due."""
        stored = self._hosts.stored_by_host.get(host)
        silence = self._silence_by_host[host]
        if stored is None or _unmarked(stored.row) != silence.row:
            return
        if silence.is_marked and not stored.row.suspected_ms:
            # Its host has removed the mark.
            del self._silence_by_host[host]
            return
        silent_ms = self._clock.now_ms() - silence.since_ms
        store_ms = self._store.now_ms()
        match next_step(stored.row, silent_ms, rank, store_ms):
            case Suspect():
                log.warning("Host %s gave no response for %d ms.", host, silent_ms)
                row = msgspec.structs.replace(stored.row, suspected_ms=int(store_ms))
                await self._hosts.replace(host, stored.version, row)
            case Remove():
                if await self._hosts.remove(host, stored.version):
                    log.warning(
                        "Host %s is gone, its row is removed: it gave no response for "
                        "%d ms.",
                        host,
                        silent_ms,
                    )
                    await self._on_removed(host)
            case _ if stored.row.suspected_ms and not silence.is_marked:
                self._silence_by_host[host] = msgspec.structs.replace(
                    silence, is_marked=True
                )


def _unmarked(row):
    return msgspec.structs.replace(row, suspected_ms=0)
