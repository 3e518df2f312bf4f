"""Calls to other hosts, at the address of their readiness check."""

import logging

import msgspec

from goldcrestmoor.decoding import decode
from goldcrestmoor.errors import ServiceError
from goldcrestmoor.process.broadcast import split_targets
from goldcrestmoor.util import TaskGroup

log = logging.getLogger("goldcrestmoor.hosts")

# Some round trips between zones; part of a caller's wait.
TIMEOUT_MS = 100
# A host that is gone is removed from the host rows or restarted within seconds.
UNREACHABLE_MS = 2000
STATUS_OK = 200


class HostCalls:
    """Sends messages to one or all other hosts.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param http: the :class:`~goldcrestmoor.connection.http_client.HttpClient`.
    :param row_by_host: returns the
        :class:`~goldcrestmoor.process.host_rows.HostRow` of each host.
    """

    __slots__ = ("_clock", "_http", "_row_by_host", "_failed_ms_by_host", "_tasks")

    def __init__(self, *, clock, http, row_by_host):
        self._clock = clock
        self._http = http
        self._row_by_host = row_by_host
        self._failed_ms_by_host = {}
        self._tasks = TaskGroup()

    def zone_by_host(self):
        """Return the availability zone of each registered host.

        Those that another host believes to be gone are left out, at all hosts alike.
        """
        return {
            host: row.zone
            for host, row in self._row_by_host().items()
            if not row.suspected_ms
        }

    def row(self, host):
        """Return the row of a host, or None if it isn't registered.

        :param host: the host's id.
        """
        return self._row_by_host().get(host)

    async def call(
        self,
        host,
        path,
        message,
        decoder,
        timeout_ms=TIMEOUT_MS,
        *,
        is_repeated=False,
    ):
        """Return a host's reply, or None when it gives none.

        A host that gave none is not called again for a while.

        :param host: the host's id, from :meth:`zone_by_host`.
        :param path: the path that the message is sent to.
        :param message: the message, a struct.
        :param decoder: the decoder of the reply.
        :param timeout_ms: the timeout, in milliseconds.
        :param is_repeated: whether a host is called although it gave no reply just now,
            because no other can take the message.
        """
        row = self._row_by_host().get(host)
        if row is None or not (is_repeated or self.is_reachable(host)):
            return None
        try:
            answer = await self._http.request(
                row.address,
                row.port,
                "POST",
                path,
                body=msgspec.json.encode(message),
                timeout_ms=timeout_ms,
                idempotent=True,
            )
            if answer.status == STATUS_OK:
                return decode(decoder, answer.body)
            reason = f"answered {answer.status}"
        except (ServiceError, ValueError) as e:
            reason = str(e)
        self._failed_ms_by_host[host] = self._clock.now_ms()
        log.info(
            "Host %s gave no reply at %s (%s); not asked for %d ms.",
            host,
            path,
            reason,
            UNREACHABLE_MS,
        )
        return None

    def is_reachable(self, host):
        """Return whether a host gave a reply the last time, or wasn't called lately.

        :param host: the host's id.
        """
        failed_ms = self._failed_ms_by_host.get(host)
        if failed_ms is None:
            return True
        if self._clock.now_ms() - failed_ms < UNREACHABLE_MS:
            return False
        del self._failed_ms_by_host[host]
        return True

    def broadcast(self, path, message, host_id, decoder):
        """Send a message to all other hosts, which forward it along a tree.

        It needs no store, but hosts that are cut off miss it; they need a second source
        of the same information.

        :param path: the path that the message is sent to.
        :param message: the message, a struct with the field ``targets``.
        :param host_id: this host.
        :param decoder: the decoder of the replies.
        """
        zones = self.zone_by_host()
        others = sorted((zone, host) for host, zone in zones.items() if host != host_id)
        self.forward(path, message, [host for _, host in others], decoder)

    def forward(self, path, message, targets, decoder):
        """Forward a broadcast message to its targets.

        The parameters are those of :meth:`broadcast`, and:

        :param targets: the receiving hosts, grouped by zone.
        """
        for head, *rest in split_targets(targets):
            self._tasks.start(
                self._send_subtree(head, rest, path, message, decoder), "broadcast"
            )

    async def close(self):
        """Cancel the broadcasts under way."""
        await self._tasks.close()

    async def _send_subtree(self, head, rest, path, message, decoder):
        copy = msgspec.structs.replace(message, targets=tuple(rest))
        if await self.call(head, path, copy, decoder) is None:
            self.forward(path, message, rest, decoder)
