"""The one clock, in milliseconds."""

import asyncio
import time

MS_PER_SECOND = 1000
NS_PER_MS = 1_000_000


class Clock:
    """Read time and sleep, in whole milliseconds.

    ``now_ms`` reads a clock that also runs while the process is frozen or the
    machine is suspended, so that a lease held across a freeze lapses in time.
    """

    __slots__ = ()

    def now_ms(self):
        """Return the time since boot.

        :return: whole milliseconds, never going back.
        """
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NS_PER_MS

    def wall_ms(self):
        """Return the wall clock's time, for people and for records only.

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

    :param clock: the clock that it is read on.
    :param at_ms: the point, on that clock's ``now_ms`` scale.
    """

    __slots__ = ("clock", "at_ms")

    def __init__(self, clock, at_ms):
        self.clock = clock
        self.at_ms = at_ms

    @classmethod
    def after(cls, clock, duration_ms):
        """Return the deadline that lies a duration ahead.

        :param clock: the clock that it is read on.
        :param duration_ms: the time left, in milliseconds.
        """
        return cls(clock, clock.now_ms() + duration_ms)

    def remaining_ms(self):
        """Return the time left in milliseconds, never below zero."""
        return max(0, self.at_ms - self.clock.now_ms())

    def remaining_s(self):
        """Return the time left in seconds, as asyncio's timeouts take it."""
        return self.remaining_ms() / MS_PER_SECOND

    def passed(self):
        """Tell whether the point has been reached."""
        return self.clock.now_ms() >= self.at_ms
