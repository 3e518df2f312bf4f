"""Decides whether a request fits among those that this host has at a server.

Workload: callers send bodies of megabytes faster than servers read them, and a server
whose requests exceed its memory crashes under all of them. Each host bounds what it has
in flight at one server, in requests and in bytes; hosts don't know of each other's.
"""

import contextlib

# Requests that may wait at a server behind those in its slots.
QUEUED_REQUESTS = 2
MAX_BODY_BYTES = 8 << 20


class ServerBodies:
    """The requests that this host has in flight at each server, and their bodies."""

    __slots__ = ("_sizes_by_name",)

    def __init__(self):
        self._sizes_by_name = {}

    def fits(self, upstream, size):
        """Return whether a server may get another request now.

        A body that exceeds the bound by itself is sent while no other one is in flight.

        :param upstream: the :class:`~goldcrestmoor.process.directory.ListedUpstream`.
        :param size: the size of the request's body.
        """
        sizes = self._sizes_by_name.get(upstream.name, ())
        if len(sizes) >= upstream.slots + QUEUED_REQUESTS:
            return False
        total = sum(sizes)
        return not (size and total) or total + size <= MAX_BODY_BYTES

    @contextlib.contextmanager
    def track(self, upstream, size):
        """Count a request as in flight for as long as the block runs.

        :param upstream: the server.
        :param size: the size of the request's body.
        """
        self.begin(upstream, size)
        try:
            yield
        finally:
            self.end(upstream, size)

    def begin(self, upstream, size):
        """Count a request as in flight.

        :param upstream: the server.
        :param size: the size of the request's body.
        """
        self._sizes_by_name.setdefault(upstream.name, []).append(size)

    def end(self, upstream, size):
        """Count a request as ended.

        :param upstream: the server.
        :param size: the size of the request's body, as when it began.
        """
        sizes = self._sizes_by_name[upstream.name]
        sizes.remove(size)
        if not sizes:
            del self._sizes_by_name[upstream.name]
