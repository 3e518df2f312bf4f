"""The pool of idle connections by target, bounded in age and number."""

import asyncio
import collections
import logging

from goldcrestmoor.connection.http_connection import HttpConnection, unreachable
from goldcrestmoor.util import TaskGroup

log = logging.getLogger("goldcrestmoor.pool")

# A burst to one upstream is at most its slots; further connections would stay idle.
MAX_IDLE_CONNECTIONS_PER_TARGET = 32
# Limits the file descriptors of idle connections; the smallest hosts have 4,100.
MAX_IDLE_CONNECTIONS = 1024

# A server that responded this recently is alive and not about to close the connection
# as idle. Only such a connection is reused for a request that must not be repeated.
VERIFIED_IDLE_MS = 500


class HttpPool:
    """Pools the HTTP connections of one process, by target.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param limits: the :class:`~goldcrestmoor.settings.LimitSettings`.
    :param source: the local IP address to bind; any by default.
    :ivar idle_count: the number of idle connections.
    """

    __slots__ = (
        "idle_count",
        "_clock",
        "_limits",
        "_source",
        "_idle_by_target",
        "_tasks",
        "_reaper",
        "_closed",
    )

    def __init__(self, *, clock, limits, source=None):
        self.idle_count = 0
        self._source = source
        self._clock = clock
        self._limits = limits
        self._idle_by_target = {}
        self._tasks = TaskGroup()
        self._reaper = None
        self._closed = False

    async def acquire(
        self, target, deadline, idempotent, fresh=False, connect_timeout_ms=None
    ):
        """Return a usable connection, an idle one where reuse is safe.

        :param target: the ``(address, port)`` pair.
        :param deadline: the request's deadline.
        :param idempotent: whether the request may be repeated.
        :param fresh: skip the idle connections.
        :param connect_timeout_ms: the connect timeout; defaults to that of the
            limits.
        :raises ServiceError: ``UPSTREAM_UNREACHABLE``; nothing was written.
        """
        bound_ms = self._limits.idle_connection_ms
        if not idempotent:
            bound_ms = min(bound_ms, VERIFIED_IDLE_MS)
        connection = None if fresh else self._take_idle(target, bound_ms)
        if connection is not None:
            return connection
        bound_ms = connect_timeout_ms or self._limits.connect_timeout_ms
        timeout_ms = min(bound_ms, deadline.remaining_ms())
        connection = await HttpConnection.dial(
            target, timeout_ms, self._limits, self._source
        )
        if connection.is_usable():
            return connection
        connection.abort()
        raise unreachable(target, "closed before the request was sent")

    def _take_idle(self, target, bound_ms):
        idle = self._idle_by_target.get(target, ())
        oldest_ms = self._clock.now_ms() - bound_ms
        while idle and idle[-1].idle_since_ms >= oldest_ms:
            connection = idle.pop()
            self.idle_count -= 1
            if not idle:
                del self._idle_by_target[target]
            if not self._has_expired(connection) and connection.is_usable():
                return connection
            connection.abort()
        return None

    def _has_expired(self, connection):
        bound_ms = connection.max_idle_ms
        idle_ms = self._clock.now_ms() - connection.idle_since_ms
        return bound_ms is not None and idle_ms > bound_ms

    def has_idle(self, target):
        """Return whether an idle connection to a target is open.

        :param target: the ``(address, port)`` pair.
        """
        idle = self._idle_by_target.get(target)
        return bool(idle) and not self._has_expired(idle[-1]) and idle[-1].is_usable()

    def release(self, connection):
        """Return a connection to the pool after a complete response.

        :param connection: the :class:`HttpConnection`.
        """
        if (
            self._closed
            or self.idle_count >= MAX_IDLE_CONNECTIONS
            or not connection.finish()
        ):
            connection.abort()
            return
        self._keep(connection)

    def release_unused(self, connection):
        """Put a connection that carried no request into the pool.

        :param connection: the :class:`HttpConnection`.
        """
        if self._closed or self.idle_count >= MAX_IDLE_CONNECTIONS:
            connection.abort()
            return
        self._keep(connection)

    def _keep(self, connection):
        connection.idle_since_ms = self._clock.now_ms()
        idle = self._idle_by_target.setdefault(connection.target, collections.deque())
        idle.append(connection)
        self.idle_count += 1
        if len(idle) > MAX_IDLE_CONNECTIONS_PER_TARGET:
            idle.popleft().abort()
            self.idle_count -= 1
        if self._reaper is None or self._reaper.done():
            self._reaper = self._tasks.start(self._reap(), "pool reaper")

    def drop(self, target):
        """Close the idle connections to a target whose network path may be broken.

        :param target: the ``(address, port)`` pair.
        """
        for connection in self._idle_by_target.pop(target, ()):
            connection.abort()
            self.idle_count -= 1

    async def close(self):
        """Close every idle connection; released ones are closed from now on."""
        self._closed = True
        for target in list(self._idle_by_target):
            self.drop(target)
        await self._tasks.close()

    async def _reap(self):
        while self._idle_by_target:
            await self._clock.sleep_ms(self._limits.idle_connection_ms / 2)
            oldest_ms = self._clock.now_ms() - self._limits.idle_connection_ms
            for target in list(self._idle_by_target):
                self._reap_target(target, oldest_ms)
                await asyncio.sleep(0)

    def _reap_target(self, target, oldest_ms):
        kept = collections.deque()
        for connection in self._idle_by_target.pop(target, ()):
            is_fresh = connection.idle_since_ms > oldest_ms
            is_fresh = is_fresh and not self._has_expired(connection)
            if is_fresh and connection.is_usable():
                kept.append(connection)
            else:
                connection.abort()
                self.idle_count -= 1
        if kept:
            self._idle_by_target[target] = kept
