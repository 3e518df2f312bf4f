"""Which hosts are asked for newer configuration, and whether old keys are trusted.

Workload: the store rejects one host, most hosts of a fleet of 350, or all of them, for
seconds, while the operator withdraws and adds API keys. The few hosts that the store
still serves are asked by all others at once. Each host asks at most three a second, of
different availability zones, so that a change spreads through hosts that have learned
it. It prefers a host whose feed is current, but in large fleets only now and then: no
host gets all requests of the others.
"""

import random
from collections import Counter

import msgspec

from goldcrestmoor.util import rendezvous_order

# Hosts that reply in one round. A round takes a second, so this bounds the requests
# that a fleet serves in an outage.
MAX_ASKED = 3
# How often hosts that give no reply are replaced by others within a round; half of all
# hosts may be gone.
MAX_REPLACEMENTS = 2
# Requests a second that one host gets because the others prefer it, on average. With
# the random ones they take a small host a few percent of its processor time.
MAX_PREFERRED_PER_S = 20
# How long a reply counts; the store serves or rejects a host for seconds.
REPLY_VALID_MS = 5000
# Two missed answers of the feed.
SILENT_MS = 1000
# An answer of the feed that is this much older than its arrival waited in the buffers
# of a process that was frozen.
FROZEN_MS = 2000
# Hosts that each host introduces itself to, in turns; a few of them may be down.
SUCCESSORS = 3


class PeerReply(msgspec.Struct, frozen=True):
    """What came of the last request to a host.

    :param at_ms: when it was sent.
    :param has_replied: whether the host replied.
    :param is_current: whether the store answered the host's own feed just before.
    """

    at_ms: int
    has_replied: bool
    is_current: bool


def is_silent(feed_age_ms, rows_age_ms):
    """Return whether the feed is silent, so that other hosts are asked.

    :param feed_age_ms: the time since the feed's last answer, or since the start.
    :param rows_age_ms: the time since the rows were surely complete, or None if never.
    """
    return feed_age_ms >= SILENT_MS or (rows_age_ms or 0) >= FROZEN_MS


def may_trust(age_ms, max_age_ms):
    """Return whether keys that the configuration holds may be accepted.

    :param age_ms: the age of the configuration, or None if there is none.
    :param max_age_ms: the greatest age, or None where keys are trusted at any age.
    """
    return max_age_ms is None or (age_ms is not None and age_ms <= max_age_ms)


def choose_successor(hosts, host_id, turn):
    """Return the host that this host introduces itself to, or None.

    Hosts form a ring, so that each gets about as many introductions as it sends.

    :param hosts: the registered hosts.
    :param host_id: this host.
    :param turn: counts the introductions of this host.
    """
    # Their order by hash mixes the zones.
    ring = rendezvous_order("ring", {*hosts, host_id})
    start = ring.index(host_id) + 1
    successors = [*ring[start:], *ring[: start - 1]][:SUCCESSORS]
    return successors[turn % len(successors)] if successors else None


def choose_peers(
    zone_by_host, host_id, reply_by_host, asked, now_ms, rng=random, count=MAX_ASKED
):
    """Return the hosts to ask at a time.

    :param zone_by_host: the availability zone of each host.
    :param host_id: this host.
    :param reply_by_host: the :class:`PeerReply` of hosts that were asked before.
    :param asked: the hosts asked in the previous round, and in this one so far.
    :param now_ms: the current time.
    :param rng: the source of randomness.
    :param count: how many to ask at most.
    """
    others = sorted(host for host in zone_by_host if host != host_id)
    rng.shuffle(others)
    recent = {
        host: reply
        for host, reply in reply_by_host.items()
        if now_ms - reply.at_ms < REPLY_VALID_MS
    }
    chosen = []
    current = [
        host
        for host in others
        if host in recent and recent[host].is_current and host not in asked
    ]
    # If all hosts know the same ones, each of these gets the bound on average.
    if current and rng.random() * len(others) < MAX_PREFERRED_PER_S * len(current):
        chosen.append(current[0])
    count_by_zone = Counter(zone_by_host[host] for host in chosen)

    def rank(host):
        is_failed = host in recent and not recent[host].has_replied
        return is_failed, count_by_zone[zone_by_host[host]], host in asked

    while len(chosen) < min(count, len(others)):
        best = min((host for host in others if host not in chosen), key=rank)
        chosen.append(best)
        count_by_zone[zone_by_host[best]] += 1
    return chosen
