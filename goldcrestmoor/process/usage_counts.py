"""Sends the request starts of all hosts to the holder of the API duty.

Workload: requests begin at any of up to 350 hosts, a few of them or thousands a second.
Hosts are killed and messages lost or repeated, and the duty moves while windows are
open. So counts are cumulative by process, a message replaces the one before it, and a
new holder gets all open windows again.
"""

import collections
import random

import msgspec

from goldcrestmoor.clock import MS_PER_SECOND

PATH = "/usage-counts"
# How soon a start is reported, and how often the holder is looked up in the feed.
POLL_MS = 250
MIN_INTERVAL_MS = 1000
# The messages that the holder receives from all hosts together, which take it a few
# percent of a core.
MAX_MESSAGES_PER_S = 100
RETRY_MS = 500
# No caller waits for the reply, unlike for other calls between hosts.
TIMEOUT_MS = 400
# Two retries, and the time until all hosts know a new holder from the feed.
MARGIN_MS = 2000
# A larger change of the time moves starts into other windows noticeably.
MAX_SHIFT_MS = 100
KEPT_MS = 30_000
# Several times the processes of a fleet; those that were restarted are forgotten.
MAX_PROCESSES = 2000


class UsageCounts(msgspec.Struct, frozen=True):
    """The starts that one process counted, in each window that is still open.

    :param host: the host.
    :param process: identifies its process.
    :param number: increases with each message of the process.
    :param wall_ms: the host's wall clock, in milliseconds since 1970; None in a message
        that another host keeps for it.
    :param first_window: the first window that the message covers.
    :param counts: the number of starts by window and client account since the process
        started; a covered window that is not in it has none.
    """

    host: str
    process: str
    number: int
    wall_ms: int | None
    first_window: int
    counts: dict[int, dict[str, int]]


class UsageReply(msgspec.Struct, frozen=True):
    """The reply to a :class:`UsageCounts`.

    :param is_received: whether the counts were added.
    :param true_ms: the true time; None while the holder doesn't know it, and wants the
        counts again.
    :param first_open: the first window that isn't committed yet.
    :param holder: the holder of the duty according to the receiver; empty without one.
    :param fencing: its fencing number.
    :param holder_counts: the holder's own counts, which would be lost with it; the
        receiver of the reply sends them to the next holder.
    """

    is_received: bool
    true_ms: int | None
    first_open: int
    holder: str
    fencing: int
    holder_counts: UsageCounts | None = None


request_decoder = msgspec.json.Decoder(UsageCounts)
_reply_decoder = msgspec.json.Decoder(UsageReply)


def interval_ms(host_count):
    """Return how often a host sends its counts, in milliseconds.

    :param host_count: the number of hosts.
    """
    return max(MIN_INTERVAL_MS, host_count * MS_PER_SECOND // MAX_MESSAGES_PER_S)


def commit_delay_ms(host_count, due_ms):
    """Return how long after its end all hosts have sent their counts of a window.

    :param host_count: the number of hosts.
    :param due_ms: when the report is due; the rest is left for its sending.
    """
    return min(interval_ms(host_count) + MARGIN_MS, due_ms * 3 // 5)


def kept_ms(window_ms, due_ms):
    """Return how long hosts keep the times of starts, in milliseconds.

    :param window_ms: the length of a window.
    :param due_ms: when a report is due after the window's end.
    """
    return max(KEPT_MS, 2 * window_ms + due_ms)


class UsageCollector:
    """Adds up the counts of all hosts, at the holder of the duty.

    It goes on while the store is down and the lease has lapsed, until another holder is
    known: the hosts keep their starts for less time than an outage may take.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param duty: the :class:`~goldcrestmoor.process.exclusive_duty.ExclusiveDuty`.
    :param host_id: this host.
    :param time: this host's :class:`~goldcrestmoor.process.true_time.TrueTime`.
    :param windows: the :class:`~goldcrestmoor.process.usage_windows.UsageWindows`.
    :param delay_ms: returns the present :func:`commit_delay_ms`.
    :param kept_ms: how long hosts keep their starts, in milliseconds.
    :ivar since_ms: since when this host has collected the counts, by the monotonic
        clock; None when it doesn't.
    """

    __slots__ = (
        "since_ms",
        "_clock",
        "_duty",
        "_host_id",
        "_time",
        "_windows",
        "_delay_ms",
        "_kept_ms",
        "_fencing",
        "_counts_by_window",
        "_number_by_process",
        "_own",
    )

    def __init__(self, *, clock, duty, host_id, time, windows, delay_ms, kept_ms):
        self.since_ms = None
        self._clock = clock
        self._duty = duty
        self._host_id = host_id
        self._time = time
        self._windows = windows
        self._delay_ms = delay_ms
        self._kept_ms = kept_ms
        # The number of the holding that the counts belong to.
        self._fencing = None
        # By window and process.
        self._counts_by_window = collections.defaultdict(dict)
        self._number_by_process = collections.OrderedDict()
        # This host's own counts that no other host has yet.
        self._own = None

    def update(self):
        """Begin or end collecting, as the duty has moved, and agree on the time."""
        now_ms = self._clock.now_ms()
        holder, fencing = self._holding()
        # A lapsed lease that no other host has taken is continued.
        if holder != self._host_id or (
            self._fencing is None and not self._duty.is_held()
        ):
            self.since_ms = self._fencing = None
            return
        if self._fencing is None or fencing > self._fencing + 1:
            # With a number in between, hosts have sent their starts elsewhere.
            self.since_ms = now_ms
            self._counts_by_window.clear()
            self._number_by_process.clear()
        self._fencing = fencing
        if self.is_complete():
            self._time.observe(self._host_id, now_ms, self._clock.wall_ms())
            self._time.agree(now_ms)
        self._fold(now_ms)

    def is_complete(self):
        """Return whether the hosts have had the time to send what they keep."""
        return (
            self.since_ms is not None
            and self._clock.now_ms() - self.since_ms >= self._delay_ms()
        )

    def known_from_ms(self):
        """Return since when all starts are known here, in true time."""
        sent_by_ms = self.since_ms + self._delay_ms()
        return self._time.at(sent_by_ms) - self._kept_ms

    def receive(self, message):
        """Add a host's counts.

        :param message: the :class:`UsageCounts`.
        :return: the :class:`UsageReply`.
        """
        self.update()
        holder, fencing = self._holding()
        if self.since_ms is None:
            return UsageReply(False, None, 0, holder, fencing)
        now_ms = self._clock.now_ms()
        is_direct = message.wall_ms is not None
        if is_direct:
            self._time.observe(message.host, now_ms, message.wall_ms)
        # A message that was delayed must not replace a newer one.
        if message.number > self._number_by_process.get(message.process, 0):
            self._number_by_process[message.process] = message.number
            self._number_by_process.move_to_end(message.process)
            if len(self._number_by_process) > MAX_PROCESSES:
                self._number_by_process.popitem(last=False)
            self._put(message, now_ms)
        is_agreed = self._time.is_agreed(now_ms)
        true_ms = self._time.at(now_ms) if is_agreed else None
        holder_counts = None
        if is_direct and message.host == self._host_id:
            self._own = msgspec.structs.replace(message, wall_ms=None)
        else:
            holder_counts, self._own = self._own, None
        first_open = self._windows.first_open()
        return UsageReply(True, true_ms, first_open, holder, fencing, holder_counts)

    def counts(self, window):
        """Return the number of starts in a window by client account.

        :param window: the window.
        """
        total = collections.Counter()
        for counts in self._counts_by_window.get(window, {}).values():
            total.update(counts)
        return dict(total)

    def drop_committed(self):
        """Forget the windows that are committed."""
        first = self._windows.first_open()
        for window in [w for w in self._counts_by_window if w < first]:
            del self._counts_by_window[window]

    def _holding(self):
        """Return the holder and its fencing number; this host's own lease is newest."""
        if self._duty.is_held():
            return self._host_id, self._duty.fencing()
        return self._duty.holding() or ("", 0)

    def _put(self, message, now_ms):
        first = max(
            message.first_window, self._windows.first_open(), self._first_kept(now_ms)
        )
        for window, counts_by_process in self._counts_by_window.items():
            if window >= first:
                counts_by_process.pop(message.process, None)
        for window, counts in message.counts.items():
            if window >= first:
                self._counts_by_window[window][message.process] = counts

    def _fold(self, now_ms):
        """Keep only the sum of windows that no message covers any more.

        An outage of the store may leave a hundred windows open.
        """
        first = self._first_kept(now_ms)
        for window, counts_by_process in self._counts_by_window.items():
            if window < first and len(counts_by_process) > 1:
                self._counts_by_window[window] = {"": self.counts(window)}

    def _first_kept(self, now_ms):
        """Return the first window that messages may still cover."""
        oldest_ms = self._time.at(now_ms) - self._kept_ms - TIMEOUT_MS
        return self._windows.window_at(oldest_ms)


class UsageSender:
    """Sends this host's counts to the holder of the duty.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param duty: the :class:`~goldcrestmoor.process.exclusive_duty.ExclusiveDuty`.
    :param calls: the :class:`~goldcrestmoor.process.host_calls.HostCalls`.
    :param counter: the :class:`~goldcrestmoor.request.usage_counter.UsageCounter`.
    :param collector: this host's own :class:`UsageCollector`.
    :param time: this host's :class:`~goldcrestmoor.process.true_time.TrueTime`.
    :param host_id: this host.
    :param process_id: identifies this process.
    :param metrics: the :class:`~goldcrestmoor.process.metrics.Metrics`.
    """

    __slots__ = (
        "_clock",
        "_duty",
        "_calls",
        "_counter",
        "_collector",
        "_time",
        "_host_id",
        "_process_id",
        "_number",
        "_sent_changes",
        "_sent_to",
        "_stated_holding",
        "_first_open",
        "_next_ms",
        "_holder_counts",
        "_undelivered",
    )

    def __init__(
        self,
        *,
        clock,
        duty,
        calls,
        counter,
        collector,
        time,
        host_id,
        process_id,
        metrics,
    ):
        self._clock = clock
        self._duty = duty
        self._calls = calls
        self._counter = counter
        self._collector = collector
        self._time = time
        self._host_id = host_id
        self._process_id = process_id
        self._number = 0
        # The counter's changes that the holder has.
        self._sent_changes = 0
        # The holding that has received this host's counts, or is to get them next.
        self._sent_to = None
        # The holding that another host has stated, perhaps newer than the feed's.
        self._stated_holding = ("", 0)
        self._first_open = 0
        self._next_ms = 0
        # The newest counts of a holder that this host keeps, and those that the next
        # holder is to get.
        self._holder_counts = None
        self._undelivered = None
        metrics.usage_unreported_starts.set_function(
            lambda: self._counter.changes - self._sent_changes
        )

    async def run(self):
        """Send the counts whenever there are new ones, until cancelled."""
        while True:
            await self._clock.sleep_ms(POLL_MS)
            await self.step()

    async def step(self):
        """Send the counts if that is due."""
        holding = self._holding()
        if holding is None:
            return
        now_ms = self._clock.now_ms()
        if self._begin_holding(holding):
            # All hosts learn of a new holder at once.
            self._next_ms = now_ms + random.random() * self._interval_ms()
        if self._counter.changes != self._sent_changes and now_ms >= self._next_ms:
            await self._send(holding)

    async def flush(self):
        """Send at once what the holder doesn't have, as this host is leaving."""
        holding = self._holding()
        if holding is None:
            return
        self._begin_holding(holding)
        if self._counter.changes != self._sent_changes:
            await self._send(holding)

    def _begin_holding(self, holding):
        """Return whether a holding is new; its holder has none of the counts yet."""
        if holding == self._sent_to:
            return False
        self._sent_to = holding
        self._sent_changes = 0
        self._first_open = 0
        self._undelivered = self._holder_counts or self._undelivered
        self._holder_counts = None
        return True

    async def _call(self, holder, message):
        """Return the holder's reply, or None."""
        if holder == self._host_id:
            return self._collector.receive(message)
        reply = await self._calls.call(
            holder, PATH, message, _reply_decoder, TIMEOUT_MS, is_repeated=True
        )
        if reply is not None and reply.holder_counts is not None:
            self._holder_counts = reply.holder_counts
        return reply

    async def _ask_for_holder(self):
        """Ask any other host who holds the duty, as this host's lease has lapsed.

        While the store rejects this host alone, its feed doesn't show who took over.
        """
        others = self._calls.zone_by_host().keys() - {self._host_id}
        if others:
            reply = await self._call(random.choice(sorted(others)), self._message())
            self._learn_holding(reply)

    def _learn_holding(self, reply):
        if reply is not None:
            stated = reply.holder, reply.fencing
            self._stated_holding = max(self._stated_holding, stated, key=_fencing)

    async def _send(self, holding):
        holder, _ = holding
        if holder == self._host_id and not self._duty.is_held():
            await self._ask_for_holder()
        if self._undelivered is not None:
            reply = await self._call(holder, self._undelivered)
            if reply is not None and reply.is_received:
                self._undelivered = None
        changes = self._counter.changes
        sent_ms = self._clock.now_ms()
        reply = await self._call(holder, self._message())
        now_ms = self._clock.now_ms()
        self._next_ms = now_ms + RETRY_MS
        self._learn_holding(reply)
        if reply is None or not reply.is_received:
            return
        if reply.true_ms is None:
            self._next_ms = now_ms + self._interval_ms()
            return
        self._first_open = reply.first_open
        if holder != self._host_id:
            shift_ms = self._time.adopt(sent_ms, now_ms, reply.true_ms)
            if abs(shift_ms) > MAX_SHIFT_MS:
                # The same starts, in other windows.
                self._first_open = 0
                self._next_ms = now_ms
                return
        self._sent_changes = changes
        self._next_ms = now_ms + self._interval_ms()

    def _message(self):
        self._number += 1
        offset_ms = self._time.offset_ms
        kept = self._counter.first_whole_window(offset_ms)
        first = max(self._first_open, kept)
        return UsageCounts(
            self._host_id,
            self._process_id,
            self._number,
            self._clock.wall_ms(),
            first,
            self._counter.counts(offset_ms, first),
        )

    def _holding(self):
        """Return the newest known holder and its fencing number, or None."""
        holding = max(
            self._duty.holding() or ("", 0), self._stated_holding, key=_fencing
        )
        return holding if holding[0] else None

    def _interval_ms(self):
        return interval_ms(len(self._calls.zone_by_host()))


def _fencing(holding):
    return holding[1]
