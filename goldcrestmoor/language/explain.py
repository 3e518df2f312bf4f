"""Collect logged decisions of this host and its peers for ``EXPLAIN``."""

import logging

from goldcrestmoor.clock import Deadline
from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.process.decision_log import Decision
from goldcrestmoor.wire import Message

log = logging.getLogger("goldcrestmoor.language")

MAX_HOSTS_QUERIED = 16
HOST_TIMEOUT_MS = 500
EXPLAIN_TIMEOUT_MS = 5000


class ExplainRequest(Message, frozen=True):
    """Request a host's logged decisions.

    :param request_id: the request to explain; empty for the most recent decisions.
    """

    request_id: str


class Explanation(Message, frozen=True):
    """A host's decisions, oldest first."""

    host_id: str
    decisions: tuple[Decision, ...]


class Explainer:
    """Collects decisions from this host and the peers that may have made them.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param decisions: this host's decision log.
    :param links: the peer links.
    :param membership: the hosts that this host considers alive.
    :param host_id: this host's id.
    :param zone: this host's availability zone.
    """

    __slots__ = ("_clock", "_decisions", "_links", "_membership", "_host_id", "_zone")

    def __init__(self, *, clock, decisions, links, membership, host_id, zone):
        self._clock = clock
        self._decisions = decisions
        self._links = links
        self._membership = membership
        self._host_id = host_id
        self._zone = zone
        links.register(ExplainRequest, self._on_explain_request)

    async def explain_request(self, request_id):
        """Return the decisions about one request, oldest first.

        :param request_id: the request.
        :return: pairs of a host's id and a decision.
        """
        # A request id does not identify a host. The hosts that handle a request are
        # almost always in one zone, so only this zone is queried.
        explanations = [self._local_explanation(request_id)]
        deadline = Deadline.after(self._clock, EXPLAIN_TIMEOUT_MS)
        others = (record.id for record in self._membership.live(self._zone))
        host_ids = sorted(host for host in others if host != self._host_id)
        for host_id in host_ids[: MAX_HOSTS_QUERIED - 1]:
            if deadline.passed():
                break
            try:
                explanations.append(await self._query_host(host_id, request_id))
            except ServiceError as e:
                log.info("Host %s returned no explanation: %s", host_id, e)
        pairs = ((e.host_id, d) for e in explanations for d in e.decisions)
        return sorted(pairs, key=lambda pair: pair[1].at_ms)

    async def explain_host(self, host_id):
        """Return a host's most recent decisions, oldest first.

        :param host_id: the host.
        :return: pairs of the host's id and a decision.
        :raises ServiceError: when the host does not reply.
        """
        if host_id == self._host_id:
            explanation = self._local_explanation("")
        else:
            explanation = await self._query_host(host_id, "")
        return [(host_id, decision) for decision in explanation.decisions]

    async def _query_host(self, host_id, request_id):
        reply = await self._links.call(
            host_id, ExplainRequest(request_id), HOST_TIMEOUT_MS
        )
        if not isinstance(reply, Explanation):
            raise ServiceError(
                ErrorKind.PEER_UNREACHABLE,
                "The host did not reply with an explanation.",
            )
        return reply

    def _local_explanation(self, request_id):
        if request_id:
            decisions = self._decisions.for_request(request_id)
        else:
            decisions = self._decisions.recent()
        return Explanation(self._host_id, tuple(decisions))

    async def _on_explain_request(self, sender_id, message):
        return self._local_explanation(message.request_id)
