"""Which hosts a host watches, and when it removes the row of one that is gone.

Workload: a few hosts are lost and some hundred replaced on an ordinary day, racks and
zones at once; others are cut off, frozen or slow for seconds up to a minute, and must
keep their rows. A fleet may start with the rows of all hosts of an earlier one. A host
can't tell a lost host from one that is cut off from it, but the latter, if it reaches
the store, contradicts a mark in its row.
"""

import msgspec

from goldcrestmoor.util import rendezvous_order

# Live hosts that each host watches, so that each is watched by as many.
WATCHED_LIVE = 2
# Bounds the calls of a round, where many rows of lost hosts lie between live ones.
MAX_WATCHED = 16
# Several times as long as hosts are frozen or cut off when disturbed.
SUSPECT_MS = 30_000
REMOVE_MS = 90_000
# How much longer the second host that watches another waits, so that one alone writes.
RANK_MS = 20_000
# A release that writes its row only once doesn't contradict a mark.
REMOVE_UNMARKED_MS = 600_000


class Keep(msgspec.Struct, frozen=True):
    """Leave the row as it is."""


class Suspect(msgspec.Struct, frozen=True):
    """Mark the row; its host removes the mark if it lives."""


class Remove(msgspec.Struct, frozen=True):
    """Remove the row."""


def watched_hosts(hosts, host_id, silent):
    """Yield the hosts to watch, each with the watching host's rank.

    Hosts form a ring. A host watches those after it, up to the second live one; the
    next live host before another one has rank 0 for it.

    :param hosts: the registered hosts.
    :param host_id: the watching host.
    :param silent: those of them that gave no response when they were last called.
    """
    ring = rendezvous_order("ring", {*hosts, host_id})
    start = ring.index(host_id) + 1
    rank = 0
    for host in [*ring[start:], *ring[: start - 1]][:MAX_WATCHED]:
        yield host, rank
        if host not in silent:
            rank += 1
        if rank == WATCHED_LIVE:
            return


def next_step(row, silent_ms, rank, store_ms):
    """Return :class:`Keep`, :class:`Suspect` or :class:`Remove` for a host's row.

    :param row: its :class:`~goldcrestmoor.process.host_rows.HostRow`.
    :param silent_ms: for how long the host has given no response.
    :param rank: the watching host's rank.
    :param store_ms: the time, by the store's clock.
    """
    patience_ms = rank * RANK_MS
    if not row.started_ms:
        is_gone = silent_ms >= REMOVE_UNMARKED_MS + patience_ms
        return Remove() if is_gone else Keep()
    if silent_ms < SUSPECT_MS + patience_ms:
        return Keep()
    if not row.suspected_ms:
        return Suspect()
    marked_ms = store_ms - row.suspected_ms
    # The host that marked the row may have called its host for longer than this one.
    is_gone = min(marked_ms, silent_ms) >= REMOVE_MS + patience_ms
    return Remove() if is_gone else Keep()
