"""Choice of the host that relays this host's calls to the store.

Workload: one or a few hosts cannot reach the store for seconds, while they reach the
other hosts, the upstreams and their callers. Without a relay, the host that runs a
model's jobs would lose its duty, and its successor would have to read the state,
reconnect and produce again what was not stored. A host whose requests the store itself
rejects does not use a relay.
"""

# A store that rejected a call this recently is reachable, but rejects this host.
REJECTION_WINDOW_MS = 1500


def choose_relay(own_zone, statuses, rejection_age_ms):
    """Return the status of the host to relay calls through, or None.

    :param own_zone: this host's availability zone; traffic within it is cheapest.
    :param statuses: the :class:`~goldcrestmoor.process.readiness.PeerStatus` of each
        host that answered.
    :param rejection_age_ms: the time since the store last rejected a call of this host,
        or None.
    """
    if rejection_age_ms is not None and rejection_age_ms < REJECTION_WINDOW_MS:
        return None
    candidates = [status for status in statuses if status.reaches_store]
    candidates.sort(key=lambda status: status.zone != own_zone)
    return candidates[0] if candidates else None
