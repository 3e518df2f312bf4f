"""The response header by which an upstream reports that it is leaving."""

STATE_HEADER = b"x-upstream-state"
LEAVING = b"leaving"


def says_leaving(headers):
    """Return whether a response reports that its upstream accepts no new work.

    :param headers: the response's ``(name, value)`` byte pairs, names in lower case.
    """
    return any(
        name == STATE_HEADER and value.strip().lower() == LEAVING
        for name, value in headers
    )
