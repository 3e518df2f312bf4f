"""The time of day on which the hosts agree, whatever a minority's wall clocks show.

Workload: a quarter of the hosts jump by seconds and jump back, among them the host that
takes the time, and some hosts start while their clock is off. Usage windows have edges
in true time, so a host that follows its own clock would count in the wrong window.

A host reads its wall clock once, at its start, and then follows its monotonic clock.
The holder of the duty takes the median of what the hosts' wall clocks show and tells it
to them.
"""

import statistics

# Every host that serves requests sends a message in this time.
SAMPLE_MS = 30_000
# The median of fewer is no majority.
MIN_HOSTS = 3
# Monotonic clocks drift by some ten milliseconds in ten minutes.
AGREED_MS = 600_000


class TrueTime:
    """What this host takes for the time of day.

    :param now_ms: the monotonic clock, in milliseconds.
    :param wall_ms: the wall clock at the same moment, in milliseconds since 1970.
    :ivar offset_ms: true time minus the monotonic clock, in milliseconds.
    """

    __slots__ = ("offset_ms", "_agreed_ms", "_sample_by_host")

    def __init__(self, now_ms, wall_ms):
        self.offset_ms = wall_ms - now_ms
        self._agreed_ms = None
        self._sample_by_host = {}

    def at(self, now_ms):
        """Return the true time.

        :param now_ms: the monotonic clock, in milliseconds.
        :return: milliseconds since 1970.
        """
        return now_ms + self.offset_ms

    def is_agreed(self, now_ms):
        """Return whether this is more than the host's own clock.

        A holder stated it lately, or this host took it as the holder.

        :param now_ms: the monotonic clock, in milliseconds.
        """
        return self._agreed_ms is not None and now_ms - self._agreed_ms < AGREED_MS

    def adopt(self, sent_ms, received_ms, true_ms):
        """Follow the time that the holder has stated.

        A difference within the round trip can't be told from the message's delay.

        :param sent_ms: the monotonic clock when the holder was asked.
        :param received_ms: the monotonic clock when its reply arrived.
        :param true_ms: the time in the reply, in milliseconds since 1970.
        :return: by how much the time has changed, in milliseconds.
        """
        self._agreed_ms = received_ms
        shift_ms = true_ms - self.at((sent_ms + received_ms) // 2)
        if abs(shift_ms) <= received_ms - sent_ms:
            return 0
        self.offset_ms += shift_ms
        return shift_ms

    def observe(self, host, now_ms, wall_ms):
        """Record what a host's wall clock shows, at the holder.

        :param host: the host's id.
        :param now_ms: the monotonic clock of this host, in milliseconds.
        :param wall_ms: the wall clock of that host, in milliseconds since 1970.
        """
        self._sample_by_host[host] = (now_ms, wall_ms - now_ms)

    def agree(self, now_ms):
        """Take the median of the hosts' wall clocks, at the holder.

        With too few hosts the time stays as it is.

        :param now_ms: the monotonic clock, in milliseconds.
        :return: by how much the time has changed, in milliseconds.
        """
        self._agreed_ms = now_ms
        self._sample_by_host = {
            host: (at_ms, offset_ms)
            for host, (at_ms, offset_ms) in self._sample_by_host.items()
            if now_ms - at_ms <= SAMPLE_MS
        }
        if len(self._sample_by_host) < MIN_HOSTS:
            return 0
        offsets_ms = [offset_ms for _, offset_ms in self._sample_by_host.values()]
        before_ms = self.offset_ms
        self.offset_ms = statistics.median_low(offsets_ms)
        return self.offset_ms - before_ms
