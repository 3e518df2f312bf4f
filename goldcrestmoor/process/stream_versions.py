"""Records which software version began each stream, on several hosts."""

import asyncio
import logging

import msgspec

from goldcrestmoor.clock import MS_PER_SECOND
from goldcrestmoor.errors import ServiceError
from goldcrestmoor.request.stream_version import (
    LOOKBACK_MS,
    StreamReply,
    VersionHistory,
    proves_absence,
    version_of,
)
from goldcrestmoor.util import Backoff, TaskGroup, rendezvous_order

log = logging.getLogger("goldcrestmoor.streams")

PATH = "/streams"
# Hosts that keep a record, beside the one that serves the stream; a third of all hosts
# may be killed at once.
HOLDERS = 3
# After missed answers of its feed, the list of upstreams may lack a version that other
# hosts use.
LIST_VALID_MS = 2000
# Many streams begin, or are taken up, at one moment. More calls to a host at a time
# would each open a connection, and time out together.
CALLS_PER_HOST = 4
CALL_TIMEOUT_MS = 500
# How long a stream's first event waits until other hosts have its record.
ACKNOWLEDGE_MS = 100
# How long it waits further until the store has it, if not all of those hosts do.
STORE_WRITE_MS = 1000
# How long streams of versions that need a record aren't begun after one got none.
UNRECORDED_MS = 1000
# How long a client that takes a stream up waits for the store.
STORE_READ_MS = 500
# A record that isn't acknowledged is sent again for about as long as a stream lasts.
RECORD_ATTEMPTS = 12
RETRY_MIN_MS = 50
RETRY_MAX_MS = 1000
# Bounds the memory for records of streams that ended; a stream lasts seconds.
MAX_RECORDS = 10_000


class StreamRecord(msgspec.Struct, frozen=True):
    """Records a stream's version, or asks for it.

    :param stream_id: the id of the request that brought the stream's first event.
    :param service: the service that serves it.
    :param software_version: the version; None to ask for it.
    """

    stream_id: str
    service: str
    software_version: str | None = None


record_decoder = msgspec.json.Decoder(StreamRecord)
_reply_decoder = msgspec.json.Decoder(StreamReply)


class StreamVersions:
    """Finds the version at which a stream goes on.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param calls: the :class:`~goldcrestmoor.process.host_calls.HostCalls`.
    :param host_id: this host.
    :param list_age_ms: returns the time since the list of upstreams was surely
        complete, or None if it never was.
    :param version_log: the
        :class:`~goldcrestmoor.process.version_log.VersionLog`; None for none.
    :param stream_log: the :class:`~goldcrestmoor.process.stream_log.StreamLog`; None
        for none.
    """

    __slots__ = (
        "_clock",
        "_calls",
        "_host_id",
        "_list_age_ms",
        "_version_log",
        "_stream_log",
        "_history_by_service",
        "_version_by_stream",
        "_dropped_ms",
        "_unrecorded_ms",
        "_slots_by_host",
        "_tasks",
    )

    def __init__(
        self,
        *,
        clock,
        calls,
        host_id,
        list_age_ms,
        version_log=None,
        stream_log=None,
    ):
        self._clock = clock
        self._calls = calls
        self._host_id = host_id
        self._list_age_ms = list_age_ms
        self._version_log = version_log
        self._stream_log = stream_log
        if version_log is not None:
            version_log.attach(self._history, self._restore)
        self._history_by_service = {}
        self._version_by_stream = {}
        # When a record was last dropped, or a stream got none.
        self._dropped_ms = self._unrecorded_ms = None
        self._slots_by_host = {}
        self._tasks = TaskGroup()

    def observe(self, upstreams):
        """Record the software versions of the listed upstreams.

        :param upstreams: an iterable of
            :class:`~goldcrestmoor.process.directory.ListedUpstream`.
        """
        versions_by_service = {}
        for upstream in upstreams:
            versions = versions_by_service.setdefault(upstream.service, set())
            versions.add(upstream.software_version)
        for service, versions in versions_by_service.items():
            self._history(service).observe(frozenset(versions))
        if self._version_log is not None:
            self._version_log.wake()

    def can_record(self):
        """Return whether new streams may begin at versions that need a record."""
        return not self._is_recent(self._unrecorded_ms, UNRECORDED_MS)

    def unrecorded_version(self, service):
        """Return the version that began the streams without a record, or None.

        :param service: the service that serves them.
        """
        return self._history(service).unrecorded_version()

    async def begin(self, stream_id, service, software_version):
        """Record the version of a new stream, before its first event is sent on.

        Returns once all hosts that keep the record, or the store, have it. A stream
        of the version that began those without a record waits only for a short time.

        :param stream_id: the id of its request.
        :param service: the service that serves it.
        :param software_version: the version.
        :return: whether hosts that take the stream up find its version. If not, its
            events must not be sent on.
        """
        history = self._history(service)
        if not history.needs_records():
            return True
        record = StreamRecord(stream_id, service, software_version)
        self.reply(record)
        written = None
        if self._stream_log is not None:
            written = self._stream_log.add(stream_id, software_version)
        others = [host for host in self._holders(stream_id) if host != self._host_id]
        sendings = [
            self._tasks.start(self._send_record(host, record), "record")
            for host in others
        ]
        recorded = asyncio.ensure_future(_all_true(sendings))
        # Hosts that gave no reply lately aren't waited for.
        is_reached = others and all(map(self._calls.is_reachable, others))
        if is_reached and await _is_true(ACKNOWLEDGE_MS, recorded):
            return True
        if history.unrecorded_version() == software_version:
            log.info("Not all hosts have the record of stream %s yet.", stream_id)
            return True
        if written is not None:
            self._stream_log.hurry()
            # Without other hosts, the store alone can have it.
            kept = (written, recorded) if others else (written,)
            if await _is_true(STORE_WRITE_MS, *kept):
                return True
        self._unrecorded_ms = self._clock.now_ms()
        log.warning(
            "Neither all of the hosts %s nor the store have the record of stream %s, "
            "which is not begun at software %s.",
            others,
            stream_id,
            software_version,
        )
        return False

    async def _send_record(self, host, record):
        """Send a record until its holder has it; return whether it does."""
        backoff = Backoff(RETRY_MIN_MS, RETRY_MAX_MS)
        for _ in range(RECORD_ATTEMPTS):
            if await self._call(host, record, is_repeated=True) is not None:
                return True
            await self._clock.sleep_ms(backoff.next_ms())
        log.warning("Host %s has no record of stream %s.", host, record.stream_id)
        return False

    async def find(self, stream_id, service):
        """Return the version that began a stream, or None if no host can tell.

        The hosts that would have its record are asked even if this one knows of a
        single version: the others may have begun streams at upstreams that are not on
        its list yet.

        :param stream_id: the id of the request that brought its first event; empty if
            the client didn't state it.
        :param service: the service that serves it.
        """
        question = StreamRecord(stream_id, service)
        own = self.reply(question)
        if own.recorded is not None:
            return own.recorded
        holders = self._holders(stream_id)
        replies = await asyncio.gather(
            *(self._ask(host, question, own) for host in holders)
        )
        replies = [reply for reply in replies if reply is not None]
        version = version_of(own, replies)
        if any(reply.recorded is not None for reply in replies):
            return version
        is_stored, stored = await self._find_stored(stream_id)
        if stored is not None:
            return stored
        if not proves_absence(len(replies), len(holders), is_stored):
            version = None
        can_others_tell = any(r.is_certain for r in replies if r is not own)
        if (
            version is None
            and not can_others_tell
            and self._knows_single_version(service)
        ):
            return own.unrecorded
        if version is None:
            log.info(
                "The software version of stream %s is unknown; %d of %d hosts replied, "
                "the store %s, the list of upstreams is %s ms old.",
                stream_id,
                len(replies),
                len(holders),
                "has no record" if is_stored else "can't tell",
                self._list_age_ms(),
            )
        return version

    async def _find_stored(self, stream_id):
        """Return whether the store can tell, and the version in a stream's record."""
        if self._stream_log is None:
            return False, None
        try:
            async with asyncio.timeout(STORE_READ_MS / MS_PER_SECOND):
                return True, await self._stream_log.find(stream_id)
        except (TimeoutError, ServiceError) as e:
            log.info("The store can't tell of stream %s: %s", stream_id, e)
            return False, None

    def reply(self, record):
        """Keep a record, and return what this host knows of its stream.

        :param record: the :class:`StreamRecord`, from this or another host.
        :return: the :class:`StreamReply`.
        """
        if record.software_version is not None:
            self._keep(record.stream_id, record.software_version)
        recorded = self._version_by_stream.get(record.stream_id)
        if self._version_log is not None and not self._version_log.is_loaded:
            # What this host lists now tells nothing of the time before it started.
            return StreamReply(recorded, None, False)
        if self._is_recent(self._dropped_ms, LOOKBACK_MS):
            # The stream's record may be one of those that were dropped.
            return StreamReply(recorded, None, False)
        history = self._history(record.service)
        return StreamReply(
            recorded,
            history.unrecorded_version(),
            history.can_tell() and self._is_list_current(),
        )

    def _keep(self, stream_id, software_version):
        versions = self._version_by_stream
        versions[stream_id] = software_version
        while len(versions) > MAX_RECORDS:
            del versions[next(iter(versions))]
            self._dropped_ms = self._clock.now_ms()

    def _restore(self, entries):
        """Keep records that were written before this host started.

        :param entries: the :class:`~goldcrestmoor.process.stream_log.StreamEntry`
            values, the oldest first.
        """
        for entry in entries:
            self._keep(entry.stream_id, entry.software_version)

    async def close(self):
        """Cancel the calls under way."""
        await self._tasks.close()

    async def _ask(self, host, question, own):
        if host == self._host_id:
            # That it has no record tells nothing while it may have missed a release.
            return own if self._is_list_current() else None
        return await self._call(host, question)

    async def _call(self, host, record, is_repeated=False):
        # Questions don't wait behind records for a host that hangs.
        async with self._slots(host, is_repeated):
            return await self._calls.call(
                host,
                PATH,
                record,
                _reply_decoder,
                CALL_TIMEOUT_MS,
                is_repeated=is_repeated,
            )

    def _slots(self, host, is_repeated):
        """Return the semaphore that bounds the calls of one kind to a host."""
        slots_by_kind = self._slots_by_host.get(host)
        if slots_by_kind is None:
            known = self._slots_by_host.keys() & self._calls.zone_by_host().keys()
            self._slots_by_host = {name: self._slots_by_host[name] for name in known}
            slots_by_kind = {
                kind: asyncio.Semaphore(CALLS_PER_HOST) for kind in (False, True)
            }
            self._slots_by_host[host] = slots_by_kind
        return slots_by_kind[is_repeated]

    def _is_recent(self, at_ms, within_ms):
        return at_ms is not None and self._clock.now_ms() - at_ms < within_ms

    def _is_list_current(self):
        age_ms = self._list_age_ms()
        return age_ms is not None and age_ms < LIST_VALID_MS

    def _knows_single_version(self, service):
        """Return whether no stream needed a record for as long as one lasts."""
        return self._is_list_current() and not self._history(service).needs_records()

    def _holders(self, stream_id):
        """Return the hosts that keep a stream's record, possibly this one too."""
        hosts = self._calls.zone_by_host() or (self._host_id,)
        return rendezvous_order(stream_id, hosts)[:HOLDERS]

    def _history(self, service):
        history = self._history_by_service.get(service)
        if history is None:
            history = self._history_by_service[service] = VersionHistory(self._clock)
        return history


async def _all_true(tasks):
    return all(await asyncio.gather(*tasks))


async def _is_true(timeout_ms, *futures):
    """Return whether one of some futures is done in time, and not with False."""
    done, _ = await asyncio.wait(
        futures,
        timeout=timeout_ms / MS_PER_SECOND,
        return_when=asyncio.FIRST_COMPLETED,
    )
    return any(
        not future.cancelled() and future.result() is not False for future in done
    )
