"""Outcomes of calls to the platform's API."""

import msgspec

STATUS_NOT_AVAILABLE = 409
STATUS_TOO_MANY = 429


class Accepted(msgspec.Struct, frozen=True):
    """The platform has accepted the call, or had accepted the same one before."""


class Refused(msgspec.Struct, frozen=True):
    """The platform has refused the call.

    :param status: the HTTP status.
    """

    status: int

    @property
    def is_unavailable(self):
        """Whether what was ordered is not to be had at the moment."""
        return self.status == STATUS_NOT_AVAILABLE


class Unanswered(msgspec.Struct, frozen=True):
    """The call got no response, and may have been accepted.

    :param reason: why, as part of a sentence.
    """

    reason: str
