"""Graceful shutdown of a host without aborting requests in flight."""

import asyncio
import contextlib
import logging

from goldcrestmoor.clock import MS_PER_SECOND, Deadline
from goldcrestmoor.errors import ErrorKind, ServiceError

log = logging.getLogger("goldcrestmoor.shutdown")

# Time for a few probes; hosts that are not notified detect it by probing.
LEAVE_TIMEOUT_MS = 2000
# Twice the time that handing over a step with all samples takes on a loaded host.
HAND_OVER_TIMEOUT_MS = 12_000
# Short enough not to delay the shutdown noticeably.
DRAIN_POLL_MS = 20


# Another host can take a request at once.
RETRY_ELSEWHERE_MS = 10


class InFlight:
    """Counts the requests in flight, and stops accepting new ones.

    :ivar count: how many requests are in flight.
    :ivar is_open: whether new requests are accepted.
    :ivar schedule: the :class:`~goldcrestmoor.process.stop_schedule.StopSchedule` of a
        host that is stopping, or None.
    """

    __slots__ = ("count", "is_open", "schedule")

    def __init__(self):
        self.count = 0
        self.is_open = True
        self.schedule = None

    @contextlib.contextmanager
    def track(self):
        """Count one request for as long as the block runs.

        :raises ServiceError: ``DRAINING`` once the host accepts no more requests.
        """
        if not self.is_open:
            raise ServiceError(ErrorKind.DRAINING, "This host is shutting down.")
        with self.hold():
            yield

    @contextlib.contextmanager
    def hold(self):
        """Count work of an accepted request for as long as the block runs."""
        self.count += 1
        try:
            yield
        finally:
            self.count -= 1

    def check_time(self, longest_ms):
        """Raise if a new request could outlast this host.

        :param longest_ms: the longest time that it may take, in milliseconds.
        :raises ServiceError: ``DRAINING``.
        """
        if self.schedule is not None and not self.schedule.accepts(longest_ms):
            text = "This host stops before the request would have to end."
            raise ServiceError(ErrorKind.DRAINING, text, RETRY_ELSEWHERE_MS)

    def stop(self):
        """Accept no new requests."""
        self.is_open = False


class Shutdown:
    """The steps of a graceful shutdown.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param settings: the :class:`~goldcrestmoor.settings.ShutdownSettings`.
    :param in_flight: the :class:`InFlight`.
    :param membership: the :class:`~goldcrestmoor.process.membership.Membership`.
    """

    __slots__ = (
        "_clock",
        "_settings",
        "_in_flight",
        "_membership",
        "_is_ready",
        "_hand_overs",
        "_before_leaving",
    )

    def __init__(self, *, clock, settings, in_flight, membership):
        self._clock = clock
        self._settings = settings
        self._in_flight = in_flight
        self._membership = membership
        self._is_ready = True
        self._hand_overs = []
        self._before_leaving = []

    def ready(self):
        """Return whether the load balancer may send requests to this host."""
        return self._is_ready

    def before_leaving(self, hand_over):
        """Register a coroutine function to call before peers see this host as leaving.

        :param hand_over: releases a duty that its next holder resumes immediately.
        """
        self._before_leaving.append(hand_over)

    def on_hand_over(self, hand_over):
        """Register a coroutine function to call once nothing is in flight.

        :param hand_over: releases a duty; called in order of registration.
        """
        self._hand_overs.append(hand_over)

    async def run(self):
        """Run every step. The caller closes the components afterwards."""
        self._is_ready = False
        log.info("Shutting down: no longer ready.")
        # The load balancer needs time to notice; requests are still served.
        await self._clock.sleep_ms(self._settings.unready_ms)
        for hand_over in self._before_leaving:
            await self._attempt(hand_over, HAND_OVER_TIMEOUT_MS)
        await self._attempt(self._membership.leave, LEAVE_TIMEOUT_MS)
        self._in_flight.stop()
        await self._drain()
        for hand_over in self._hand_overs:
            await self._attempt(hand_over, HAND_OVER_TIMEOUT_MS)
        log.info("Duties handed over.")

    async def _drain(self):
        deadline = Deadline.after(self._clock, self._settings.drain_ms)
        log.info("Draining %d requests.", self._in_flight.count)
        while self._in_flight.count and not deadline.passed():
            await self._clock.sleep_ms(DRAIN_POLL_MS)
        if self._in_flight.count:
            log.warning("%d requests did not finish in time.", self._in_flight.count)

    async def _attempt(self, step, timeout_ms):
        """Run a step; a failure must not prevent the others from running."""
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_SECOND):
                await step()
        except TimeoutError:
            log.warning("A shutdown step did not finish in time.")
        except Exception:
            log.exception("A shutdown step failed.")
