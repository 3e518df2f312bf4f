"""Asks the host that grants requests to an upstream with a limit."""

import msgspec

from goldcrestmoor.request.limit_budget import owners_of

PATH = "/limits"


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

    :param calls: the :class:`~goldcrestmoor.process.host_calls.HostCalls`.
    :param host_id: this host.
    """

    __slots__ = ("_calls", "_host_id")

    def __init__(self, *, calls, host_id):
        self._calls = calls
        self._host_id = host_id

    async def ask(self, upstream, request, grant):
        """Return the reply of the first owner that answers, or None.

        :param upstream: the upstream.
        :param request: the :class:`GrantRequest`.
        :param grant: returns this host's own reply to a request.
        """
        owners = owners_of(upstream, self._calls.zone_by_host()) or [self._host_id]
        for rank, host in enumerate(owners):
            ranked = msgspec.structs.replace(request, rank=rank)
            if host == self._host_id:
                return grant(ranked)
            reply = await self._calls.call(host, PATH, ranked, _reply_decoder)
            if reply is not None:
                return reply
        return None
