"""What entry hosts and the owners of upstreams say to each other."""

import msgspec

from goldcrestmoor import wire


class Acquire(wire.Message, frozen=True, array_like=True):
    """Ask for a slot; said again with the same id while the answer is to wait.

    :param grant_id: the asked grant, named by the entry host.
    :param upstream: the upstream's name.
    :param account: the account's name.
    :param kind: the account's kind.
    :param share: the account's weight.
    :param cost_tokens: what the request is expected to cost, in tokens.
    :param remaining_ms: the time in which it must have started, in milliseconds.
    :param request_id: the request.
    :param may_queue: whether it may wait; else it is refused unless a slot is idle.
    """

    grant_id: str
    upstream: str
    account: str
    kind: str
    share: int
    cost_tokens: int
    remaining_ms: int
    request_id: str = ""
    may_queue: bool = True


class Granted(wire.Message, frozen=True, array_like=True):
    """The slot may be used, while it is renewed.

    :param queued_ms: how long the request waited, in milliseconds.
    """

    queued_ms: int = 0


class StillQueued(wire.Message, frozen=True, array_like=True):
    """The request waits; ask again.

    :param position: how many requests wait at this owner.
    """

    position: int = 0


class Release(wire.Message, frozen=True, array_like=True):
    """A slot is free again, or a queued request is given up.

    :param grant_id: the grant.
    :param upstream: the upstream's name.
    :param used_tokens: what the request cost in the end, in tokens.
    """

    grant_id: str
    upstream: str
    used_tokens: int


class HeldGrant(msgspec.Struct, frozen=True, array_like=True):
    """A grant that an entry host still uses.

    :param grant_id: the grant.
    :param upstream: the upstream's name.
    :param account: the account's name.
    :param cost_tokens: what it is expected to cost, in tokens.
    """

    grant_id: str
    upstream: str
    account: str
    cost_tokens: int


class RenewGrants(wire.Message, frozen=True, array_like=True):
    """Every grant that a host holds from one owner.

    An owner that does not know one, since it has just become the owner, counts it
    from then on.

    :param held: the grants.
    """

    held: tuple[HeldGrant, ...]
