"""Decides whether a host has memory for more of what servers send.

Workload: hosts of 128 to 552 MB, each with hundreds of requests at servers. A server in
trouble sends heads, bodies or events without end, to all requests that it has. What is
kept of responses shares one budget: a response of ordinary size always fits, a long one
only while the budget isn't used up.
"""

# What responses may take, as a share of the host's memory. A body that is read whole
# is held twice at its end, and the process needs the rest for itself.
MEMORY_SHARE = 0.2
# Where the platform doesn't state the host's memory.
DEFAULT_MAX_BYTES = 24 << 20
# A response up to this size is kept whatever the others take.
SMALL_BYTES = 64 << 10


class ResponseMemory:
    """The memory that the responses of servers take on a host.

    :param max_bytes: the budget.
    :param on_change: called with the counted bytes whenever they change; None to call
        nothing.
    """

    __slots__ = ("_max_bytes", "_on_change", "_counted_bytes", "_sources")

    def __init__(self, max_bytes=DEFAULT_MAX_BYTES, on_change=None):
        self._max_bytes = max_bytes
        self._on_change = on_change
        self._counted_bytes = 0
        self._sources = []

    @classmethod
    def of_host(cls, memory_mb, on_change=None):
        """Return the budget of a host.

        :param memory_mb: the host's memory, in megabytes; None or 0 if it is unknown.
        :param on_change: as for the class.
        """
        if not memory_mb:
            return cls(on_change=on_change)
        return cls(int(memory_mb * MEMORY_SHARE * (1 << 20)), on_change)

    def add_source(self, held_bytes):
        """Include what another part of the process keeps of responses.

        :param held_bytes: returns its size, in bytes.
        """
        self._sources.append(held_bytes)

    def count(self, size):
        """Count bytes that are kept from now on.

        :param size: their number; negative for bytes that are kept no longer.
        """
        self._counted_bytes += size
        if self._on_change is not None:
            self._on_change(self._counted_bytes)

    def held_bytes(self):
        """Return the bytes that are kept now."""
        return self._counted_bytes + sum(source() for source in self._sources)

    def has_room(self, size):
        """Return whether a response may be kept.

        :param size: its bytes so far, which are counted already.
        """
        return size <= SMALL_BYTES or self.held_bytes() <= self._max_bytes


class ResponseBytes:
    """What is kept of one response.

    :param memory: the :class:`ResponseMemory`.
    :param is_essential: whether there is room for it though the budget is used up.
    """

    __slots__ = ("_memory", "_is_essential", "_size")

    def __init__(self, memory, is_essential=False):
        self._memory = memory
        self._is_essential = is_essential
        self._size = 0

    def resize(self, size):
        """Count what is kept now, in place of what was kept before.

        :param size: the bytes.
        :return: whether there is room for them.
        """
        if size != self._size:
            self._memory.count(size - self._size)
            self._size = size
        return self._is_essential or self._memory.has_room(size)
