"""Decides whether a request under which servers crashed may be sent again.

Workload: a request crashes each server that runs it, within some 50 ms, and its caller
sends it again a few times a second, at any host. While it does, a service of a few
servers has none for most of the time. Other requests that happened to be at such a
server must be served, and one that many callers send may have been at several of them.

So crashes count only if they followed one another: the request was sent when the one
before was known, and no server has answered it since. The third one blocks the request,
and each further one blocks it for ten times as long.
"""

import msgspec

from goldcrestmoor.util import rendezvous_order

# Crashes under one request after which it is blocked.
CRASHES_TO_BLOCK = 3
# Crashes under one request after which a host leaves it to the caller to send it again.
CRASHES_TO_END_ATTEMPT = 2
BLOCK_MS = 60_000
# Each crash after a block makes the next block longer by this factor.
BLOCK_FACTOR = 10
MAX_BLOCK_MS = 24 * 3_600_000
# Crashes of requests that aren't blocked are forgotten after this time.
FORGET_MS = 600_000
# Bounds the memory of a history; several hosts may report each crash.
MAX_CRASHES = 32


class Crash(msgspec.Struct, frozen=True):
    """One server's crash under a request.

    :param id: identifies the crash.
    :param ordinal: one more than the number of crashes that the host knew of when it
        sent the request.
    :param known_ms: when this host learned of it.
    """

    id: str
    ordinal: int
    known_ms: float


class CrashHistory:
    """The crashes under one request since a server last answered it.

    :ivar crashes: the :class:`Crash` values, the last known one last.
    :ivar trial_ms: when this host last sent the request after a block, or None.
    """

    __slots__ = ("crashes", "trial_ms")

    def __init__(self):
        self.crashes = []
        self.trial_ms = None

    def add(self, crash):
        """Add a crash unless it is known.

        :param crash: the :class:`Crash`.
        :return: whether it was added.
        """
        if any(known.id == crash.id for known in self.crashes):
            return False
        self.crashes.append(crash)
        self.crashes.sort(key=lambda known: known.known_ms)
        del self.crashes[:-MAX_CRASHES]
        return True

    def count(self, before_ms=None):
        """Return how many crashes followed one another.

        :param before_ms: regard only those known by then; all by default.
        """
        ordinals = (
            crash.ordinal
            for crash in self.crashes
            if before_ms is None or crash.known_ms <= before_ms
        )
        return max(ordinals, default=0)

    def blocked_until_ms(self):
        """Return until when the request is blocked, or None if it isn't."""
        excess = self.count() - CRASHES_TO_BLOCK
        if excess < 0:
            return None
        block_ms = min(MAX_BLOCK_MS, BLOCK_MS * BLOCK_FACTOR**excess)
        return self.crashes[-1].known_ms + block_ms

    def is_outdated(self, now_ms):
        """Return whether the history may be forgotten.

        :param now_ms: the time.
        """
        until_ms = self.blocked_until_ms() or self.crashes[-1].known_ms
        return now_ms >= until_ms + FORGET_MS


def next_trial_ms(history, digest, hosts, host_id):
    """Return when a host may send a blocked request once, or None if it isn't blocked.

    One host after another may, so that a single crash shows all of them that the
    request is as it was.

    :param history: the request's :class:`CrashHistory`.
    :param digest: identifies the request.
    :param hosts: the ids of all hosts.
    :param host_id: the host that would send it.
    """
    until_ms = history.blocked_until_ms()
    if until_ms is None:
        return None
    order = rendezvous_order(digest, hosts)
    rank = order.index(host_id) if host_id in order else len(order)
    trial_ms = until_ms + rank * BLOCK_MS
    if history.trial_ms is not None:
        trial_ms = max(trial_ms, history.trial_ms + BLOCK_MS)
    return trial_ms
