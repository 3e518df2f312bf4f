"""The closed list of error kinds and the answer that each one gives."""

import enum

import msgspec


class Ran(enum.StrEnum):
    """Whether the upstream ran a request that ended in an error."""

    NOT_RUN = "not run"
    UNKNOWN = "unknown"
    RAN = "ran"


class Retry(enum.StrEnum):
    """What a caller may do after an error."""

    NEVER = "never"
    LATER = "later"
    IF_IDEMPOTENT = "if idempotent"


class ErrorKind(enum.StrEnum):
    """Every kind of error that a caller, operator or peer can be given."""

    BAD_REQUEST = "bad_request"
    UNAUTHORIZED = "unauthorized"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    TOO_LARGE = "too_large"
    OVERLOADED = "overloaded"
    QUEUE_TIMEOUT = "queue_timeout"
    DRAINING = "draining"
    NO_UPSTREAM = "no_upstream"
    UPSTREAM_UNREACHABLE = "upstream_unreachable"
    UPSTREAM_FAILED = "upstream_failed"
    UPSTREAM_TIMEOUT = "upstream_timeout"
    OUTCOME_UNKNOWN = "outcome_unknown"
    KEY_REUSED = "key_reused"
    KEY_EXPIRED = "key_expired"
    IN_PROGRESS = "in_progress"
    ANSWER_NOT_KEPT = "answer_not_kept"
    PEER_UNREACHABLE = "peer_unreachable"
    PLATFORM_UNAVAILABLE = "platform_unavailable"
    CONFIG_LAPSED = "config_lapsed"
    CONFIG_CONFLICT = "config_conflict"
    CONFIG_REFUSED = "config_refused"
    CONFIG_UNKNOWN = "config_unknown"
    STEP_UNKNOWN = "step_unknown"
    STEP_CONFLICT = "step_conflict"
    VERSION_CONFLICT = "version_conflict"
    INTERNAL = "internal"


class Answer(msgspec.Struct, frozen=True):
    """What one kind of error means to whoever receives it.

    :param status: the HTTP status.
    :param ran: whether the upstream ran the request.
    :param retry: what the receiver may do next.
    :param retry_after_ms: when to come back, unless the error itself says so.
    :param exit_code: the exit code of the command line.
    """

    status: int
    ran: Ran
    retry: Retry
    retry_after_ms: int
    exit_code: int


ANSWER_BY_KIND = {
    ErrorKind.BAD_REQUEST: Answer(400, Ran.NOT_RUN, Retry.NEVER, 0, 2),
    ErrorKind.UNAUTHORIZED: Answer(401, Ran.NOT_RUN, Retry.NEVER, 0, 3),
    ErrorKind.FORBIDDEN: Answer(403, Ran.NOT_RUN, Retry.NEVER, 0, 3),
    ErrorKind.NOT_FOUND: Answer(404, Ran.NOT_RUN, Retry.NEVER, 0, 4),
    ErrorKind.TOO_LARGE: Answer(413, Ran.NOT_RUN, Retry.NEVER, 0, 2),
    ErrorKind.OVERLOADED: Answer(429, Ran.NOT_RUN, Retry.LATER, 1000, 5),
    ErrorKind.QUEUE_TIMEOUT: Answer(503, Ran.NOT_RUN, Retry.LATER, 1000, 5),
    ErrorKind.DRAINING: Answer(503, Ran.NOT_RUN, Retry.LATER, 200, 5),
    ErrorKind.NO_UPSTREAM: Answer(503, Ran.NOT_RUN, Retry.LATER, 2000, 5),
    ErrorKind.UPSTREAM_UNREACHABLE: Answer(502, Ran.NOT_RUN, Retry.LATER, 1000, 6),
    ErrorKind.UPSTREAM_FAILED: Answer(502, Ran.UNKNOWN, Retry.IF_IDEMPOTENT, 500, 6),
    ErrorKind.UPSTREAM_TIMEOUT: Answer(504, Ran.UNKNOWN, Retry.IF_IDEMPOTENT, 500, 6),
    ErrorKind.OUTCOME_UNKNOWN: Answer(502, Ran.UNKNOWN, Retry.NEVER, 0, 7),
    ErrorKind.KEY_REUSED: Answer(422, Ran.NOT_RUN, Retry.NEVER, 0, 2),
    ErrorKind.KEY_EXPIRED: Answer(410, Ran.UNKNOWN, Retry.NEVER, 0, 7),
    ErrorKind.IN_PROGRESS: Answer(409, Ran.UNKNOWN, Retry.LATER, 500, 7),
    ErrorKind.ANSWER_NOT_KEPT: Answer(409, Ran.RAN, Retry.NEVER, 0, 7),
    ErrorKind.PEER_UNREACHABLE: Answer(503, Ran.UNKNOWN, Retry.IF_IDEMPOTENT, 500, 6),
    ErrorKind.PLATFORM_UNAVAILABLE: Answer(503, Ran.NOT_RUN, Retry.LATER, 2000, 8),
    ErrorKind.CONFIG_LAPSED: Answer(503, Ran.NOT_RUN, Retry.LATER, 2000, 8),
    ErrorKind.CONFIG_CONFLICT: Answer(409, Ran.NOT_RUN, Retry.NEVER, 0, 9),
    ErrorKind.CONFIG_REFUSED: Answer(409, Ran.NOT_RUN, Retry.LATER, 5000, 9),
    ErrorKind.CONFIG_UNKNOWN: Answer(504, Ran.UNKNOWN, Retry.NEVER, 0, 7),
    ErrorKind.STEP_UNKNOWN: Answer(404, Ran.NOT_RUN, Retry.NEVER, 0, 4),
    ErrorKind.STEP_CONFLICT: Answer(409, Ran.NOT_RUN, Retry.NEVER, 0, 9),
    ErrorKind.VERSION_CONFLICT: Answer(409, Ran.NOT_RUN, Retry.NEVER, 0, 9),
    ErrorKind.INTERNAL: Answer(500, Ran.UNKNOWN, Retry.IF_IDEMPOTENT, 1000, 1),
}


class ServiceError(Exception):
    """An error of one of the listed kinds.

    :param kind: the :class:`ErrorKind`.
    :param message: one short sentence for people.
    :param retry_after_ms: when to come back, in milliseconds; the kind's own
        figure when left out.
    """

    def __init__(self, kind, message="", retry_after_ms=None):
        super().__init__(message or kind.value.replace("_", " "))
        self.kind = kind
        self.message = str(self)
        self._retry_after_ms = retry_after_ms

    @property
    def code(self):
        """The kind's name, as callers see it."""
        return self.kind.value

    @property
    def answer(self):
        """The :class:`Answer` that the kind gives."""
        return ANSWER_BY_KIND[self.kind]

    @property
    def retry_after_ms(self):
        """When to come back, in milliseconds; zero when there is no use in it."""
        if self._retry_after_ms is not None:
            return self._retry_after_ms
        return self.answer.retry_after_ms


class ErrorBody(msgspec.Struct, frozen=True):
    """An error as it travels, in answers to callers and between peers."""

    code: ErrorKind
    message: str
    ran: Ran
    retry: Retry
    retry_after_ms: int
    request_id: str = ""


def to_body(error, request_id=""):
    """Return the travelling form of an error.

    :param error: a :class:`ServiceError`.
    :param request_id: the request that it ends.
    """
    answer = error.answer
    return ErrorBody(
        error.kind,
        error.message,
        answer.ran,
        answer.retry,
        error.retry_after_ms,
        request_id,
    )


def from_body(body):
    """Return the error that a travelling form stands for.

    :param body: an :class:`ErrorBody`.
    """
    return ServiceError(body.code, body.message, body.retry_after_ms)


class UserError(Exception):
    """A mistake of the person at the command line, shown without a traceback.

    :param message: what is wrong, in full sentences.
    :param exit_code: the exit code of the command line.
    """

    def __init__(self, message, exit_code=2):
        super().__init__(message)
        self.exit_code = exit_code
