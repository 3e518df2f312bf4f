"""Division of an upstream's limit between the hosts that send it requests.

Workload: an upstream in need accepts a few requests a second from all hosts together,
fewer than there are hosts, while callers press some hosts more than others and each
host knows only its own requests. So one host, the owner, grants every request to that
upstream, at the rate that the upstream stated. Hosts that cannot reach the owner ask
the next one, which grants a quarter of that: the owner may still grant to others.
"""

import math

from goldcrestmoor.clock import MS_PER_SECOND
from goldcrestmoor.util import rendezvous_order

# Requests that may follow an idle time at once; more if the upstream accepts more in a
# second.
MIN_BURST_REQUESTS = 2
# What an owner grants of what the one before it would.
NEXT_OWNER_FRACTION = 0.25
# A response is the only sign that a limit has ended, so some requests are always sent.
MIN_PER_SECOND = 0.2
# A host that was denied asks again within this time, for a limit may end.
MAX_WAIT_MS = 1000
# The first owner, and those that grant in its place.
MAX_OWNERS = 3


def owners_of(upstream, zone_by_host):
    """Return the hosts that grant requests to an upstream, the first one first.

    Hosts of the upstream's zone come first: a host that reaches the upstream most
    likely reaches them.

    :param upstream: the :class:`~goldcrestmoor.process.directory.ListedUpstream`.
    :param zone_by_host: the availability zone of each host.
    """
    near = [host for host, zone in zone_by_host.items() if zone == upstream.zone]
    far = [host for host, zone in zone_by_host.items() if zone != upstream.zone]
    order = rendezvous_order(upstream.name, near) + rendezvous_order(upstream.name, far)
    return order[:MAX_OWNERS]


class RequestBudget:
    """The requests that an owner may grant for one upstream, as a token bucket.

    :param rank: the owner's index in :func:`owners_of`.
    :param now_ms: the time.
    """

    __slots__ = ("_rank", "_tokens", "_refilled_ms", "_advised_ms")

    def __init__(self, rank, now_ms):
        self._rank = rank
        self._tokens = MIN_BURST_REQUESTS
        self._refilled_ms = self._advised_ms = now_ms

    def take(self, per_second, now_ms, is_required=False):
        """Grant a request, or return when to ask again.

        Those that are denied are told different times, one request apart.

        :param per_second: the limit that the upstream stated.
        :param now_ms: the time.
        :param is_required: whether the request is sent in any case, and only counts.
        :return: 0 when it is granted, else the time to wait, in milliseconds.
        """
        per_second = max(per_second, MIN_PER_SECOND) * NEXT_OWNER_FRACTION**self._rank
        per_ms = per_second / MS_PER_SECOND
        elapsed_ms = max(0, now_ms - self._refilled_ms)
        burst = max(MIN_BURST_REQUESTS, per_second)
        self._tokens = min(burst, self._tokens + elapsed_ms * per_ms)
        self._refilled_ms = now_ms
        if self._tokens >= 1 or is_required:
            self._tokens = max(-MIN_BURST_REQUESTS, self._tokens - 1)
            return 0
        next_ms = now_ms + (1 - self._tokens) / per_ms
        advised_ms = max(next_ms, self._advised_ms + 1 / per_ms)
        self._advised_ms = min(advised_ms, now_ms + MAX_WAIT_MS)
        return math.ceil(self._advised_ms - now_ms)
