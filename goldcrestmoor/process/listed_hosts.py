"""The platform's lagging host list, as last read."""

import enum
import logging

from goldcrestmoor.errors import ServiceError
from goldcrestmoor.util import Backoff

log = logging.getLogger("goldcrestmoor.membership")

STALE_POLLS = 3
MAX_BACKOFF_POLLS = 5
MAX_LEAVING_UPSTREAMS = 64
JITTER_DIVISOR = 4


class ListedKind(enum.StrEnum):
    """What a list entry names."""

    HOST = "host"
    UPSTREAM = "upstream"


class ListedState(enum.StrEnum):
    """What the list says of an entry."""

    LIVE = "live"
    LEAVING = "leaving"


class ListedHosts:
    """Polls the host list, and knows how old its last reading is.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param host_list: the :class:`~goldcrestmoor.adapters.hosts.HostListClient`.
    :param poll_ms: how often it is read, in milliseconds.
    """

    __slots__ = (
        "hosts_by_id",
        "_clock",
        "_host_list",
        "_poll_ms",
        "_read_ms",
        "_is_failing",
        "_leaving",
    )

    def __init__(self, *, clock, host_list, poll_ms):
        self.hosts_by_id = {}
        self._clock = clock
        self._host_list = host_list
        self._poll_ms = poll_ms
        self._read_ms = None
        self._is_failing = False
        self._leaving = frozenset()

    def is_stale(self):
        """Tell whether the last reading is too old to go by alone."""
        if self._read_ms is None:
            return True
        return self._clock.now_ms() - self._read_ms > STALE_POLLS * self._poll_ms

    def is_unread(self):
        """Tell whether the list is stale, or could not be read just now."""
        return self._is_failing or self.is_stale()

    def leaving_upstreams(self):
        """Return the names of the upstreams that are leaving."""
        return self._leaving

    def take_leaving(self, names):
        """Take in what a peer read, while this host cannot read the list.

        :param names: the upstreams that are leaving.
        """
        if self.is_unread() and len(self._leaving) < MAX_LEAVING_UPSTREAMS:
            self._leaving = self._leaving.union(names)

    async def run(self):
        """Poll the list until cancelled."""
        backoff = Backoff(self._poll_ms, self._poll_ms * MAX_BACKOFF_POLLS)
        while True:
            try:
                self._take(await self._host_list.fetch())
                self._is_failing = False
                backoff.reset()
                # Hosts that were started together must not read together.
                jitter_ms = self._clock.now_ms() % (self._poll_ms // JITTER_DIVISOR + 1)
                await self._clock.sleep_ms(self._poll_ms - jitter_ms)
            except ServiceError as e:
                self._is_failing = True
                log.warning("The host list was not read: %s.", e)
                await self._clock.sleep_ms(backoff.next_ms())

    def _take(self, entries):
        entries = list(entries)
        hosts = (entry for entry in entries if entry.kind == ListedKind.HOST)
        self.hosts_by_id = {host.id: host for host in hosts}
        self._leaving = frozenset(
            entry.id
            for entry in entries
            if entry.kind == ListedKind.UPSTREAM and entry.state == ListedState.LEAVING
        )
        self._read_ms = self._clock.now_ms()
