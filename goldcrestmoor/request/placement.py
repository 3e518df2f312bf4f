"""Placement of requests: which upstream of a pool a request goes to."""

import collections
import itertools
import random

import msgspec

from goldcrestmoor import util
from goldcrestmoor.errors import ErrorKind, ServiceError

PERCENT = 100


class LeastLoaded(msgspec.Struct, frozen=True):
    """Take the upstream with the fewest requests from this host per slot.

    Ties are broken in favour of this host's zone.
    """


class PrefixAffinity(msgspec.Struct, frozen=True):
    """Keep a prefix on one upstream while the upstream's load is near the mean.

    :param max_load_percent: the maximum load of that upstream, in percent of the mean.
    """

    max_load_percent: int = 125


class TwoChoices(msgspec.Struct, frozen=True):
    """Take the less loaded of two upstreams chosen at random.

    They are chosen from this host's zone while that has a free slot, because the
    latency to another zone matters for a short request.
    """


class RoundRobin(msgspec.Struct, frozen=True):
    """Take the upstreams in turn."""


class Placement:
    """Choose upstreams by a policy, from those that accept new requests.

    :param zone: this host's availability zone.
    :param lease: provides the
        :class:`~goldcrestmoor.version.configuration.document.ConfigurationView`.
    :param policy: one of the policies of this module.
    :param health: an ``UpstreamHealth``, or None.
    :param is_leaving: returns whether the host list marks an upstream as leaving.
    :param is_zone_live: returns whether this host can reach any host of a zone.
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
        :param prefix_key: a key common to requests that share a prefix, or empty.
        :param avoid: names of upstreams to skip.
        :param may_probe: whether the request may be used to probe an unhealthy
            upstream.
        :raises ServiceError: ``NO_UPSTREAM`` when no upstream accepts new requests.
        """
        usable = self.usable(pool, avoid)
        due_probe = self._due_probe(pool, avoid, usable) if may_probe else None
        if due_probe is not None:
            return due_probe
        if not usable:
            text = f"No upstream of {pool} accepts new requests."
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
        """Return the healthy upstreams that accept new requests, of live zones if any.

        :param pool: the pool's name.
        :param avoid: names of upstreams to skip.
        """
        accepting = self._accepting(pool, avoid)
        if self._health is not None:
            names = set(self._health.usable([u.name for u in accepting]))
            accepting = [u for u in accepting if u.name in names]
        # A zone whose hosts are all unreachable is most likely partitioned.
        return [u for u in accepting if self._is_reachable(u)] or accepting

    def alternatives(self, pool, avoid=()):
        """Yield upstreams that a queued request may be moved to, least loaded first.

        :param pool: the pool's name.
        :param avoid: names of upstreams to skip.
        """
        usable = self.usable(pool, avoid)
        yield from sorted(usable, key=lambda u: (self._load(u), random.random()))

    def accepts_requests(self, name):
        """Return whether an upstream currently accepts new requests.

        :param name: the upstream's name.
        """
        upstream = self._lease.view().configuration.upstreams_by_name.get(name)
        return upstream is not None and self._accepts_requests(upstream)

    def begin(self, upstream):
        """Count a request from this host as in flight on an upstream."""
        self.in_flight_by_upstream[upstream.name] += 1

    def end(self, upstream):
        """Count a request from this host on an upstream as ended."""
        self.in_flight_by_upstream[upstream.name] -= 1
        if self.in_flight_by_upstream[upstream.name] <= 0:
            del self.in_flight_by_upstream[upstream.name]

    def _accepting(self, pool, avoid):
        members = self._lease.view().configuration.upstreams_of(pool)
        return [u for u in members if self._accepts_requests(u) and u.name not in avoid]

    def _due_probe(self, pool, avoid, usable):
        """Return an unhealthy upstream that is due for a probe, or None."""
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
        # Ties are broken at random, so that not every host starts with the same
        # upstream.
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
