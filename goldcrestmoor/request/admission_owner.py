"""The owner's side of admission: grants the slots of upstreams to requests."""

import logging

from goldcrestmoor import tracing
from goldcrestmoor.clock import Deadline
from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.request.admission_messages import (
    Acquire,
    Granted,
    Release,
    RenewGrants,
)
from goldcrestmoor.request.fair_queue import WEIGHTED_FAIR, FairQueue
from goldcrestmoor.request.queue_entry import Entry
from goldcrestmoor.request.slots import GRANT_LIFETIME_MS, Slots
from goldcrestmoor.wire import Done

log = logging.getLogger("goldcrestmoor.admission")

CLEANUP_INTERVAL_MS = 200
DEAD = "dead"


class AdmissionOwner:
    """Admit requests to the upstreams that this host owns.

    The owner counts its own grants, because an upstream reports its load too late.
    A host admits requests to any upstream on request, without a check that it is the
    owner: hosts that disagree on the owner may over-admit for a short time.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param lease: provides the
        :class:`~goldcrestmoor.version.configuration.document.ConfigurationView`.
    :param settings: the :class:`~goldcrestmoor.settings.LimitSettings`.
    :param links: the ``PeerLinks``.
    :param membership: the ``Membership``, or None.
    :param is_leaving: returns whether the host list marks an upstream as leaving.
    :param order: the order of the queues, from :mod:`goldcrestmoor.request.fair_queue`.
    :param rejects_early: whether a request that can't be served in time is rejected
        on arrival.
    :param metrics: the :class:`~goldcrestmoor.process.metrics.Metrics`.
    :param decisions: the :class:`~goldcrestmoor.process.decision_log.DecisionLog`.
    """

    __slots__ = (
        "_clock",
        "_lease",
        "_settings",
        "_membership",
        "_is_leaving",
        "_order",
        "_rejects_early",
        "_metrics",
        "_decisions",
        "_slots_by_upstream",
    )

    def __init__(
        self,
        *,
        clock,
        lease,
        settings,
        links,
        metrics,
        decisions,
        membership=None,
        is_leaving=None,
        order=WEIGHTED_FAIR,
        rejects_early=True,
    ):
        self._clock = clock
        self._lease = lease
        self._settings = settings
        self._membership = membership
        self._is_leaving = is_leaving or (lambda name: False)
        self._order = order
        self._rejects_early = rejects_early
        self._metrics = metrics
        self._decisions = decisions
        self._slots_by_upstream = {}
        links.register(Acquire, self.on_acquire)
        links.register(Release, self.on_release)
        links.register(RenewGrants, self.on_renew)
        if membership is not None:
            membership.on_change(self._on_membership)

    async def run(self):
        """Clean up periodically, until cancelled."""
        while True:
            await self._clock.sleep_ms(CLEANUP_INTERVAL_MS)
            self.clean_up()

    def in_flight(self, upstream):
        """Return the number of outstanding grants of an upstream.

        :param upstream: the upstream's name.
        """
        slots = self._slots_by_upstream.get(upstream)
        return len(slots.holders_by_id) if slots else 0

    def queued(self, upstream):
        """Return the number of requests queued for an upstream.

        :param upstream: the upstream's name.
        """
        slots = self._slots_by_upstream.get(upstream)
        return len(slots.queue) if slots else 0

    async def on_acquire(self, sender, message):
        """Handle an :class:`Acquire`: grant a slot, or hold the poll for a short time.

        :param sender: the requesting host.
        :param message: the :class:`Acquire`.
        :return: :class:`Granted` or ``StillQueued``.
        :raises ServiceError: ``NO_UPSTREAM``, ``OVERLOADED`` or ``QUEUE_TIMEOUT``.
        """
        with tracing.span("admit", upstream=message.upstream, account=message.account):
            name = message.upstream
            if not self._accepts_requests(name):
                text = f"{name} accepts no new requests."
                raise ServiceError(ErrorKind.NO_UPSTREAM, text)
            slots = self._get_slots(name)
            if message.grant_id in slots.holders_by_id:
                return Granted()
            waiter = slots.waiters_by_id.get(message.grant_id)
            if waiter is None:
                if not message.may_queue and not self._has_idle_slot(name, slots):
                    text = f"{name} has no idle slot."
                    raise ServiceError(ErrorKind.OVERLOADED, text)
                # A request that starts too late to end in time would waste tokens.
                remaining_ms = min(
                    slots.queue.max_wait_ms(message.account, message.remaining_ms),
                    self._settings.queue_timeout_ms,
                )
                entry = self._make_entry(
                    message.grant_id,
                    message.account,
                    message.cost_tokens,
                    remaining_ms,
                    message.kind,
                    message.share,
                )
                waiter = slots.enqueue(sender, entry)
                self._grant_free_slots(name, slots)
            waiter.polled_ms = self._clock.now_ms()
            answer = await slots.long_poll(waiter)
            if isinstance(answer, Granted):
                text = f"Granted {name} to {sender} after {answer.queued_ms} ms."
                self._decisions.record("admission", message.request_id, text)
            return answer

    async def on_release(self, sender, message):
        """Handle a :class:`Release` from another host.

        :param sender: the host that held the grant.
        :param message: the :class:`Release`.
        """
        self.release(message)

    def release(self, message):
        """Release a slot, or cancel a queued request.

        :param message: the :class:`Release`.
        """
        slots = self._slots_by_upstream.get(message.upstream)
        if slots is None:
            return
        entry = slots.release(message.grant_id, message.used_tokens)
        if entry is not None:
            used = max(0, message.used_tokens)
            self._metrics.share_used_tokens.labels(entry.account).inc(used)
        self._grant_free_slots(message.upstream, slots)

    async def on_renew(self, sender, message):
        """Extend the grants that a host holds.

        :param sender: the host that holds them.
        :param message: the :class:`RenewGrants`.
        :return: :class:`~goldcrestmoor.wire.Done`.
        """
        upstreams = self._lease.view().configuration.upstreams_by_name
        for held in message.held:
            if held.upstream not in upstreams:
                continue
            slots = self._get_slots(held.upstream)
            holder = slots.holders_by_id.get(held.grant_id)
            entry = holder.entry if holder else None
            if entry is None:
                entry = self._make_entry(
                    held.grant_id, held.account, held.cost_tokens, GRANT_LIFETIME_MS
                )
            slots.add_holder(sender, entry)
        return Done()

    def clean_up(self):
        """Drop expired grants and polls, and reject requests that cannot be served."""
        upstreams = self._lease.view().configuration.upstreams_by_name
        for name, slots in list(self._slots_by_upstream.items()):
            slots.drop_expired()
            slots.reject_expired()
            if not self._accepts_requests(name):
                slots.reject_all()
            self._grant_free_slots(name, slots)
            if slots.idle and name not in upstreams:
                del self._slots_by_upstream[name]

    def _on_membership(self):
        """Drop the grants and queued requests of dead hosts."""
        for name, slots in list(self._slots_by_upstream.items()):
            slots.drop_hosts(self._is_dead)
            self._grant_free_slots(name, slots)

    def _is_dead(self, host):
        record = self._membership.find(host)
        return record is not None and str(record.state) == DEAD

    def _accepts_requests(self, name):
        upstream = self._lease.view().configuration.upstreams_by_name.get(name)
        if upstream is None or upstream.draining:
            return False
        return not self._is_leaving(name)

    def _get_slots(self, name):
        if name not in self._slots_by_upstream:
            queue = FairQueue(
                clock=self._clock,
                max_length=self._settings.max_queue_per_upstream,
                floor_percent=self._settings.application_floor_percent,
                order=self._order,
                rejects_early=self._rejects_early,
            )
            self._slots_by_upstream[name] = Slots(clock=self._clock, queue=queue)
        return self._slots_by_upstream[name]

    def _has_idle_slot(self, name, slots):
        upstreams = self._lease.view().configuration.upstreams_by_name
        capacity = upstreams[name].slots
        return not slots.waiters_by_id and len(slots.holders_by_id) < capacity

    def _make_entry(
        self, grant_id, account, cost_tokens, remaining_ms, kind="", share=1
    ):
        known = self._lease.view().configuration.accounts_by_name.get(account)
        if known is not None:
            # The owner's configuration takes precedence over the entry host's message.
            kind, share = known.kind, known.share
        deadline = Deadline.after(self._clock, remaining_ms)
        now_ms = self._clock.now_ms()
        return Entry(grant_id, account, kind, share, cost_tokens, deadline, now_ms)

    def _grant_free_slots(self, name, slots):
        if self._accepts_requests(name):
            upstreams = self._lease.view().configuration.upstreams_by_name
            slots.grant_free_slots(upstreams[name].slots)
        self._metrics.in_flight.labels(name).set(len(slots.holders_by_id))
        self._metrics.queue_length.labels(name).set(len(slots.queue))
        self._metrics.queue_age_ms.labels(name).set(slots.queue.oldest_wait_ms())
