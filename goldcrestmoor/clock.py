"""The clock of the service, in milliseconds, and deadlines on it."""

import asyncio
import time

MS_PER_SECOND = 1000
NS_PER_MS = 1_000_000


class Clock:
    """Reads time in whole milliseconds, and sleeps.

    ``now_ms`` reads a clock that also advances while the process is frozen or the
    machine is suspended, so that a lease held across a process freeze expires on time.
    """

    __slots__ = ()

    def now_ms(self):
        """Return the time since boot.

        :return: whole milliseconds; monotonic.
        """
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NS_PER_MS

    def wall_ms(self):
        """Return the wall clock time, only for display and for records.

        :return: whole milliseconds since the epoch.
        """
        return time.time_ns() // NS_PER_MS

    async def sleep_ms(self, duration_ms):
        """Sleep without blocking the event loop.

        :param duration_ms: how long to sleep, in milliseconds.
        """
        await asyncio.sleep(max(0, duration_ms) / MS_PER_SECOND)


class Deadline:
    """A point in time by which work must be done.

    :param clock: the clock that measures the deadline.
    :param at_ms: the deadline as a ``now_ms`` value of that clock.
    """

    __slots__ = ("clock", "at_ms")

    def __init__(self, clock, at_ms):
        self.clock = clock
        self.at_ms = at_ms

    @classmethod
    def after(cls, clock, duration_ms):
        """Return a deadline that is a duration from the current time.

        :param clock: the clock that measures the deadline.
        :param duration_ms: the duration, in milliseconds.
        """
        return cls(clock, clock.now_ms() + duration_ms)

    def remaining_ms(self):
        """Return the remaining time in milliseconds, at least zero."""
        return max(0, self.at_ms - self.clock.now_ms())

    def remaining_s(self):
        """Return the remaining time in seconds, for asyncio timeouts."""
        return self.remaining_ms() / MS_PER_SECOND

    def passed(self):
        """Return whether the deadline has been reached."""
        return self.clock.now_ms() >= self.at_ms
