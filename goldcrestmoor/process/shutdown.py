"""Graceful shutdown: a host leaves without cutting off what is in flight."""

import asyncio
import contextlib
import logging

from goldcrestmoor.clock import MS_PER_SECOND, Deadline
from goldcrestmoor.errors import ErrorKind, ServiceError

log = logging.getLogger("goldcrestmoor.shutdown")

# Some probes' time; who is not told finds out.
LEAVE_TIMEOUT_MS = 2000
# A step with all its samples, twice as long as that takes on a loaded host.
HAND_OVER_TIMEOUT_MS = 12_000
# Shorter than anybody notices.
DRAIN_POLL_MS = 20


class InFlight:
    """Counts the requests that are being served, and stops taking new ones.

    :ivar count: how many are being served.
    :ivar is_open: whether new ones are taken.
    """

    __slots__ = ("count", "is_open")

    def __init__(self):
        self.count = 0
        self.is_open = True

    @contextlib.contextmanager
    def track(self):
        """Count one request for as long as the block runs.

        :raises ServiceError: ``DRAINING`` once the host stops taking work.
        """
        if not self.is_open:
            raise ServiceError(ErrorKind.DRAINING, "This host is shutting down.")
        with self.hold():
            yield

    @contextlib.contextmanager
    def hold(self):
        """Count what belongs to a request that was taken, for the block's length."""
        self.count += 1
        try:
            yield
        finally:
            self.count -= 1

    def stop(self):
        """Take no new requests."""
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
        """Tell whether the balancer may send requests here."""
        return self._is_ready

    def before_leaving(self, hand_over):
        """Have a coroutine function called before others learn that this host leaves.

        :param hand_over: gives a duty up that its next holder starts on at once.
        """
        self._before_leaving.append(hand_over)

    def on_hand_over(self, hand_over):
        """Have a coroutine function called once nothing is in flight.

        :param hand_over: gives a duty up; called in the order of registration.
        """
        self._hand_overs.append(hand_over)

    async def run(self):
        """Run every step. The caller closes the parts after that."""
        self._is_ready = False
        log.info("Not ready any more.")
        # The balancer needs time to notice; requests are still served.
        await self._clock.sleep_ms(self._settings.unready_ms)
        for hand_over in self._before_leaving:
            await self._attempt(hand_over, HAND_OVER_TIMEOUT_MS)
        await self._attempt(self._membership.leave, LEAVE_TIMEOUT_MS)
        self._in_flight.stop()
        await self._drain()
        for hand_over in self._hand_overs:
            await self._attempt(hand_over, HAND_OVER_TIMEOUT_MS)
        log.info("Handed over.")

    async def _drain(self):
        deadline = Deadline.after(self._clock, self._settings.drain_ms)
        log.info("Draining %d requests.", self._in_flight.count)
        while self._in_flight.count and not deadline.passed():
            await self._clock.sleep_ms(DRAIN_POLL_MS)
        if self._in_flight.count:
            log.warning("%d requests did not end in time.", self._in_flight.count)

    async def _attempt(self, step, timeout_ms):
        """Run a step; a failure must not keep the others from running."""
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_SECOND):
                await step()
        except TimeoutError:
            log.warning("A step of the shutdown did not end in time.")
        except Exception:
            log.exception("A step of the shutdown failed.")
