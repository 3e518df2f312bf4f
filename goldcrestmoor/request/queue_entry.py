"""A request that is queued for a slot, or uses one."""


class Entry:
    """One queued request.

    :param id: the id of the grant.
    :param account: the account's name.
    :param kind: the account's kind.
    :param share: the account's weight.
    :param cost_tokens: what the request is expected to cost, in tokens.
    :param deadline: the time by which the request must have started.
    :param queued_ms: when the request was queued, on the clock's scale.
    """

    __slots__ = (
        "id",
        "account",
        "kind",
        "share",
        "cost_tokens",
        "deadline",
        "queued_ms",
        "number",
        "pending_cost",
        "started_ms",
    )

    def __init__(self, id, account, kind, share, cost_tokens, deadline, queued_ms):
        self.id = id
        self.account = account
        self.kind = kind
        self.share = max(1, share)
        self.cost_tokens = max(1, cost_tokens)
        self.deadline = deadline
        self.queued_ms = queued_ms
        self.number = 0
        self.pending_cost = 0.0
        self.started_ms = None
