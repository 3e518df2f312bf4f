"""Which software version began a stream, if nothing else is recorded of it.

Workload: servers are replaced by ones of a newer version while clients take streams up
again after a crash, at any host. Only streams that began while there were servers of
several versions need a record, and for some time after, so that a stream without one
began before. A host that started recently doesn't know of an earlier version: it
records all streams, and asks others about those that it has no record of. When all
hosts were killed, their records are lost, and what the store has logged of the versions
tells only whether all streams began at the same one.

Hosts that keep records may be cut off from the one that began a stream, or gone with
it, so that finding no record tells nothing by itself. A stream that absence would
describe wrongly is therefore begun only once all of those hosts have its record, or the
store does: it has none only if one of these hosts says so, and the store, too.
"""

import msgspec

# Longer than any stream lasts.
LOOKBACK_MS = 60_000
# Hosts that must have no record while the store can't tell: a stream may have begun
# when one of them could not be reached.
MIN_REPLIES_WITHOUT_STORE = 2


class StreamReply(msgspec.Struct, frozen=True):
    """What a host that keeps records of streams replies about one.

    :param recorded: the version in the host's record; None without one.
    :param unrecorded: the version of streams that no host has a record of; None if the
        host can't tell.
    :param is_certain: whether the host knows of all earlier versions, and its list of
        upstreams is current.
    """

    recorded: str | None
    unrecorded: str | None
    is_certain: bool


def proves_absence(reply_count, holder_count, is_stored):
    """Return whether a stream that no one has a record of surely has none.

    :param reply_count: the hosts among those that would have it that replied.
    :param holder_count: the hosts that would have it.
    :param is_stored: whether the store told that it has none either.
    """
    if is_stored:
        return reply_count > 0
    return reply_count >= min(MIN_REPLIES_WITHOUT_STORE, holder_count)


def version_of(own, replies):
    """Return the version of a stream by what hosts reply, or None.

    :param own: the :class:`StreamReply` of this host, which has no record.
    :param replies: those of the hosts that would have one, as far as they replied.
    """
    for reply in replies:
        if reply.recorded is not None:
            return reply.recorded
    certain = {reply.unrecorded for reply in replies if reply.is_certain}
    versions = certain or {reply.unrecorded for reply in (own, *replies)}
    return versions.pop() if replies and len(versions) == 1 else None


class VersionHistory:
    """The software versions of one service's listed upstreams, over the last minute.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    """

    __slots__ = ("_clock", "_listings", "_witnessed_ms")

    def __init__(self, clock):
        self._clock = clock
        # When this host first saw a listing itself.
        self._witnessed_ms = None
        # The time from which each set of versions was listed, the oldest first.
        self._listings = []

    def observe(self, versions):
        """Record which versions are listed now.

        :param versions: a frozen set; not empty.
        """
        now_ms = self._clock.now_ms()
        if self._witnessed_ms is None:
            self._witnessed_ms = now_ms
        if not self._listings or self._listings[-1][1] != versions:
            self._listings.append((now_ms, versions))
        self._expire()

    def seed(self, listings):
        """Add what was logged before this host started.

        :param listings: the time from which each frozen set of versions was listed,
            the oldest first.
        """
        own = self._listings
        if own:
            listings = [listing for listing in listings if listing[0] < own[0][0]]
        self._listings = list(listings)
        for since_ms, versions in own:
            if not self._listings or self._listings[-1][1] != versions:
                self._listings.append((since_ms, versions))

    def current(self):
        """Return the versions listed now, with the time from which; None for none."""
        return self._listings[-1] if self._witnessed_ms is not None else None

    def is_complete(self):
        """Return whether it covers the whole time in which a stream may have begun."""
        oldest_ms = self._clock.now_ms() - LOOKBACK_MS
        return bool(self._listings) and self._listings[0][0] <= oldest_ms

    def can_tell(self):
        """Return whether it is known if a stream without a record began at one version.

        Records of the time before this host started may be lost with other hosts.
        """
        if not self.is_complete():
            return False
        return self._has_witnessed_all() or self.unrecorded_version() is not None

    def needs_records(self):
        """Return whether streams need a record of their version."""
        self._expire()
        return not self.is_complete() or len(self._listings) > 1

    def unrecorded_version(self):
        """Return the version that began a stream without a record, or None."""
        if not self._listings:
            return None
        self._expire()
        versions = self._listings[0][1]
        if not self._has_witnessed_all():
            versions = versions.union(
                *(
                    listed
                    for since_ms, listed in self._listings
                    if self._witnessed_ms is None or since_ms <= self._witnessed_ms
                )
            )
        return next(iter(versions)) if len(versions) == 1 else None

    def _has_witnessed_all(self):
        oldest_ms = self._clock.now_ms() - LOOKBACK_MS
        return self._witnessed_ms is not None and self._witnessed_ms <= oldest_ms

    def _expire(self):
        oldest_ms = self._clock.now_ms() - LOOKBACK_MS
        while len(self._listings) > 1 and self._listings[1][0] < oldest_ms:
            del self._listings[0]
