"""How an upstream says in its own answers that it is leaving."""

STATE_HEADER = b"x-upstream-state"
LEAVING = b"leaving"


def says_leaving(headers):
    """Tell whether an answer says that its upstream takes no new work any more.

    :param headers: the answer's ``(name, value)`` byte pairs, names in lower case.
    """
    return any(
        name == STATE_HEADER and value.strip().lower() == LEAVING
        for name, value in headers
    )
