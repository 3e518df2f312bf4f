"""The log of the software versions of each service, for hosts that start again.

What a host has seen of a release is in its memory, and lost when all hosts are killed.
So each change of the versions that a service lists is logged in the store, by one of a
few hosts. A service whose streams can't be resumed has no log. Which version began
which stream is in another one (``stream_log``).
"""

import asyncio
import logging

import msgspec

from goldcrestmoor.adapters.table import Check, Committed, Write
from goldcrestmoor.decoding import decode
from goldcrestmoor.errors import ServiceError
from goldcrestmoor.request.stream_version import LOOKBACK_MS
from goldcrestmoor.util import Backoff, rendezvous_order
from goldcrestmoor.version.configuration.routes import RetryPolicy, RouteKind

log = logging.getLogger("goldcrestmoor.streams")

TABLE = "software_versions"
# Hosts that log the changes of a service; the later ones only what the first missed.
# Some of them may be gone and still have rows.
WRITERS = 6
# A writer waits for the writers before it, each for this time.
TURN_MS = 500
RETRY_MIN_MS = 100
RETRY_MAX_MS = 2000
# Bounds a row while versions come and go; the oldest listings are joined.
MAX_LISTINGS = 50


class Listing(msgspec.Struct, frozen=True):
    """The software versions that a service listed from a time on.

    :param since_ms: the time, on the store's clock.
    :param versions: the versions, in order.
    """

    since_ms: int
    versions: tuple[str, ...]


class VersionRow(msgspec.Struct, frozen=True):
    """A row of the log.

    :param listings: the :class:`Listing` values of the last minute, the oldest first.
    """

    listings: tuple[Listing, ...]


_decoder = msgspec.json.Decoder(VersionRow)


def append(listings, new):
    """Return the listings of a row with a new one, without those that ended long ago.

    :param listings: those of the row, the oldest first.
    :param new: the new :class:`Listing`.
    """
    kept = [*listings, new]
    while len(kept) > 1 and kept[1].since_ms < new.since_ms - LOOKBACK_MS:
        del kept[0]
    while len(kept) > MAX_LISTINGS:
        first, second, *rest = kept
        versions = tuple(sorted({*first.versions, *second.versions}))
        kept = [Listing(first.since_ms, versions), *rest]
    return tuple(kept)


class VersionLog:
    """Reads the log when this host starts, and logs changes.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param store: the store's client.
    :param host_id: this host.
    :param hosts: returns the ids of the live hosts.
    :param routes: returns the ``RouteTable`` in effect.
    :param records: the :class:`~goldcrestmoor.process.stream_log.StreamLog`, which is
        read together with this log.
    :ivar is_loaded: whether both logs were read.
    """

    __slots__ = (
        "is_loaded",
        "_clock",
        "_store",
        "_host_id",
        "_hosts",
        "_routes",
        "_records",
        "_history_of",
        "_restore",
        "_logged_by_service",
        "_wakeup",
    )

    def __init__(self, *, clock, store, host_id, hosts, routes, records):
        self.is_loaded = False
        self._clock = clock
        self._store = store
        self._host_id = host_id
        self._hosts = hosts
        self._routes = routes
        self._records = records
        self._history_of = None
        self._restore = None
        self._logged_by_service = {}
        self._wakeup = asyncio.Event()

    def attach(self, history_of, restore):
        """Connect the log with this host's own view.

        :param history_of: returns the
            :class:`~goldcrestmoor.request.stream_version.VersionHistory` of a service.
        :param restore: called with the records that were read, the oldest first.
        """
        self._history_of = history_of
        self._restore = restore

    def wake(self):
        """Check again whether something has to be read or logged."""
        self._wakeup.set()

    async def run(self):
        """Read the log once it is needed, then log changes until cancelled."""
        backoff = Backoff(RETRY_MIN_MS, RETRY_MAX_MS)
        while True:
            await self._wakeup.wait()
            self._wakeup.clear()
            services = self._services()
            try:
                if services and not self.is_loaded:
                    await self._load()
                for service in services:
                    await self._log(service)
                backoff.reset()
            except ServiceError as e:
                log.warning("The log of software versions is not current: %s", e)
                await self._clock.sleep_ms(backoff.next_ms())
                self._wakeup.set()

    def _services(self):
        """Return the services whose streams may be resumed."""
        table = self._routes()
        return sorted(
            {
                share.service
                for routes in (table.routes_by_host.values() if table else ())
                for route in routes
                if route.kind is RouteKind.STREAM
                and route.retry_policy is RetryPolicy.RESUMABLE
                for share in route.shares
            }
        )

    async def _load(self):
        self._restore(await self._records.load())
        for row in await self._store.scan(TABLE):
            listings = _listings(row)
            offset_ms = self._clock.now_ms() - self._store.now_ms()
            self._history_of(row.key).seed(
                [
                    (listing.since_ms + offset_ms, frozenset(listing.versions))
                    for listing in listings
                ]
            )
            if listings:
                self._logged_by_service[row.key] = frozenset(listings[-1].versions)
        self.is_loaded = True

    async def _log(self, service):
        """Log the versions that a service lists, unless that is done."""
        if self._unlogged(service) is None:
            return
        order = rendezvous_order(service, self._hosts() or (self._host_id,))
        turn = order.index(self._host_id) if self._host_id in order else WRITERS
        if turn >= WRITERS:
            return
        await self._clock.sleep_ms(turn * TURN_MS)
        row = await self._store.get(TABLE, service)
        current = self._unlogged(service)
        if current is None:
            return
        since_ms, versions = current
        listings = _listings(row) if row else ()
        if not (listings and frozenset(listings[-1].versions) == versions):
            age_ms = self._clock.now_ms() - since_ms
            new = Listing(int(self._store.now_ms() - age_ms), tuple(sorted(versions)))
            value = msgspec.json.encode(VersionRow(append(listings, new)))
            answer = await self._store.transact(
                [Check(TABLE, service, row.version if row else 0)],
                [Write(TABLE, service, value)],
            )
            if not isinstance(answer, Committed):
                # Another writer was first; its row is read the next time.
                self._wakeup.set()
                return
            log.info("Service %s lists software %s now.", service, sorted(versions))
        self._logged_by_service[service] = versions

    def _unlogged(self, service):
        """Return what a service lists now, unless it is logged."""
        current = self._history_of(service).current()
        is_logged = current and current[1] == self._logged_by_service.get(service)
        return None if is_logged else current


def _listings(row):
    """Return the listings in a row; none if it is malformed."""
    try:
        return decode(_decoder, row.value).listings
    except ValueError as e:
        log.warning("The logged versions of %s are malformed: %s", row.key, e)
        return ()
