"""Decides who may add to the memory held for slow readers, and who is given up.

Workload: hosts of 200 to 552 MB, whose callers and servers may read slowly or not at
all. Bodies of up to 32 MB arrive in bursts, and hundreds of callers may stop reading
their streams at once; a host that holds all of it is killed with every request on it.
All connections share one budget. While it is used up, large bodies are refused first,
which costs a retry, and then the connection that has taken no byte for the longest time
is closed. A caller that reads slowly but steadily is never closed.
"""

import enum

# What a process holds for slow readers, as a share of the host's memory. Bodies are
# held twice while they are sent, and the process needs the rest for itself.
BUDGET_SHARE = 0.25
# Bodies up to this size are received even when the budget is used up.
SMALL_BODY_BYTES = 64 << 10
# The most that is read ahead of one caller of a stream, and its share of the budget.
MAX_READ_AHEAD_BYTES = 1 << 20
READ_AHEAD_SHARE = 0.1
# The share of the budget from which connections are measured, so that those that have
# stopped are known when it is used up.
WATCH_SHARE = 0.5
# Connections that have taken no byte for less time are not closed.
MIN_STALLED_MS = 2000
# A refused body looks for room this long: until those that stopped are known.
REFUSAL_WATCH_MS = 2 * MIN_STALLED_MS
# The most that one measurement adds to the time without progress. A process that was
# paused has not seen what its callers took meanwhile.
MAX_SAMPLE_MS = 500


class Held(enum.StrEnum):
    """What bytes are held for."""

    REQUEST = "request"
    RESPONSE = "response"


class Holding:
    """What one connection makes this process hold.

    :ivar body_bytes: the bytes of a request that are received, or will be.
    :ivar response_bytes: the bytes of a response that are not written yet.
    :ivar unsent_bytes: the bytes that are written and not taken by the kernel.
    :ivar unsent_kind: the :class:`Held` of the unsent bytes.
    :ivar moved_bytes: the bytes that the other end has sent and taken so far.
    :ivar stalled_ms: for how long it was seen to send or take nothing, although it was
        its turn.
    """

    __slots__ = (
        "body_bytes",
        "response_bytes",
        "unsent_bytes",
        "unsent_kind",
        "moved_bytes",
        "stalled_ms",
    )

    def __init__(self, unsent_kind):
        self.body_bytes = 0
        self.response_bytes = 0
        self.unsent_bytes = 0
        self.unsent_kind = unsent_kind
        self.moved_bytes = 0
        self.stalled_ms = 0

    @property
    def held_bytes(self):
        """All bytes that are held for the connection."""
        return self.body_bytes + self.response_bytes + self.unsent_bytes


class MemoryBudget:
    """The bytes held for all connections of a process.

    :param max_bytes: the budget.
    :ivar held_bytes: the bytes held now.
    """

    __slots__ = (
        "held_bytes",
        "_max_bytes",
        "_holdings",
        "_refusal_watch_ms",
        "_sampled_ms",
    )

    def __init__(self, max_bytes):
        self.held_bytes = 0
        self._max_bytes = max_bytes
        self._holdings = set()
        self._refusal_watch_ms = 0
        self._sampled_ms = None

    @classmethod
    def of_host(cls, memory_mb):
        """Return the budget of a host.

        :param memory_mb: the host's memory, in megabytes.
        """
        return cls(int(memory_mb * BUDGET_SHARE * (1 << 20)))

    @property
    def read_ahead_bytes(self):
        """The most that is held of one stream."""
        return min(MAX_READ_AHEAD_BYTES, int(self._max_bytes * READ_AHEAD_SHARE))

    def open(self, unsent_kind):
        """Return the :class:`Holding` of a new connection.

        :param unsent_kind: the :class:`Held` of the bytes that are written to it.
        """
        holding = Holding(unsent_kind)
        self._holdings.add(holding)
        return holding

    def close(self, holding):
        """Remove a connection and what was held for it.

        :param holding: its :class:`Holding`.
        """
        if holding in self._holdings:
            self._holdings.remove(holding)
            self.held_bytes -= holding.held_bytes

    def hold(self, holding, *, body=None, response=None, unsent=None):
        """Record what is held for a connection now; nothing once it is closed.

        :param holding: its :class:`Holding`.
        :param body: the bytes of its request; unchanged when omitted.
        :param response: the bytes of its response; unchanged when omitted.
        :param unsent: the bytes written and not taken; unchanged when omitted.
        """
        if holding not in self._holdings:
            return
        before = holding.held_bytes
        if body is not None:
            holding.body_bytes = body
        if response is not None:
            holding.response_bytes = response
        if unsent is not None:
            holding.unsent_bytes = unsent
        self.held_bytes += holding.held_bytes - before

    def admit_body(self, holding, size):
        """Reserve room for a request's body, and return whether there is any.

        :param holding: the :class:`Holding` of the connection that it arrives on.
        :param size: the size of the body, as far as it is known.
        """
        added = size - holding.body_bytes
        if added > 0:
            if size > SMALL_BODY_BYTES and self.held_bytes + added > self._max_bytes:
                self._refusal_watch_ms = REFUSAL_WATCH_MS
                return False
            self.hold(holding, body=size)
        return True

    def may_read_ahead(self, holding):
        """Return whether more of a stream may be read from its server.

        A caller that has taken everything always gets more, also when others have used
        up the budget.

        :param holding: the :class:`Holding` of the caller's connection.
        """
        waiting = holding.response_bytes + holding.unsent_bytes
        if not waiting:
            return True
        return waiting < self.read_ahead_bytes and self.held_bytes < self._max_bytes

    def is_watching(self):
        """Return whether connections have to be measured."""
        is_filling = self.held_bytes > WATCH_SHARE * self._max_bytes
        return is_filling or self._refusal_watch_ms > 0

    def begin_sample(self, now_ms):
        """Return the time that the next measurement of each connection stands for.

        :param now_ms: the time.
        """
        last_ms, self._sampled_ms = self._sampled_ms, now_ms
        sample_ms = 0 if last_ms is None else min(MAX_SAMPLE_MS, now_ms - last_ms)
        self._refusal_watch_ms = max(0, self._refusal_watch_ms - sample_ms)
        return sample_ms

    def observe(self, holding, moved_bytes, is_its_turn, sample_ms):
        """Record a measurement of a connection.

        :param holding: its :class:`Holding`.
        :param moved_bytes: the bytes that the other end has sent and taken so far.
        :param is_its_turn: whether the other end has to send or take something.
        :param sample_ms: the time since the last measurement, from
            :meth:`begin_sample`.
        """
        if moved_bytes != holding.moved_bytes or not is_its_turn:
            holding.moved_bytes = moved_bytes
            holding.stalled_ms = 0
        else:
            holding.stalled_ms += sample_ms

    def to_give_up(self):
        """Return the connections to close now, after all were measured.

        :return: the :class:`Holding` values, those that stopped first first.
        """
        over = self.held_bytes - self._max_bytes
        if self._refusal_watch_ms:
            # Make room for a body like the one that was refused.
            over = max(over, 1)
        stalled = [
            h for h in self._holdings if h.held_bytes and h.stalled_ms >= MIN_STALLED_MS
        ]
        stalled.sort(key=lambda h: (h.stalled_ms, h.held_bytes), reverse=True)
        given_up = []
        for holding in stalled:
            if over <= 0:
                break
            given_up.append(holding)
            over -= holding.held_bytes
        if given_up:
            self._refusal_watch_ms = 0
        return given_up

    def bytes_of(self, kind):
        """Return the bytes held for requests or for responses.

        :param kind: the :class:`Held`.
        """
        total = 0
        for holding in self._holdings:
            if kind is Held.REQUEST:
                total += holding.body_bytes
            else:
                total += holding.response_bytes
            if holding.unsent_kind is kind:
                total += holding.unsent_bytes
        return total
