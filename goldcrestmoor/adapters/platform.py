"""Calls to the platform's services, with failures mapped to service errors."""

import email.utils
import time
from urllib.parse import quote

import msgspec

from goldcrestmoor.clock import MS_PER_SECOND
from goldcrestmoor.errors import ErrorKind, ServiceError

STATUS_OK = 200
STATUS_NOT_MODIFIED = 304
STATUS_NOT_FOUND = 404
STATUS_CONFLICT = 409
STATUS_TOO_MANY = 429
STATUS_UNAVAILABLE = 503
START_LINE_BYTES = 64
HEADER_LINE_BYTES = 4

_JSON_HEADERS = [(b"content-type", b"application/json")]


class _WriteStatus(msgspec.Struct):
    """The body of a 503 that states whether the write took effect."""

    written: bool


class PlatformClient:
    """Sends requests to the platform's services.

    :param http: the :class:`~goldcrestmoor.connection.http_client.HttpClient`.
    :param settings: the :class:`~goldcrestmoor.settings.PlatformSettings`.
    :param metrics: counts the bytes sent and received; may be None.
    """

    __slots__ = ("_http", "_settings", "_metrics")

    def __init__(self, *, http, settings, metrics=None):
        self._http = http
        self._settings = settings
        self._metrics = metrics

    async def read(self, target, statuses=(STATUS_OK, STATUS_NOT_FOUND), headers=()):
        """Send a GET request.

        :param target: the path and query.
        :param statuses: the expected statuses; any other is an error.
        :param headers: additional ``(name, value)`` byte pairs.
        :return: the :class:`~goldcrestmoor.connection.http_client.HttpResponse`.
        :raises ServiceError: ``PLATFORM_UNAVAILABLE`` for any failure.
        """
        try:
            response = await self._send("GET", target, b"", True, headers)
        except ServiceError as e:
            raise unavailable(e.message) from e
        if response.status not in statuses:
            raise unavailable(
                f"The platform answered {response.status}.", retry_after_ms(response)
            )
        return response

    async def write(self, method, target, body, statuses, idempotent=False):
        """Send a write, at most once.

        :param method: the HTTP method.
        :param target: the path and query.
        :param body: the body's bytes.
        :param statuses: the expected statuses; any other is an error.
        :param idempotent: whether the write may be repeated safely.
        :return: the :class:`~goldcrestmoor.connection.http_client.HttpResponse`.
        :raises ServiceError: ``PLATFORM_UNAVAILABLE`` when certainly not written,
            else ``OUTCOME_UNKNOWN``.
        """
        try:
            response = await self._send(method, target, body, idempotent)
        except ServiceError as e:
            if e.kind == ErrorKind.UPSTREAM_UNREACHABLE:
                raise unavailable(e.message) from e
            raise outcome_unknown(e.message) from e
        if response.status in statuses:
            return response
        message = f"The platform answered {response.status}."
        if _confirms_not_written(response):
            raise unavailable(message, retry_after_ms(response))
        raise outcome_unknown(message)

    async def _send(self, method, target, body, idempotent, headers=()):
        settings = self._settings
        if method == "POST":
            headers = [*headers, *_JSON_HEADERS]
        self._count(target, "sent", headers, target.encode() + body)
        response = await self._http.request(
            settings.address,
            settings.port,
            method,
            target,
            headers,
            body,
            timeout_ms=settings.timeout_ms,
            idempotent=idempotent,
        )
        self._count(target, "received", response.headers, response.body)
        return response

    def _count(self, target, direction, headers, body):
        if self._metrics is None:
            return
        name = "platform " + target.split("/", 2)[1].partition("?")[0]
        size = sum(len(k) + len(v) + HEADER_LINE_BYTES for k, v in headers)
        size += START_LINE_BYTES + len(body)
        self._metrics.control_bytes.labels(name, direction).inc(size)


def decode_read(data, decoder):
    """Return the decoded response body of a read.

    :param data: the body's bytes.
    :param decoder: a msgspec decoder.
    :raises ServiceError: ``PLATFORM_UNAVAILABLE`` when it is malformed.
    """
    try:
        return decoder.decode(data)
    except msgspec.MsgspecError as e:
        raise unavailable("The platform's response is malformed.") from e


def decode_write(data, decoder):
    """Return the decoded response body of a write.

    :param data: the body's bytes.
    :param decoder: a msgspec decoder.
    :raises ServiceError: ``OUTCOME_UNKNOWN`` when it is malformed.
    """
    try:
        return decoder.decode(data)
    except msgspec.MsgspecError as e:
        raise outcome_unknown("The platform's response is malformed.") from e


def path(*parts):
    """Return a path of percent-encoded segments.

    :param parts: the segments, which may contain any character.
    """
    return "".join("/" + quote(str(part), safe="") for part in parts)


def unavailable(message, retry_after_ms=None):
    """Return the error for a failed read or a write that certainly was not applied."""
    return ServiceError(ErrorKind.PLATFORM_UNAVAILABLE, message, retry_after_ms)


def outcome_unknown(message):
    """Return the error for a write that may have been applied."""
    return ServiceError(ErrorKind.OUTCOME_UNKNOWN, message)


def retry_after_ms(response):
    """Return the Retry-After time of a response in milliseconds, or ``None``.

    :param response: the response.
    """
    value = dict(response.headers).get(b"retry-after", b"").decode("latin-1")
    try:
        return max(0, int(float(value) * MS_PER_SECOND))
    except (ValueError, OverflowError):
        pass
    try:
        at = email.utils.parsedate_to_datetime(value).timestamp()
    except ValueError:
        return None
    return max(0, int((at - time.time()) * MS_PER_SECOND))


def _confirms_not_written(response):
    if response.status == STATUS_TOO_MANY:
        return True
    if response.status != STATUS_UNAVAILABLE:
        return False
    try:
        return not msgspec.json.decode(response.body, type=_WriteStatus).written
    except msgspec.MsgspecError:
        return False
