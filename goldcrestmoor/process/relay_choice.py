"""Which host passes this host's calls on to the store.

The load this answers: one or a few hosts cannot reach the store for seconds, while
they reach the other hosts, the upstreams and their callers. The host that runs a
model's jobs would lose its duty, and its successor reads, connects and makes anew what
was not kept. A host that the store itself turns away does not go round it.
"""

# A store that refused a call this lately is reached; it does not want this host.
REJECTION_WINDOW_MS = 1500


def choose_relay(own_zone, statuses, rejection_age_ms):
    """Return the view of the host to send calls to, or None.

    :param own_zone: this host's availability zone; bytes within it cost least.
    :param statuses: the :class:`~goldcrestmoor.process.readiness.PeerStatus` of each
        host that answered.
    :param rejection_age_ms: the time since the store last refused a call of this host,
        or None.
    """
    if rejection_age_ms is not None and rejection_age_ms < REJECTION_WINDOW_MS:
        return None
    candidates = [status for status in statuses if status.reaches_store]
    candidates.sort(key=lambda status: status.zone != own_zone)
    return candidates[0] if candidates else None
