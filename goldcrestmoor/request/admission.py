"""The entry host's side of admission: get a slot, keep it, give it back."""

import asyncio
import collections
import contextlib
import logging

from goldcrestmoor import util
from goldcrestmoor.clock import MS_PER_SECOND
from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.request.admission_messages import (
    Acquire,
    Granted,
    HeldGrant,
    Release,
    RenewGrants,
)
from goldcrestmoor.request.slots import GRANT_LIFETIME_MS, LONG_POLL_MS

log = logging.getLogger("goldcrestmoor.admission")

RENEW_MS = GRANT_LIFETIME_MS // 4
RENEW_MIN_MS = 1000
CALL_TIMEOUT_MS = LONG_POLL_MS + 800
MAX_UNOWNED_PER_UPSTREAM = 2
NO_OWNER = ""


class Grant:
    """The right to use one slot of an upstream.

    :param id: its name, given by this host.
    :param upstream: the ``Upstream``.
    :param account: the account's name.
    :param cost_tokens: what the request is expected to cost, in tokens.
    :param owner: the host that granted it; empty when no owner could be asked.
    """

    __slots__ = ("id", "upstream", "account", "cost_tokens", "owner")

    def __init__(self, id, upstream, account, cost_tokens, owner):
        self.id = id
        self.upstream = upstream
        self.account = account
        self.cost_tokens = cost_tokens
        self.owner = owner


class AdmissionClient:
    """Ask the owners of upstreams for slots.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param host_id: this host.
    :param links: the ``PeerLinks``.
    :param ownership: the ``Ownership``.
    :param membership: the ``Membership``, or None.
    :param owner: this host's :class:`~.admission_owner.AdmissionOwner`.
    :param decisions: the :class:`~goldcrestmoor.process.decision_log.DecisionLog`.
    """

    __slots__ = (
        "_clock",
        "_host_id",
        "_links",
        "_ownership",
        "_membership",
        "_owner",
        "_decisions",
        "_grants_by_id",
        "_unowned_count_by_upstream",
        "_hosts_changed",
    )

    def __init__(
        self, *, clock, host_id, links, ownership, owner, decisions, membership=None
    ):
        self._clock = clock
        self._host_id = host_id
        self._links = links
        self._ownership = ownership
        self._membership = membership
        self._owner = owner
        self._decisions = decisions
        self._grants_by_id = {}
        self._unowned_count_by_upstream = collections.Counter()
        self._hosts_changed = asyncio.Event()
        if membership is not None:
            membership.on_change(self._hosts_changed.set)

    async def run(self):
        """Renew the held grants, until cancelled.

        A new owner of an upstream does not wait for the next renewal to learn
        what the one before it has granted.
        """
        while True:
            await self._clock.sleep_ms(RENEW_MIN_MS)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout((RENEW_MS - RENEW_MIN_MS) / MS_PER_SECOND):
                    await self._hosts_changed.wait()
            self._hosts_changed.clear()
            await self.renew()

    async def acquire(
        self, account, upstream, cost_tokens, deadline, request_id, alternatives=None
    ):
        """Wait for a slot.

        A request that has to queue is moved to another upstream whose owner has an
        idle slot; until then it keeps its place.

        :param account: the ``Account``.
        :param upstream: the ``Upstream``.
        :param cost_tokens: what the request is expected to cost, in tokens.
        :param deadline: when it must have started.
        :param request_id: the request.
        :param alternatives: gives the upstreams that would do as well, best first.
        :return: a :class:`Grant`, to be given back by :meth:`release`.
        :raises ServiceError: ``OVERLOADED``, ``QUEUE_TIMEOUT`` or ``NO_UPSTREAM``;
            the request was not run.
        """
        grant_id = f"{self._host_id}/{util.new_id()}"
        for owner in self._owners(upstream):
            grant = Grant(grant_id, upstream, account.name, cost_tokens, owner)
            acquiring = self._poll_owner(
                account, grant, deadline, request_id, alternatives
            )
            try:
                grant = await acquiring
            except ServiceError as e:
                if e.kind != ErrorKind.PEER_UNREACHABLE:
                    raise
                text = f"The owner {owner} of {upstream.name} does not answer."
                self._decisions.record("admission", request_id, text)
                continue
            self._grants_by_id[grant.id] = grant
            return grant
        return self._admit_without_owner(account, upstream, cost_tokens, request_id)

    def release(self, grant, used_tokens):
        """Give a slot back; a lost message is made good when the grant lapses.

        :param grant: the :class:`Grant`.
        :param used_tokens: what the request cost in the end, in tokens.
        """
        if grant.owner == NO_OWNER:
            self._unowned_count_by_upstream[grant.upstream.name] -= 1
            return
        if self._grants_by_id.pop(grant.id, None) is not None:
            self._send_release(grant, used_tokens)

    async def renew(self):
        """Tell each owner, in one message, which of its grants are still used."""
        held_by_owner = collections.defaultdict(list)
        for grant in self._grants_by_id.values():
            # A new owner is told as well, and so counts what the old one granted.
            owner = self._ownership.owner_of_upstream(grant.upstream) or grant.owner
            grant.owner = owner
            held = HeldGrant(
                grant.id, grant.upstream.name, grant.account, grant.cost_tokens
            )
            held_by_owner[owner].append(held)
        for owner, held in held_by_owner.items():
            message = RenewGrants(tuple(held))
            if owner == self._host_id:
                await self._owner.on_renew(owner, message)
            else:
                self._links.send(owner, message)

    def _owners(self, upstream):
        """Yield the hosts to ask, the second only when the first cannot be."""
        first = self._ownership.owner_of_upstream(upstream)
        if first:
            yield first
        if self._membership is None:
            return
        ids = [record.id for record in self._membership.live(upstream.zone)]
        others = [host for host in ids if host != first]
        if others:
            yield util.rendezvous(upstream.name, others)

    async def _poll_owner(self, account, grant, deadline, request_id, alternatives):
        """Poll an owner until it grants or refuses, and look for an idle slot."""
        tried = {grant.upstream.name}
        try:
            while True:
                message = _acquire_message(account, grant, deadline, request_id)
                answer = await self._call(grant.owner, message)
                if isinstance(answer, Granted):
                    self._record_granted(grant, answer, request_id)
                    return grant
                if deadline.passed():
                    raise ServiceError(
                        ErrorKind.QUEUE_TIMEOUT, "No slot came free in time."
                    )
                if alternatives is None:
                    continue
                moved = await self._try_alternative(
                    account, grant, deadline, request_id, alternatives, tried
                )
                if moved is not None:
                    self._send_release(grant, 0)
                    return moved
        except (ServiceError, asyncio.CancelledError):
            # The owner may have granted all the same, with the answer lost.
            self._send_release(grant, 0)
            raise

    async def _try_alternative(
        self, account, grant, deadline, request_id, alternatives, tried
    ):
        """Ask one other upstream's owner for an idle slot; return a grant or None."""
        candidates = list(alternatives())
        untried = [u for u in candidates if u.name not in tried]
        if not untried:
            # Each has been asked once: start over, as slots come free meanwhile.
            tried.clear()
            tried.add(grant.upstream.name)
            untried = [u for u in candidates if u.name not in tried]
        if not untried:
            return None
        upstream = untried[0]
        tried.add(upstream.name)
        owner = self._ownership.owner_of_upstream(upstream)
        if not owner:
            return None
        grant_id = f"{self._host_id}/{util.new_id()}"
        other = Grant(grant_id, upstream, account.name, grant.cost_tokens, owner)
        message = _acquire_message(account, other, deadline, request_id, False)
        try:
            answer = await self._call(owner, message)
        except ServiceError as e:
            if e.kind == ErrorKind.PEER_UNREACHABLE:
                self._send_release(other, 0)
            return None
        except asyncio.CancelledError:
            self._send_release(other, 0)
            raise
        if not isinstance(answer, Granted):
            self._send_release(other, 0)
            return None
        self._record_granted(other, answer, request_id)
        return other

    def _record_granted(self, grant, answer, request_id):
        name, waited_ms = grant.upstream.name, answer.queued_ms
        text = f"{grant.owner} granted {name} after {waited_ms} ms."
        self._decisions.record("admission", request_id, text)

    async def _call(self, owner, message):
        if owner == self._host_id:
            return await self._owner.on_acquire(owner, message)
        return await self._links.call(owner, message, CALL_TIMEOUT_MS)

    def _send_release(self, grant, used_tokens):
        message = Release(grant.id, grant.upstream.name, used_tokens)
        if grant.owner == self._host_id:
            self._owner.release(message)
        else:
            self._links.send(grant.owner, message)

    def _admit_without_owner(self, account, upstream, cost_tokens, request_id):
        used = self._unowned_count_by_upstream[upstream.name]
        if used >= MAX_UNOWNED_PER_UPSTREAM:
            text = f"No owner of {upstream.name} can be asked."
            raise ServiceError(ErrorKind.OVERLOADED, text)
        self._unowned_count_by_upstream[upstream.name] = used + 1
        text = f"Admitted to {upstream.name} here, since no owner can be asked."
        self._decisions.record("admission", request_id, text)
        return Grant(util.new_id(), upstream, account.name, cost_tokens, NO_OWNER)


def _acquire_message(account, grant, deadline, request_id, may_queue=True):
    return Acquire(
        grant.id,
        grant.upstream.name,
        account.name,
        account.kind,
        account.share,
        grant.cost_tokens,
        deadline.remaining_ms(),
        request_id,
        may_queue,
    )
