"""Requests to the platform's servers, and the interpretation of their responses."""

import math

import msgspec

from goldcrestmoor import util
from goldcrestmoor.connection.http_client import end_to_end
from goldcrestmoor.connection.http_connection import failed
from goldcrestmoor.decoding import decode, parse_integer
from goldcrestmoor.errors import ErrorKind, Ran, ServiceError
from goldcrestmoor.request.event_stream import EventFields
from goldcrestmoor.version.weights.engine_report import (
    EngineReport,
    Ordered,
    OrderRefused,
)

STATUS_OK = 200
STATUS_ACCEPTED = 202
STATUS_CONFLICT = 409
STATUS_STALE_FENCING_NUMBER = 412
STATUS_MISDIRECTED = 421
SUCCESSES = range(200, 300)

ID_HEADER = b"request-id"
INSTANCE_HEADER = b"expect-instance"
DEADLINE_HEADER = b"deadline-ms"
STAMP_HEADER = b"server-stamp"
NOT_RUN_HEADER = b"not-run"
LEAVING_HEADER = b"server-leaving"
# The requests a second that a server accepts from all hosts together.
LIMIT_HEADER = b"server-limit"
# The id of the server that sent a response, on responses to other ids than its own.
RESPONDER_HEADER = b"instance-id"
VERSION_HEADER = b"weight-versions"
RESUME_HEADER = b"last-event-id"
API_KEY_HEADER = b"x-api-key"
ACCOUNT_HEADER = b"tenant-id"
# The field that an event begins with when the weight version changes at that event.
EVENT_FIELDS = EventFields(version="weight-versions")

# Set for each server, replacing the caller's values.
_REPLACED_HEADERS = frozenset((INSTANCE_HEADER, DEADLINE_HEADER, b"content-length"))
_ACCOUNT_HEADERS = frozenset((API_KEY_HEADER, ACCOUNT_HEADER))
_JSON = [(b"content-type", b"application/json")]
# A report needs no slot and takes one round trip.
REPORT_TIMEOUT_MS = 500
# A worker that has not responded to an order by then never will.
ORDER_TIMEOUT_MS = 1500


class _LoadedModel(msgspec.Struct):
    name: str
    version: int


class _Report(msgspec.Struct):
    models: list[_LoadedModel]
    # Whether a load order is in progress.
    busy: bool = False
    # The number of orders accepted by this incarnation, unlike the list's counter.
    seq: int = 0
    running: int = 0


class _Order(msgspec.Struct, omit_defaults=True):
    op: str
    model: str
    version: int
    mode: str
    holder: str
    fence: int
    expected: int | None = None


# A report of thousands of models; decoded, it takes several times as much.
MAX_CONTROL_BYTES = 256 << 10
_report_decoder = msgspec.json.Decoder(_Report)


def request_headers(headers, upstream, remaining_ms):
    """Return a caller's headers as sent to a server.

    :param headers: the caller's ``(name, value)`` byte pairs, names in lower case.
    :param upstream: the :class:`~goldcrestmoor.process.directory.ListedUpstream`.
    :param remaining_ms: the time until the caller's deadline; None without one.
    """
    pairs = [pair for pair in headers if pair[0] not in _REPLACED_HEADERS]
    pairs.append((INSTANCE_HEADER, upstream.name.encode()))
    if remaining_ms is not None:
        pairs.append((DEADLINE_HEADER, str(max(1, int(remaining_ms))).encode()))
    return pairs


def with_account(headers, account):
    """Return headers that tell a server the client account, and no API key.

    :param headers: ``(name, value)`` byte pairs, names in lower case.
    :param account: the account's name, empty for none; None where clients have no
        accounts, for the headers as they are.
    """
    if account is None:
        return headers
    pairs = [pair for pair in headers if pair[0] not in _ACCOUNT_HEADERS]
    if account:
        pairs.append((ACCOUNT_HEADER, account.encode()))
    return pairs


def drop_account_headers(headers):
    """Return headers without a client account and an API key.

    :param headers: values by name.
    """
    names = {name.decode() for name in _ACCOUNT_HEADERS}
    return {name: v for name, v in headers.items() if name.lower() not in names}


def resume_header(event_id):
    """Return the header that resumes a stream after a given event.

    :param event_id: the last event's id.
    """
    return (RESUME_HEADER, event_id.encode())


def item_headers(item, host, account=None):
    """Return the request headers for an item of a batch job.

    :param item: the :class:`~goldcrestmoor.job.job.Item`.
    :param host: the host of its route.
    :param account: as for :func:`with_account`.
    """
    pairs = [
        (name.lower().encode("latin-1"), value.encode("latin-1"))
        for name, value in item.headers.items()
        if name.lower() not in ("host", "request-id")
    ]
    if account is not None:
        # An item's ``Connection`` header could name the account's header.
        pairs = with_account(list(end_to_end(pairs)), account)
    return [(b"host", host.encode()), (ID_HEADER, item.id.encode()), *pairs]


def reward_call_headers(reward_call, account=None):
    """Return the request headers for a reward call.

    :param reward_call: the :class:`~goldcrestmoor.job.job.RewardCall`.
    :param account: as for :func:`with_account`.
    """
    pairs = [
        (b"host", reward_call.host.encode()),
        (ID_HEADER, reward_call.id.encode()),
    ]
    return with_account(pairs, account)


def score(headers):
    """Return the score in a genuine successful response to a reward call.

    :param headers: its ``(name, value)`` byte pairs, names in lower case.
    """
    return dict(headers)[STAMP_HEADER].decode("latin-1")


def ran(request_id, status, headers):
    """Return whether a request was run, by the response that was received for it.

    :param request_id: the request's id, as it was sent.
    :param status: the response status.
    :param headers: its ``(name, value)`` byte pairs, names in lower case.
    :return: ``UNKNOWN`` when the response is not the server's own to this request.
    """
    if not is_genuine(request_id, status, headers):
        return Ran.UNKNOWN
    if status == STATUS_MISDIRECTED or any(n == NOT_RUN_HEADER for n, _ in headers):
        return Ran.NOT_RUN
    return Ran.RAN


def is_genuine(request_id, status, headers):
    """Return whether a response was sent by the server itself for this request.

    Servers send a second copy of a response at times, where the response to the next
    request is expected. They name the request's id in every response.

    :param request_id: the request's id, as it was sent; empty if it had none.
    :param status: the response status.
    :param headers: its ``(name, value)`` byte pairs, names in lower case.
    """
    value_by_name = dict(headers)
    if b"content-encoding" in value_by_name:
        return False
    if value_by_name.get(ID_HEADER, b"") != request_id.encode("latin-1"):
        return False
    return status not in SUCCESSES or STAMP_HEADER in value_by_name


def leaving_server(expected, status, headers):
    """Return the id of the server that says that it leaves, or None.

    :param expected: the id of the server that the request was meant for.
    :param status: the response status.
    :param headers: its ``(name, value)`` byte pairs, names in lower case.
    """
    value_by_name = dict(headers)
    if value_by_name.get(LEAVING_HEADER, b"").strip() != b"1":
        return None
    if status != STATUS_MISDIRECTED:
        return expected
    # Another server has the address now, and speaks for itself only.
    return value_by_name.get(RESPONDER_HEADER, b"").decode("latin-1").strip() or None


def stated_limit(status, headers):
    """Return how many requests a second a server accepts from all hosts together.

    :param status: the response status.
    :param headers: its ``(name, value)`` byte pairs, names in lower case.
    :return: infinity without a limit; None when the response doesn't tell.
    """
    if status == STATUS_MISDIRECTED:
        # Another server has the address now.
        return None
    value = dict(headers).get(LIMIT_HEADER)
    if value is None:
        return math.inf
    try:
        per_second = float(value)
    except ValueError:
        return None
    return per_second if math.isfinite(per_second) and per_second >= 0 else None


def weight_version(headers):
    """Return the weight version of the first event of a response.

    :param headers: ``(name, value)`` byte pairs, names in lower case.
    :return: the version, or None when the response has none.
    """
    return parse_integer(dict(headers).get(VERSION_HEADER, b"").strip())


class EngineControlClient:
    """Requests state reports from engines and sends them load orders.

    :param http: the :class:`~goldcrestmoor.connection.http_client.HttpClient`.
    :param directory: the :class:`~goldcrestmoor.process.directory.UpstreamDirectory`.
    :param limits: the
        :class:`~goldcrestmoor.process.upstream_limits.UpstreamLimits`.
    """

    __slots__ = ("_http", "_directory", "_limits")

    def __init__(self, *, http, directory, limits):
        self._http = http
        self._directory = directory
        self._limits = limits

    async def report(self, upstream):
        """Return an engine's state report, which lags by some hundred milliseconds.

        :param upstream: the :class:`~goldcrestmoor.process.directory.ListedUpstream`.
        :return: an :class:`~goldcrestmoor.version.weights.engine_report.EngineReport`.
        :raises ServiceError: when there is no valid response.
        """
        headers = request_headers((), upstream, None)
        response = await self._send(
            upstream, "GET", "/report", headers, b"", REPORT_TIMEOUT_MS
        )
        if response.status != STATUS_OK:
            raise _unexpected_status(upstream, response.status)
        try:
            report = decode(_report_decoder, response.body)
        except ValueError as e:
            text = f"{upstream.name} sent a malformed report."
            raise ServiceError(ErrorKind.UPSTREAM_FAILED, text) from e
        version_by_model = {loaded.name: loaded.version for loaded in report.models}
        return EngineReport(version_by_model, report.busy, report.seq, report.running)

    async def load(self, upstream, *, model, version, mode, holder, fencing, accepted):
        """Order an engine to load a weight version.

        :param upstream: the :class:`~goldcrestmoor.process.directory.ListedUpstream`.
        :param model: the model's name.
        :param version: the weight version.
        :param mode: a :class:`~goldcrestmoor.version.weights.engine_report.LoadMode`.
        :param holder: this host.
        :param fencing: the fencing number of the lease under which it is ordered.
        :param accepted: the number of accepted orders in the engine's last report.
        :return: ``Ordered`` or ``OrderRefused``.
        :raises ServiceError: when the order may or may not be executed.
        """
        order = _Order("version", model, version, mode.value, holder, fencing, accepted)
        headers = _JSON + request_headers((), upstream, None)
        body = msgspec.json.encode(order)
        response = await self._send(
            upstream, "POST", "/order", headers, body, ORDER_TIMEOUT_MS
        )
        match response.status:
            case 200:
                return Ordered(is_done=True)
            case 202:
                return Ordered(is_done=False)
            case 400 | 409 | 412 | 421 | 503:
                return OrderRefused(f"answered {response.status}")
            case status:
                raise _unexpected_status(upstream, status)

    async def _send(self, upstream, method, target, headers, body, timeout_ms):
        await self._limits.admit(upstream, is_required=True)
        request_id = util.new_id().encode()

        def check_id(status, received):
            """Raise for a late copy of the response to another request or call."""
            if dict(received).get(ID_HEADER, request_id) != request_id:
                address = upstream.address, upstream.port
                raise failed(address, "the response is for another request")

        response = await self._http.request(
            upstream.address,
            upstream.port,
            method,
            target,
            [*headers, (ID_HEADER, request_id)],
            body,
            timeout_ms,
            idempotent=True,
            on_head=check_id,
            max_body_bytes=MAX_CONTROL_BYTES,
            allow_close_delimited=True,
            before_send=lambda: self._directory.check_usable(upstream),
        )
        name = leaving_server(upstream.name, response.status, response.headers)
        if name is not None:
            self._directory.record_leaving(name, upstream)
        limit = stated_limit(response.status, response.headers)
        self._limits.record(upstream, limit)
        return response


def _unexpected_status(upstream, status):
    text = f"{upstream.name} answered {status}."
    return ServiceError(ErrorKind.UPSTREAM_FAILED, text)
