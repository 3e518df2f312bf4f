"""Weighted fair queueing of an upstream's requests across client accounts."""

import collections
import itertools
import math

import msgspec

from goldcrestmoor.errors import ErrorKind, ServiceError

PERCENT = 100
EWMA_ALPHA = 0.2
MAX_IDLE_ACCOUNTS = 1000
MIN_RETRY_AFTER_MS = 100
MIN_WAIT_MS = 50
PENDING_COST_EPSILON = 1e-6
APPLICATION = "application"


class WeightedFair(msgspec.Struct, frozen=True):
    """The account with the lowest virtual time goes next."""


class FirstComeFirstServed(msgspec.Struct, frozen=True):
    """The request that has waited longest goes next, whatever its account."""


WEIGHTED_FAIR = WeightedFair()


class FairQueue:
    """Order requests so that each account gets its share of the tokens.

    Each account has a virtual time: the tokens that its requests have used, divided by
    its weight. The account whose virtual time, plus the expected cost of its requests
    in flight, is lowest goes next. An account that was idle starts at no less than the
    lowest virtual time of the busy accounts, without their requests in flight: others
    use an idle share, and the account gets it back with the next free slots.
    Application accounts together get a guaranteed minimum share of the weight.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param max_length: the maximum number of queued requests.
    :param floor_percent: the minimum share of all application accounts, in percent.
    :param order: one of the orders of this module.
    :param rejects_early: whether a request is rejected when its expected wait exceeds
        its deadline or when the queue is full.
    """

    __slots__ = (
        "_clock",
        "_max_length",
        "_floor_percent",
        "_order",
        "_rejects_early",
        "_queues_by_account",
        "_virtual_time_by_account",
        "_pending_cost_by_account",
        "_service_ms_by_account",
        "_length",
        "_numbers",
        "_start_interval_ms",
        "_last_started_ms",
    )

    def __init__(
        self,
        *,
        clock,
        max_length,
        floor_percent,
        order=WEIGHTED_FAIR,
        rejects_early=True,
    ):
        self._clock = clock
        self._max_length = max_length
        self._floor_percent = floor_percent
        self._order = order
        self._rejects_early = rejects_early
        self._queues_by_account = {}
        self._virtual_time_by_account = collections.OrderedDict()
        self._pending_cost_by_account = {}
        self._service_ms_by_account = collections.OrderedDict()
        self._length = 0
        self._numbers = itertools.count()
        self._start_interval_ms = None
        self._last_started_ms = None

    def __len__(self):
        return self._length

    def oldest_wait_ms(self):
        """Return how long the oldest entry has waited, in milliseconds."""
        oldest_by_account = (
            queue[0].queued_ms for queue in self._queues_by_account.values()
        )
        oldest = min(oldest_by_account, default=None)
        return 0 if oldest is None else self._clock.now_ms() - oldest

    def push(self, entry):
        """Queue a request.

        :param entry: the :class:`~goldcrestmoor.request.queue_entry.Entry`.
        :raises ServiceError: ``OVERLOADED`` when the queue is full or too slow for
            the entry's deadline, with the time after which to retry.
        """
        if self._rejects_early:
            self._check_capacity(entry)
        if entry.account not in self._queues_by_account:
            self._activate(entry.account)
        queue = self._queues_by_account.setdefault(entry.account, collections.deque())
        entry.number = next(self._numbers)
        queue.append(entry)
        self._length += 1

    def _check_capacity(self, entry):
        wait_ms = self.expected_wait_ms(entry)
        is_full = self._length >= self._max_length
        if is_full or wait_ms > entry.deadline.remaining_ms():
            after_ms = max(MIN_RETRY_AFTER_MS, math.ceil(wait_ms))
            text = f"The queue is full or too slow; retry after {after_ms} ms."
            raise ServiceError(ErrorKind.OVERLOADED, text, after_ms)

    def pop(self):
        """Remove and return the entry that goes next, or None.

        Expired entries are not skipped here: call :meth:`pop_expired` first.
        """
        if not self._queues_by_account:
            return None
        entry = self._queues_by_account[self._next_account()][0]
        entry.pending_cost = entry.cost_tokens / self._weight(entry)
        pending_cost = self._pending_cost_by_account.get(entry.account, 0.0)
        self._pending_cost_by_account[entry.account] = pending_cost + entry.pending_cost
        entry.started_ms = self._clock.now_ms()
        self._remove(entry)
        return entry

    def _next_account(self):
        match self._order:
            case FirstComeFirstServed():
                queues = self._queues_by_account
                return min(queues, key=lambda name: queues[name][0].number)
            case _:
                return min(self._queues_by_account, key=self._projected_virtual_time)

    def _projected_virtual_time(self, account):
        pending_cost = self._pending_cost_by_account.get(account, 0.0)
        return self._virtual_time_by_account[account] + pending_cost

    def record_usage(self, entry, used_tokens):
        """Replace the expected cost of a request by its actual cost.

        :param entry: the request's entry, which is no longer in flight.
        :param used_tokens: how many tokens the request used.
        """
        if entry.account not in self._virtual_time_by_account:
            self._activate(entry.account)
        if used_tokens and entry.started_ms is not None:
            self._record_service_time(entry)
        used = used_tokens / self._weight(entry)
        self._virtual_time_by_account[entry.account] += used
        remaining = (
            self._pending_cost_by_account.pop(entry.account, 0.0) - entry.pending_cost
        )
        entry.pending_cost = 0.0
        if remaining > PENDING_COST_EPSILON:
            self._pending_cost_by_account[entry.account] = remaining

    def max_wait_ms(self, account, remaining_ms):
        """Return how long a request may wait and still end in time, in milliseconds.

        :param account: the account's name.
        :param remaining_ms: the time until the request's deadline, in milliseconds.
        """
        if not self._rejects_early:
            return remaining_ms
        service_ms = round(self._service_ms_by_account.get(account, 0))
        return max(MIN_WAIT_MS, remaining_ms - service_ms)

    def _record_service_time(self, entry):
        service_ms = self._clock.now_ms() - entry.started_ms
        known = self._service_ms_by_account
        mean_ms = known.get(entry.account, service_ms)
        known[entry.account] = mean_ms + EWMA_ALPHA * (service_ms - mean_ms)
        known.move_to_end(entry.account)
        if len(known) > MAX_IDLE_ACCOUNTS:
            known.popitem(last=False)

    def record_start(self):
        """Record the start of a queued entry, to measure the drain rate."""
        now_ms = self._clock.now_ms()
        if self._last_started_ms is not None:
            interval_ms = now_ms - self._last_started_ms
            if self._start_interval_ms is None:
                self._start_interval_ms = interval_ms
            self._start_interval_ms += EWMA_ALPHA * (
                interval_ms - self._start_interval_ms
            )
        # Only the time between two starts of a non-empty queue measures its rate.
        self._last_started_ms = now_ms if self._length else None

    def expected_wait_ms(self, entry):
        """Return how long an entry would wait, by the measured drain rate.

        :param entry: the entry, not yet queued.
        :return: milliseconds; zero while no rate has been measured.
        """
        if not self._length:
            return 0
        interval_ms = self._start_interval_ms or 0
        if self._last_started_ms is not None:
            # The time since the last start reveals a queue that has stalled.
            interval_ms = max(interval_ms, self._clock.now_ms() - self._last_started_ms)
        if isinstance(self._order, FirstComeFirstServed):
            return (self._length + 1) * interval_ms
        own = len(self._queues_by_account.get(entry.account, ()))
        fraction = self._weight(entry) / self._total_weight(entry)
        ahead = min(self._length, own / fraction)
        return (ahead + 1) * interval_ms

    def remove(self, entry):
        """Remove an entry; no-op when it is not queued.

        :param entry: the :class:`~goldcrestmoor.request.queue_entry.Entry`.
        """
        queue = self._queues_by_account.get(entry.account, ())
        if entry in queue:
            self._remove(entry)

    def pop_expired(self):
        """Remove and yield the entries whose deadline has passed."""
        for entry in list(self.entries()):
            if entry.deadline.passed():
                self._remove(entry)
                yield entry

    def pop_all(self):
        """Remove and yield every entry."""
        for entry in list(self.entries()):
            self._remove(entry)
            yield entry

    def entries(self):
        """Yield the queued entries, account by account."""
        for queue in self._queues_by_account.values():
            yield from queue

    def _remove(self, entry):
        queue = self._queues_by_account[entry.account]
        queue.remove(entry)
        self._length -= 1
        if not queue:
            del self._queues_by_account[entry.account]

    def _activate(self, account):
        busy = self._queues_by_account.keys() | self._pending_cost_by_account.keys()
        others = [self._virtual_time_by_account[name] for name in busy - {account}]
        if not busy:
            # Past usage no longer counts once all requests are done.
            self._virtual_time_by_account.clear()
        known = self._virtual_time_by_account.get(account, 0.0)
        self._virtual_time_by_account[account] = max(known, min(others, default=0.0))
        self._virtual_time_by_account.move_to_end(account)
        if len(self._virtual_time_by_account) > MAX_IDLE_ACCOUNTS:
            for name in self._virtual_time_by_account:
                if name not in busy and name != account:
                    del self._virtual_time_by_account[name]
                    break

    def _share_by_kind(self, entry):
        # The first entry of each queue gives its account's kind and share; the given
        # entry may not be queued yet.
        share_by_kind = collections.Counter()
        for account, queue in self._queues_by_account.items():
            if account != entry.account:
                share_by_kind[queue[0].kind] += queue[0].share
        share_by_kind[entry.kind] += entry.share
        return share_by_kind

    def _weight(self, entry):
        return self._effective_weight(entry, self._share_by_kind(entry))

    def _effective_weight(self, entry, share_by_kind):
        applications = share_by_kind[APPLICATION]
        others = share_by_kind.total() - applications
        if entry.kind != APPLICATION or not others or self._floor_percent >= PERCENT:
            return entry.share
        floor = others * self._floor_percent / (PERCENT - self._floor_percent)
        return entry.share * max(1.0, floor / applications)

    def _total_weight(self, entry):
        share_by_kind = self._share_by_kind(entry)
        applications = share_by_kind[APPLICATION]
        others = share_by_kind.total() - applications
        if not applications or not others or self._floor_percent >= PERCENT:
            return applications + others
        floor = others * self._floor_percent / (PERCENT - self._floor_percent)
        return others + max(applications, floor)
