"""Which upstream of a pool a request goes to."""

import collections
import itertools
import random

import msgspec

from goldcrestmoor import util
from goldcrestmoor.errors import ErrorKind, ServiceError

PERCENT = 100


class LeastLoaded(msgspec.Struct, frozen=True):
    """Take the upstream with the fewest requests of this host per slot.

    Among equals the own zone goes first.
    """


class PrefixAffinity(msgspec.Struct, frozen=True):
    """Keep a prefix on one upstream while its load is not far above the mean.

    :param max_load_percent: the bound on its load, in percent of the mean.
    """

    max_load_percent: int = 125


class TwoChoices(msgspec.Struct, frozen=True):
    """Take the less loaded of two upstreams drawn at random.

    They are drawn from the own zone while it has a free slot, since the way to
    another zone would show in a short request.
    """


class RoundRobin(msgspec.Struct, frozen=True):
    """Take one upstream after the other."""


class Placement:
    """Choose upstreams by a policy, from those that may take new work.

    :param zone: this host's availability zone.
    :param lease: gives the
        :class:`~goldcrestmoor.version.configuration.document.ConfigurationView`.
    :param policy: one of the policies of this module.
    :param health: an ``UpstreamHealth``, or None.
    :param is_leaving: tells whether the host list names an upstream as leaving.
    :param is_zone_live: tells whether a zone has hosts that answer this one.
    """

    __slots__ = (
        "in_flight_by_upstream",
        "_zone",
        "_lease",
        "_policy",
        "_health",
        "_is_leaving",
        "_is_zone_live",
        "_round_robin",
    )

    def __init__(
        self, *, zone, lease, policy, health=None, is_leaving=None, is_zone_live=None
    ):
        self._zone = zone
        self._lease = lease
        self._policy = policy
        self._health = health
        self._is_leaving = is_leaving or (lambda name: False)
        self._is_zone_live = is_zone_live or (lambda zone: True)
        self._round_robin = itertools.count()
        self.in_flight_by_upstream = collections.Counter()

    def choose(self, pool, prefix_key="", avoid=(), may_probe=True):
        """Return the upstream that a request goes to.

        :param pool: the pool's name.
        :param prefix_key: what requests with a common prefix share, if anything.
        :param avoid: names of upstreams to pass over.
        :param may_probe: whether the request may be the one that tries an unhealthy
            upstream again.
        :raises ServiceError: ``NO_UPSTREAM`` when none may take new work.
        """
        usable = self.usable(pool, avoid)
        due_probe = self._due_probe(pool, avoid, usable) if may_probe else None
        if due_probe is not None:
            return due_probe
        if not usable:
            text = f"No upstream of {pool} takes new work."
            raise ServiceError(ErrorKind.NO_UPSTREAM, text)
        match self._policy:
            case PrefixAffinity(max_load_percent) if prefix_key:
                return self._by_prefix(usable, prefix_key, max_load_percent)
            case TwoChoices():
                candidates = self._local_with_free_slot(usable)
                sampled = random.sample(candidates, min(2, len(candidates)))
                return min(sampled, key=self._load)
            case RoundRobin():
                return usable[next(self._round_robin) % len(usable)]
            case _:
                return self._least_loaded(usable)

    def usable(self, pool, avoid=()):
        """Return the upstreams that may take new work, of all zones that answer.

        :param pool: the pool's name.
        :param avoid: names of upstreams to pass over.
        """
        accepting = self._accepting(pool, avoid)
        if self._health is not None:
            names = set(self._health.usable([u.name for u in accepting]))
            accepting = [u for u in accepting if u.name in names]
        # A zone whose hosts are all silent is most likely cut off from this one.
        return [u for u in accepting if self._is_reachable(u)] or accepting

    def alternatives(self, pool, avoid=()):
        """Yield upstreams that a queued request may be moved to, least loaded first.

        :param pool: the pool's name.
        :param avoid: names of upstreams to pass over.
        """
        usable = self.usable(pool, avoid)
        yield from sorted(usable, key=lambda u: (self._load(u), random.random()))

    def accepts_requests(self, name):
        """Tell whether an upstream may be sent new work at this moment.

        :param name: the upstream's name.
        """
        upstream = self._lease.view().configuration.upstreams_by_name.get(name)
        return upstream is not None and self._accepts_requests(upstream)

    def begin(self, upstream):
        """Count a request of this host on an upstream."""
        self.in_flight_by_upstream[upstream.name] += 1

    def end(self, upstream):
        """Count it no longer."""
        self.in_flight_by_upstream[upstream.name] -= 1
        if self.in_flight_by_upstream[upstream.name] <= 0:
            del self.in_flight_by_upstream[upstream.name]

    def _accepting(self, pool, avoid):
        members = self._lease.view().configuration.upstreams_of(pool)
        return [u for u in members if self._accepts_requests(u) and u.name not in avoid]

    def _due_probe(self, pool, avoid, usable):
        """Return an unhealthy upstream whose time to be tried again has come."""
        if self._health is None:
            return None
        names = {u.name for u in usable}
        for upstream in self._accepting(pool, avoid):
            if upstream.name in names or not self._is_reachable(upstream):
                continue
            if self._health.try_probe(upstream.name):
                return upstream
        return None

    def _is_reachable(self, upstream):
        return upstream.zone == self._zone or self._is_zone_live(upstream.zone)

    def _local_with_free_slot(self, usable):
        own = [u for u in usable if u.zone == self._zone and self._load(u) < 1]
        return own or usable

    def _accepts_requests(self, upstream):
        return not upstream.draining and not self._is_leaving(upstream.name)

    def _load(self, upstream):
        return self.in_flight_by_upstream[upstream.name] / max(1, upstream.slots)

    def _least_loaded(self, usable):
        # Ties are broken at random, lest every host start with the same upstream.
        return min(
            usable,
            key=lambda u: (self._load(u), u.zone != self._zone, random.random()),
        )

    def _by_prefix(self, usable, prefix_key, max_load_percent):
        by_name = {u.name: u for u in usable}
        total = sum(self.in_flight_by_upstream[name] for name in by_name) + 1
        mean = total / len(by_name)
        for name in util.rendezvous_order(prefix_key, by_name):
            load = self.in_flight_by_upstream[name] + 1
            if load <= max(1, mean * max_load_percent / PERCENT):
                return by_name[name]
        return self._least_loaded(usable)
