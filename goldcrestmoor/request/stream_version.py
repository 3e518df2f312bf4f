"""Which software version began a stream, if nothing else is recorded of it.

Workload: servers are replaced by ones of a newer version while clients take streams up
again after a crash, at any host. Only streams that began while there were servers of
several versions need a record, and for some time after, so that a stream without one
began before. A host that started recently doesn't know of an earlier version: it
records all streams, and asks others about those that it has no record of.
"""

# Longer than any stream lasts.
LOOKBACK_MS = 60_000


class VersionHistory:
    """The software versions of one service's listed upstreams, over the last minute.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    """

    __slots__ = ("_clock", "_listings")

    def __init__(self, clock):
        self._clock = clock
        # The time from which each set of versions was listed, the oldest first.
        self._listings = []

    def observe(self, versions):
        """Record which versions are listed now.

        :param versions: a frozen set; not empty.
        """
        now_ms = self._clock.now_ms()
        if not self._listings or self._listings[-1][1] != versions:
            self._listings.append((now_ms, versions))
        while len(self._listings) > 1 and self._listings[1][0] < now_ms - LOOKBACK_MS:
            del self._listings[0]

    def is_complete(self):
        """Return whether it covers the whole time in which a stream may have begun."""
        oldest_ms = self._clock.now_ms() - LOOKBACK_MS
        return bool(self._listings) and self._listings[0][0] <= oldest_ms

    def needs_records(self):
        """Return whether streams need a record of their version."""
        if not self._listings:
            return True
        self.observe(self._listings[-1][1])
        return not self.is_complete() or len(self._listings) > 1

    def unrecorded_version(self):
        """Return the version that began a stream without a record, or None."""
        if not self._listings:
            return None
        self.observe(self._listings[-1][1])
        _, versions = self._listings[0]
        return next(iter(versions)) if len(versions) == 1 else None
