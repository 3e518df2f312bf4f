"""Which requests a host still accepts after its stop signal.

Workload: hosts are stopped one after the other under load. The balancer sends new
connections until its checks have failed, and callers keep using open ones for as long
as the process is there, also with requests that last longer than it does.
"""

from goldcrestmoor.clock import Deadline

# For the last bytes of a response to reach its caller.
RESPONSE_MARGIN_MS = 200
# For the answers to requests that the end interrupts, on a busy host, before the
# platform kills the process.
KILL_MARGIN_MS = 500


class StopSchedule:
    """The times of a stop, which begins when this is created.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param unready_ms: how long the balancer may still send new connections.
    :param drain_ms: how long requests may run after that.
    :param close_ms: how long the rest of them may run while the servers close.
    :param grace_ms: when the platform kills the process; None if it never does.
    :ivar unready: until when every request is accepted.
    :ivar drain: when the servers begin to close, at the latest.
    :ivar end: when requests that still run are interrupted.
    """

    __slots__ = ("unready", "drain", "end", "_last_end")

    def __init__(self, clock, unready_ms, drain_ms, close_ms, grace_ms=None):
        total_ms = unready_ms + drain_ms + close_ms
        if grace_ms is not None:
            total_ms = max(0, min(total_ms, grace_ms - KILL_MARGIN_MS))
        self.unready = Deadline.after(clock, min(unready_ms, total_ms))
        self.drain = Deadline.after(clock, max(0, total_ms - close_ms))
        self.end = Deadline.after(clock, total_ms)
        self._last_end = Deadline.after(clock, total_ms - RESPONSE_MARGIN_MS)

    def accepts(self, longest_ms):
        """Return whether a request is accepted now.

        :param longest_ms: the longest time that it may take, in milliseconds.
        """
        fits = longest_ms <= self._last_end.remaining_ms()
        return fits or not self.unready.passed()
