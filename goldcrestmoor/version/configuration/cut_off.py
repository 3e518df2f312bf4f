"""The part of a configuration that applies on a host whose lease has expired.

The part contains the accounts that may be served meanwhile, with their cut-off share
and staleness bound instead of the ordinary ones, and the location of each upstream.
It omits slots, fencing and draining: the first two are not guaranteed to anyone, and
draining must be possible while a zone is partitioned.
"""

import msgspec

from goldcrestmoor.version.configuration.document import (
    Account,
    DeliveryRules,
    VersionChangePolicy,
)


class UpstreamLocation(msgspec.Struct, frozen=True):
    """The network location of an upstream.

    :param pool: its pool's name.
    :param address: its IP address.
    :param port: its TCP port.
    """

    pool: str
    address: str
    port: int


class CutOffPart(msgspec.Struct, frozen=True):
    """The accounts and upstreams of a host whose lease has expired.

    :param accounts_by_name: the accounts that the host serves, under cut-off terms.
    :param places_by_upstream: the upstreams that the host may use.
    """

    accounts_by_name: dict[str, Account] = {}
    places_by_upstream: dict[str, UpstreamLocation] = {}


class Proposal(msgspec.Struct, frozen=True):
    """Changes of the part that may take effect with the version after ``base``.

    Only changed and removed entries are listed; additions are harmless on a host
    that does not have them.

    :param token: the token of the write that would apply the changes.
    :param base: the version that the write is based on.
    :param accounts_by_name: accounts with their new terms; None when no longer
        served.
    :param places_by_upstream: upstreams with their new locations; None when dropped.
    :param number: the version of the row that stores the proposal; of two proposals
        with the same base, only the one with the higher number can take effect.
    """

    token: str
    base: int
    accounts_by_name: dict[str, Account | None] = {}
    places_by_upstream: dict[str, UpstreamLocation | None] = {}
    number: int = 0

    def is_empty(self):
        """Return whether nothing changes for hosts whose lease has expired."""
        return not self.accounts_by_name and not self.places_by_upstream


def cut_off_part(configuration):
    """Return the part of a configuration for hosts whose lease has expired.

    :param configuration: a ``Configuration``.
    """
    accounts = (a for a in configuration.accounts_by_name.values() if a.cut_off.serve)
    upstreams = configuration.upstreams_by_name.values()
    return CutOffPart(
        {account.name: _with_cut_off_terms(account) for account in accounts},
        {u.name: UpstreamLocation(u.pool, u.address, u.port) for u in upstreams},
    )


def make_proposal(token, base, old, new):
    """Return the changes that hosts must acknowledge before they take effect.

    :param token: the token of the write that will apply the changes.
    :param base: the version that the write is based on.
    :param old: the current :class:`CutOffPart`.
    :param new: the part after the change.
    :return: a :class:`Proposal`.
    """
    return Proposal(
        token,
        base,
        _changed_items(old.accounts_by_name, new.accounts_by_name),
        _changed_items(old.places_by_upstream, new.places_by_upstream),
    )


def intersect(part, proposal):
    """Return the part that both a part and a proposal allow.

    :param part: a :class:`CutOffPart`.
    :param proposal: a :class:`Proposal`.
    """
    accounts = dict(part.accounts_by_name)
    for name in proposal.accounts_by_name.keys() & accounts.keys():
        stricter = _stricter_account(
            accounts.pop(name), proposal.accounts_by_name[name]
        )
        if stricter is not None:
            accounts[name] = stricter
    locations = {
        name: location
        for name, location in part.places_by_upstream.items()
        if proposal.places_by_upstream.get(name, location) == location
    }
    return CutOffPart(accounts, locations)


def expired_lease_configuration(configuration, proposals=()):
    """Return the configuration that applies while a host's lease is expired.

    :param configuration: the newest configuration that the host has adopted.
    :param proposals: the proposals that the host has acknowledged and that may
        have taken effect since.
    """
    part = cut_off_part(configuration)
    for proposal in proposals:
        part = intersect(part, proposal)
    upstreams = {
        name: upstream
        for name, upstream in configuration.upstreams_by_name.items()
        if name in part.places_by_upstream
    }
    return msgspec.structs.replace(
        configuration,
        accounts_by_name=part.accounts_by_name,
        upstreams_by_name=upstreams,
    )


def _changed_items(old, new):
    return {name: new.get(name) for name, item in old.items() if new.get(name) != item}


def _with_cut_off_terms(account):
    return msgspec.structs.replace(
        account,
        share=account.cut_off.share,
        staleness_bound=account.cut_off.staleness_bound,
    )


def _stricter_account(first, second):
    if second is None:
        return None
    # The host cannot determine which of two tokens, kinds or zones is current, and
    # no choice is correct under both.
    if (first.kind, first.token_hash, first.zone) != (
        second.kind,
        second.token_hash,
        second.zone,
    ):
        return None
    terms = msgspec.structs.replace(
        first.cut_off,
        share=min(first.share, second.share),
        staleness_bound=min(first.staleness_bound, second.staleness_bound),
    )
    merged = msgspec.structs.replace(
        first,
        pools=tuple(pool for pool in first.pools if pool in second.pools),
        delivery=_stricter_delivery(first.delivery, second.delivery),
        cut_off=terms,
    )
    return _with_cut_off_terms(merged)


def _stricter_delivery(first, second):
    policy = first.on_version_change
    if policy != second.on_version_change:
        policy = VersionChangePolicy.CANCEL
    return DeliveryRules(hedge=first.hedge and second.hedge, on_version_change=policy)
