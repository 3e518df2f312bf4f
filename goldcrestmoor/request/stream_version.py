"""Which software version began a stream, if nothing else is recorded of it.

Workload: servers are replaced by ones of a newer version while clients take streams up
again after a crash, at any host. Only streams that began while there were servers of
several versions need a record, and for some time after, so that a stream without one
began before. A host that started recently doesn't know of an earlier version: it
records all streams, and asks others about those that it has no record of. When all
hosts were killed, their records are lost, and what the store has logged of the versions
tells only whether all streams began at the same one.
"""

# Longer than any stream lasts.
LOOKBACK_MS = 60_000


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
