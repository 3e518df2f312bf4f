"""Selection of the reward calls to send next, and of the server for each.

Workload: the texts of a step complete over a few seconds, in bursts of dozens when the
engines stream evenly, or all at once after an outage of the scoring service. That
service also answers people's lookups, which take a tenth of the time of a reward call
and are due sooner. So calls leave a slot of every server free, hosts that run jobs of
different models divide the other slots, and the waiting calls go by due time of their
step first, then by how few scores their group lacks: a group counts only when whole.
"""

import msgspec

from goldcrestmoor.request.upstream_choice import choose_upstream

# Slots of each server that reward calls leave to other requests.
RESERVED_SLOTS = 1


class WaitingCall(msgspec.Struct, frozen=True):
    """A reward call that may be sent now.

    :param job_id: the job of the item.
    :param item_id: the item whose text it scores.
    :param priority: the priority of its job; 0 is the most urgent.
    :param due_ms: when its step is due.
    :param group_missing: the number of items of its group that have no score yet.
    :param waiting_since_ms: when its text was complete.
    """

    job_id: str
    item_id: str
    priority: int
    due_ms: float
    group_missing: int
    waiting_since_ms: float


def order_calls(calls):
    """Return waiting calls in the order in which to send them.

    :param calls: an iterable of :class:`WaitingCall`.
    """
    return sorted(
        calls,
        key=lambda call: (
            call.priority,
            call.due_ms,
            call.group_missing,
            call.waiting_since_ms,
        ),
    )


def max_in_flight(slots, own_models, open_models):
    """Return how many requests of this host a server may have when a call is sent.

    :param slots: the number of requests that the server runs at a time.
    :param own_models: the number of models whose jobs this host runs.
    :param open_models: the number of models with open jobs, on all hosts.
    """
    shared_slots = max(1, slots - RESERVED_SLOTS)
    return max(1, shared_slots * own_models // max(1, own_models, open_models))


def choose_server(candidates, ran_at, last_server, attempts, own_models, open_models):
    """Return the name of the server that a call goes to, or None to wait.

    A call is run by no more servers than its route allows; then by these again.

    :param candidates: a list of
        :class:`~goldcrestmoor.request.upstream_choice.Candidate`.
    :param ran_at: the names of the servers that may have run the call.
    :param last_server: the name of the server that it was last sent to, or an empty
        string.
    :param attempts: the number of servers that the route allows.
    :param own_models: as for :func:`max_in_flight`.
    :param open_models: as for :func:`max_in_flight`.
    """
    if len(ran_at) >= attempts:
        repeated = [c for c in candidates if c.name in ran_at]
        candidates = repeated or candidates
    free = [
        c
        for c in candidates
        if c.in_flight < max_in_flight(c.slots, own_models, open_models)
    ]
    for avoided in ({*ran_at, last_server}, {last_server}, ()):
        name = choose_upstream(free, avoided)
        if name is not None:
            return name
    return None
