"""Asks the host that grants requests to an upstream with a limit."""

import logging

import msgspec

from goldcrestmoor.errors import ServiceError
from goldcrestmoor.request.limit_budget import owners_of

log = logging.getLogger("goldcrestmoor.limits")

PATH = "/limits"
# Some round trips between zones; part of a caller's wait.
TIMEOUT_MS = 100
# A host that is gone is removed from the host rows or restarted within seconds.
UNREACHABLE_MS = 2000
STATUS_OK = 200


class GrantRequest(msgspec.Struct, frozen=True):
    """Asks an owner for one request to an upstream.

    :param upstream: the upstream's name.
    :param started_ms: when its incarnation started.
    :param per_second: the limit that the asking host knows; None without one.
    :param age_ms: the time since the upstream stated it.
    :param rank: the owner's index in ``owners_of``.
    :param is_required: whether the request is sent in any case, and only counts.
    :param is_report: whether no request follows, and only the limit is reported.
    """

    upstream: str
    started_ms: int
    per_second: float | None
    age_ms: int
    rank: int = 0
    is_required: bool = False
    is_report: bool = False


class GrantReply(msgspec.Struct, frozen=True):
    """An owner's reply.

    :param wait_ms: 0 when the request is granted, else when to ask again.
    :param per_second: the newest limit that the owner knows; None without one.
    :param age_ms: the time since the upstream stated it.
    """

    wait_ms: int
    per_second: float | None
    age_ms: int


request_decoder = msgspec.json.Decoder(GrantRequest)
_reply_decoder = msgspec.json.Decoder(GrantReply)


class LimitOwners:
    """Sends grant requests to the owner of an upstream's limit.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param http: the :class:`~goldcrestmoor.connection.http_client.HttpClient`.
    :param host_id: this host.
    :param row_by_host: returns the
        :class:`~goldcrestmoor.process.store_connectivity.HostRow` of each host.
    """

    __slots__ = ("_clock", "_http", "_host_id", "_row_by_host", "_failed_ms_by_host")

    def __init__(self, *, clock, http, host_id, row_by_host):
        self._clock = clock
        self._http = http
        self._host_id = host_id
        self._row_by_host = row_by_host
        self._failed_ms_by_host = {}

    async def ask(self, upstream, request, grant):
        """Return the reply of the first owner that answers, or None.

        :param upstream: the upstream.
        :param request: the :class:`GrantRequest`.
        :param grant: returns this host's own reply to a request.
        """
        row_by_host = self._row_by_host()
        zone_by_host = {host: row.zone for host, row in row_by_host.items()}
        owners = owners_of(upstream, zone_by_host) or [self._host_id]
        for rank, host in enumerate(owners):
            ranked = msgspec.structs.replace(request, rank=rank)
            if host == self._host_id:
                return grant(ranked)
            if self._is_reachable(host):
                reply = await self._ask_host(host, row_by_host[host], ranked)
                if reply is not None:
                    return reply
        return None

    def _is_reachable(self, host):
        failed_ms = self._failed_ms_by_host.get(host)
        if failed_ms is None:
            return True
        if self._clock.now_ms() - failed_ms < UNREACHABLE_MS:
            return False
        del self._failed_ms_by_host[host]
        return True

    async def _ask_host(self, host, row, request):
        try:
            answer = await self._http.request(
                row.address,
                row.port,
                "POST",
                PATH,
                body=msgspec.json.encode(request),
                timeout_ms=TIMEOUT_MS,
                idempotent=True,
            )
            if answer.status == STATUS_OK:
                return _reply_decoder.decode(answer.body)
            reason = f"answered {answer.status}"
        except (ServiceError, msgspec.MsgspecError) as e:
            reason = str(e)
        self._failed_ms_by_host[host] = self._clock.now_ms()
        log.info(
            "Host %s grants no requests to %s (%s); not asked for %d ms.",
            host,
            request.upstream,
            reason,
            UNREACHABLE_MS,
        )
        return None
