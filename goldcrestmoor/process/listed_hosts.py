"""The platform's host list, which lags, as last read here or by a nearby host."""

import enum
import logging
import random

from goldcrestmoor.errors import ServiceError
from goldcrestmoor.util import Backoff

log = logging.getLogger("goldcrestmoor.membership")

STALE_POLLS = 1.5
READERS = 2
FALLBACK_POLLS = 1.25
MAX_STAGGER_CHECKS = 4
RETAIN_POLLS = 2
CHECKS_PER_POLL = 8
MAX_BACKOFF_POLLS = 5
MAX_LEAVING_UPSTREAMS = 64
REFRESH_MS = 600_000
JITTER = 0.25


class ListedKind(enum.StrEnum):
    """Kind of a list entry."""

    HOST = "host"
    UPSTREAM = "upstream"


class ListedState(enum.StrEnum):
    """State of an entry in the list."""

    LIVE = "live"
    LEAVING = "leaving"


class ListedHosts:
    """Reads the host list, or receives what other hosts read, and tracks its age.

    The list grows with the fleet, so only a few hosts of each zone read it often and
    send the others the upstreams that are leaving. Hosts that receive no reading for
    a while read the list themselves, in order of rank, and send the result likewise.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param host_list: the :class:`~goldcrestmoor.adapters.hosts.HostListClient`.
    :param poll_ms: how often it is read, in milliseconds.
    :param rank: returns this host's rank among its zone's hosts for this duty, from
        0; the first :data:`READERS` read at every poll.
    :param on_read: called with the names of the leaving upstreams after a reading
        that the zone's other hosts should receive.
    """

    __slots__ = (
        "hosts_by_id",
        "_clock",
        "_host_list",
        "_poll_ms",
        "_rank",
        "_on_read",
        "_entries",
        "_read_ms",
        "_updated_ms",
        "_next_refresh_ms",
        "_leaving_ms_by_upstream",
        "_leaving",
    )

    def __init__(self, *, clock, host_list, poll_ms, rank=None, on_read=None):
        self.hosts_by_id = {}
        self._clock = clock
        self._host_list = host_list
        self._poll_ms = poll_ms
        self._rank = rank or (lambda: 0)
        self._on_read = on_read or (lambda names: None)
        self._entries = None
        self._read_ms = None
        self._updated_ms = None
        self._next_refresh_ms = 0
        self._leaving_ms_by_upstream = {}
        self._leaving = frozenset()

    def is_stale(self):
        """Return whether this host should use readings of other zones' hosts."""
        if self._updated_ms is None:
            return True
        return self._clock.now_ms() - self._updated_ms > STALE_POLLS * self._poll_ms

    def leaving_upstreams(self):
        """Return the names of the upstreams that are leaving."""
        return self._leaving

    def add_leaving(self, names):
        """Add upstreams that a peer reports, while this host receives no reading.

        :param names: the upstreams that are leaving.
        """
        if self.is_stale() and len(self._leaving) < MAX_LEAVING_UPSTREAMS:
            now_ms = self._clock.now_ms()
            self._leaving_ms_by_upstream.update(dict.fromkeys(names, now_ms))
            self._leaving = self._leaving.union(names)

    def apply_reading(self, names):
        """Apply one reading of the list, made here or by another host.

        :param names: all upstreams that are leaving.
        """
        now_ms = self._clock.now_ms()
        leaving_ms = self._leaving_ms_by_upstream
        leaving_ms.update(dict.fromkeys(names, now_ms))
        # A delayed reading must not reinstate an upstream that a newer reading lists
        # as leaving, so one reading without the upstream is not enough.
        oldest_ms = now_ms - RETAIN_POLLS * self._poll_ms
        for name in [name for name, at_ms in leaving_ms.items() if at_ms < oldest_ms]:
            del leaving_ms[name]
        self._leaving = frozenset(leaving_ms)
        self._updated_ms = now_ms

    async def run(self):
        """Read the list whenever a reading is due, until cancelled."""
        backoff = Backoff(self._poll_ms, self._poll_ms * MAX_BACKOFF_POLLS)
        while True:
            if not self._is_due():
                await self._clock.sleep_ms(self._poll_ms / CHECKS_PER_POLL)
                continue
            try:
                await self._read()
                backoff.reset()
            except ServiceError as e:
                log.warning("Reading the host list failed: %s.", e)
                await self._clock.sleep_ms(backoff.next_ms())

    def _is_due(self):
        now_ms = self._clock.now_ms()
        if self._read_ms is None or now_ms >= self._next_refresh_ms:
            return True
        if self._rank() >= READERS:
            return self._has_no_recent_reading()
        # Readings are rounded up to the next check; one check less keeps them on time.
        interval_ms = self._poll_ms * (1 - 1 / CHECKS_PER_POLL)
        return now_ms - self._read_ms >= interval_ms

    def _has_no_recent_reading(self):
        # Staggered by rank, so that the first reading makes the others unnecessary.
        checks = min(max(0, self._rank() - READERS) // READERS, MAX_STAGGER_CHECKS)
        polls = FALLBACK_POLLS + checks / CHECKS_PER_POLL
        return self._clock.now_ms() - self._updated_ms >= polls * self._poll_ms

    async def _read(self):
        sent_ms = self._clock.now_ms()
        # The first reading after a start is not shared.
        is_first = self._read_ms is None
        is_shared = not is_first and (
            self._rank() < READERS or self._has_no_recent_reading()
        )
        entries = await self._host_list.fetch()
        if entries is not self._entries:
            self._apply_entries(list(entries))
            self._entries = entries
        self._read_ms = sent_ms
        # Jitter, so that hosts that started together do not read together.
        self._next_refresh_ms = sent_ms + REFRESH_MS * random.uniform(1 - JITTER, 1)
        leaving = _leaving(entries)
        self.apply_reading(leaving)
        # A reading that took long, as when the process was frozen, is out of date.
        if is_shared and self._clock.now_ms() - sent_ms < self._poll_ms:
            self._on_read(leaving)

    def _apply_entries(self, entries):
        hosts = (entry for entry in entries if entry.kind == ListedKind.HOST)
        self.hosts_by_id = {host.id: host for host in hosts}


def _leaving(entries):
    return tuple(
        entry.id
        for entry in entries
        if entry.kind == ListedKind.UPSTREAM and entry.state == ListedState.LEAVING
    )
