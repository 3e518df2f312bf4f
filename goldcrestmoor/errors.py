"""The fixed set of error kinds and the response that each one maps to."""

import enum

import msgspec


class Ran(enum.StrEnum):
    """Whether the upstream ran a request that failed."""

    NOT_RUN = "not run"
    UNKNOWN = "unknown"
    RAN = "ran"


class Retry(enum.StrEnum):
    """Whether a caller may retry after an error."""

    NEVER = "never"
    LATER = "later"
    IF_IDEMPOTENT = "if idempotent"


class ErrorKind(enum.StrEnum):
    """Every kind of error that is returned to callers, operators and peers."""

    BAD_REQUEST = "bad_request"
    UNAUTHORIZED = "unauthorized"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    TOO_LARGE = "too_large"
    OVERLOADED = "overloaded"
    QUEUE_TIMEOUT = "queue_timeout"
    DRAINING = "draining"
    NO_UPSTREAM = "no_upstream"
    REQUEST_BLOCKED = "request_blocked"
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
    """How one kind of error is reported to its receiver.

    :param status: the HTTP status.
    :param ran: whether the upstream ran the request.
    :param retry: whether the receiver may retry.
    :param retry_after_ms: the default delay before a retry, in milliseconds; an
        error may set another one.
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
    ErrorKind.REQUEST_BLOCKED: Answer(503, Ran.NOT_RUN, Retry.LATER, 60_000, 5),
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
    """An error of one of the kinds in :class:`ErrorKind`.

    :param kind: the :class:`ErrorKind`.
    :param message: one short sentence for display.
    :param retry_after_ms: the delay before a retry, in milliseconds; by default
        that of the kind.
    """

    def __init__(self, kind, message="", retry_after_ms=None):
        super().__init__(message or kind.value.replace("_", " "))
        self.kind = kind
        self.message = str(self)
        self._retry_after_ms = retry_after_ms

    @property
    def code(self):
        """The error code that is sent to callers."""
        return self.kind.value

    @property
    def answer(self):
        """The :class:`Answer` of the error's kind."""
        return ANSWER_BY_KIND[self.kind]

    @property
    def retry_after_ms(self):
        """The delay before a retry, in milliseconds; zero when a retry is pointless."""
        if self._retry_after_ms is not None:
            return self._retry_after_ms
        return self.answer.retry_after_ms


class ErrorBody(msgspec.Struct, frozen=True):
    """The serialized form of an error, in responses to callers and between peers."""

    code: ErrorKind
    message: str
    ran: Ran
    retry: Retry
    retry_after_ms: int
    request_id: str = ""


def to_body(error, request_id=""):
    """Return the serializable form of an error.

    :param error: a :class:`ServiceError`.
    :param request_id: the id of the failed request.
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
    """Return the error of a deserialized body.

    :param body: an :class:`ErrorBody`.
    """
    return ServiceError(body.code, body.message, body.retry_after_ms)


class UserError(Exception):
    """An error of the command line's user, printed without a traceback.

    :param message: the error, in full sentences.
    :param exit_code: the exit code of the command line.
    """

    def __init__(self, message, exit_code=2):
        super().__init__(message)
        self.exit_code = exit_code
