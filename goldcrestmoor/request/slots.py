"""The slots and the queue of one upstream, at its owner."""

import asyncio
import logging

from goldcrestmoor.clock import MS_PER_SECOND
from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.request.admission_messages import Granted, StillQueued

log = logging.getLogger("goldcrestmoor.admission")

GRANT_LIFETIME_MS = 40_000
LONG_POLL_MS = 400
POLL_EXPIRY_MS = 3000
MIN_RETRY_AFTER_MS = 1000


class Holder:
    """A grant that a host holds.

    :param host: the host.
    :param entry: the :class:`~goldcrestmoor.request.queue_entry.Entry`.
    :param expires_ms: when the grant expires, on the clock's scale.
    """

    __slots__ = ("host", "entry", "expires_ms")

    def __init__(self, host, entry, expires_ms):
        self.host = host
        self.entry = entry
        self.expires_ms = expires_ms


class Waiter:
    """A queued request, and the future that its polls wait on.

    :param host: the requesting host.
    :param entry: the :class:`~goldcrestmoor.request.queue_entry.Entry`.
    :param polled_ms: when the host last polled, on the clock's scale.
    """

    __slots__ = ("host", "entry", "polled_ms", "future")

    def __init__(self, host, entry, polled_ms):
        self.host = host
        self.entry = entry
        self.polled_ms = polled_ms
        self.future = asyncio.get_running_loop().create_future()


class Slots:
    """The outstanding grants and queued requests of one upstream.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param queue: the :class:`~goldcrestmoor.request.fair_queue.FairQueue`.
    """

    __slots__ = ("queue", "holders_by_id", "waiters_by_id", "_clock")

    def __init__(self, *, clock, queue):
        self.queue = queue
        self.holders_by_id = {}
        self.waiters_by_id = {}
        self._clock = clock

    @property
    def idle(self):
        """Whether there is neither a grant nor a queued request."""
        return not self.holders_by_id and not self.waiters_by_id

    def enqueue(self, host, entry):
        """Queue a request.

        :param host: the requesting host.
        :param entry: the :class:`~goldcrestmoor.request.queue_entry.Entry`.
        :return: its :class:`Waiter`.
        :raises ServiceError: ``OVERLOADED``.
        """
        self.queue.push(entry)
        waiter = Waiter(host, entry, self._clock.now_ms())
        self.waiters_by_id[entry.id] = waiter
        return waiter

    async def long_poll(self, waiter):
        """Wait for a short time until a queued request is granted or rejected.

        :param waiter: the :class:`Waiter`.
        :return: ``Granted`` or ``StillQueued``.
        :raises ServiceError: the error that the request was rejected with.
        """
        timeout_ms = min(LONG_POLL_MS, waiter.entry.deadline.remaining_ms())
        await asyncio.wait([waiter.future], timeout=timeout_ms / MS_PER_SECOND)
        if not waiter.future.done() and waiter.entry.deadline.passed():
            self.queue.remove(waiter.entry)
            self.reject(waiter.entry, ErrorKind.QUEUE_TIMEOUT)
        if not waiter.future.done():
            return StillQueued(len(self.queue))
        self.waiters_by_id.pop(waiter.entry.id, None)
        if waiter.future.cancelled():
            raise ServiceError(
                ErrorKind.QUEUE_TIMEOUT, "The queued request was cancelled."
            )
        return waiter.future.result()

    def grant_free_slots(self, capacity):
        """Grant free slots to the requests that go next.

        :param capacity: how many requests may run at a time.
        """
        self.reject_expired()
        while len(self.holders_by_id) < capacity:
            entry = self.queue.pop()
            if entry is None:
                return
            self.queue.record_start()
            self._grant(entry)

    def reject_expired(self):
        """Reject the queued requests whose deadline has passed."""
        for entry in self.queue.pop_expired():
            self.reject(entry, ErrorKind.QUEUE_TIMEOUT)

    def reject_all(self):
        """Reject every queued request: the upstream accepts no new requests."""
        for entry in self.queue.pop_all():
            self.reject(entry, ErrorKind.NO_UPSTREAM)

    def reject(self, entry, kind):
        """Reject a request that has been removed from the queue.

        :param entry: the request's entry.
        :param kind: the :class:`~goldcrestmoor.errors.ErrorKind`.
        """
        waiter = self.waiters_by_id.pop(entry.id, None)
        if waiter is None or waiter.future.done():
            return
        error = ServiceError(kind, "The upstream accepts no new requests.")
        if kind == ErrorKind.QUEUE_TIMEOUT:
            wait_ms = round(self.queue.expected_wait_ms(entry))
            after_ms = max(MIN_RETRY_AFTER_MS, wait_ms)
            error = ServiceError(kind, "No slot became available in time.", after_ms)
        waiter.future.set_exception(error)
        # Between two polls nothing waits on the future; reading the exception avoids
        # a warning that it was never retrieved.
        waiter.future.exception()

    def add_holder(self, host, entry):
        """Add a grant or extend it; it may have been given by a previous owner.

        :param host: the host that holds the grant.
        :param entry: the request's entry.
        """
        expires_ms = self._clock.now_ms() + GRANT_LIFETIME_MS
        self.holders_by_id[entry.id] = Holder(host, entry, expires_ms)

    def release(self, grant_id, used_tokens):
        """Release a slot, or cancel a queued request.

        :param grant_id: the grant's id.
        :param used_tokens: what the request actually cost, in tokens.
        :return: the entry that held the slot, or None.
        """
        waiter = self.waiters_by_id.get(grant_id)
        if waiter is not None:
            self._cancel_waiter(waiter)
        holder = self.holders_by_id.pop(grant_id, None)
        if holder is None:
            return None
        self.queue.record_usage(holder.entry, max(0, used_tokens))
        return holder.entry

    def drop_expired(self):
        """Drop grants and queued requests that their hosts no longer renew or poll."""
        now_ms = self._clock.now_ms()
        self._drop_holders(lambda holder: holder.expires_ms <= now_ms)
        self._drop_waiters(lambda waiter: waiter.polled_ms + POLL_EXPIRY_MS <= now_ms)

    def drop_hosts(self, is_dead):
        """Drop the grants and queued requests of dead hosts.

        :param is_dead: returns whether a host is dead.
        """
        self._drop_holders(lambda holder: is_dead(holder.host))
        self._drop_waiters(lambda waiter: is_dead(waiter.host))

    def _grant(self, entry):
        waiter = self.waiters_by_id.get(entry.id)
        if waiter is None or waiter.future.done():
            self.queue.record_usage(entry, 0)
            return
        self.add_holder(waiter.host, entry)
        queued_ms = self._clock.now_ms() - entry.queued_ms
        waiter.future.set_result(Granted(queued_ms))

    def _cancel_waiter(self, waiter):
        self.waiters_by_id.pop(waiter.entry.id, None)
        self.queue.remove(waiter.entry)
        waiter.future.cancel()

    def _drop_holders(self, should_drop):
        for grant_id, holder in list(self.holders_by_id.items()):
            if should_drop(holder):
                del self.holders_by_id[grant_id]
                self.queue.record_usage(holder.entry, holder.entry.cost_tokens)
                log.info(
                    "Grant of %s dropped: not renewed in time, or the host is dead.",
                    holder.host,
                )

    def _drop_waiters(self, should_drop):
        for waiter in list(self.waiters_by_id.values()):
            if should_drop(waiter):
                self._cancel_waiter(waiter)
