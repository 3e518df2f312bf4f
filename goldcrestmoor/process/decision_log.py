"""Recent routing and admission decisions, by request, with their reasons."""

import collections

import msgspec

# A few minutes of one host's load; takes a few megabytes.
MAX_REQUESTS = 2000
# Bounds the memory for a request that is retried many times.
MAX_DECISIONS_PER_REQUEST = 50
# As many as an operator reads at once.
MAX_RECENT = 200


class Decision(msgspec.Struct, frozen=True):
    """One decision.

    :param at_ms: the wall clock time, in milliseconds.
    :param part: the component that decided, such as ``admission``.
    :param request_id: the request, or an empty string for the host itself.
    :param text: the decision and its reason, as a short sentence.
    """

    at_ms: int
    part: str
    request_id: str
    text: str


class DecisionLog:
    """The most recent decisions of this host, by request and in order.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    """

    __slots__ = ("_clock", "_by_request_id", "_recent")

    def __init__(self, clock):
        self._clock = clock
        self._by_request_id = collections.OrderedDict()
        self._recent = collections.deque(maxlen=MAX_RECENT)

    def record(self, part, request_id, text):
        """Record one decision.

        :param part: the component that decided.
        :param request_id: the request, or an empty string for the host itself.
        :param text: the decision and its reason.
        """
        decision = Decision(self._clock.wall_ms(), part, request_id, text)
        self._recent.append(decision)
        if not request_id:
            return
        decisions = self._by_request_id.get(request_id)
        if decisions is None:
            # A deque takes more memory than the few decisions that most requests have.
            decisions = []
            self._by_request_id[request_id] = decisions
            if len(self._by_request_id) > MAX_REQUESTS:
                self._by_request_id.popitem(last=False)
        decisions.append(decision)
        if len(decisions) > MAX_DECISIONS_PER_REQUEST:
            del decisions[0]

    def for_request(self, request_id):
        """Return a request's decisions, oldest first.

        :param request_id: the request.
        """
        return list(self._by_request_id.get(request_id, ()))

    def recent(self):
        """Return the host's most recent decisions, oldest first."""
        return list(self._recent)
