"""Requests of the platform's clients, and the formats of the responses to them."""

from urllib.parse import parse_qs, unquote

import msgspec

from goldcrestmoor.connection.http_client import end_to_end
from goldcrestmoor.decoding import decode
from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.job.calls import EndJob, ReadItem, ReadResults, SubmitJob
from goldcrestmoor.job.job import Item, Job, RewardCall
from goldcrestmoor.platform.servers import (
    API_KEY_HEADER,
    DEADLINE_HEADER,
    ID_HEADER,
    RESUME_HEADER,
    drop_account_headers,
    with_account,
)

# The contract that bounds what hosts hold for callers and servers that read slowly.
PRESSURE_CONTRACT = "pressure"
READY_PATH = "/readiness"
WAIT_HEADER = b"wait-ms"
# The request id of the client attempt that brought the first event of a stream.
RESUMES_HEADER = b"resumes"
# The client's estimate of the number of output tokens.
LENGTH_HINT_HEADER = "length-hint"
# The longest wait that readers request.
MAX_WAIT_MS = 1000
# A page of results is at most 1 MB, including the JSON around the output texts.
MAX_PAGE_BYTES = 900_000
# The first parts of the paths of calls for a batch job.
_JOB_CALL_KINDS = frozenset({"lots", "items"})
_COMPLETED = "completed"
_TERMINATED = "terminated"


class _Scorer(msgspec.Struct):
    id: str
    hostname: str
    path: str
    # Base64 on the wire.
    body: bytes = b""


class _Item(msgspec.Struct):
    id: str
    path: str
    headers: dict[str, str]
    # The prompt and the maximum output, together.
    tokens: int = 0
    # Base64 on the wire.
    body: bytes = b""
    group: str = ""
    # The request that scores the text, not a server.
    scorer: _Scorer | None = None


class _Job(msgspec.Struct, rename="camel"):
    items: list[_Item]
    model: str = ""
    # The weight version, not the configuration version.
    min_version: int = 0
    step: int = 0
    target_groups: int = 0


class _Result(msgspec.Struct):
    id: str
    state: str
    text: str
    versions: list[int]
    score: str | msgspec.UnsetType = msgspec.UNSET


class _Page(msgspec.Struct):
    total: int
    next: int
    results: list[_Result]


_job_decoder = msgspec.json.Decoder(_Job)


def request_id(headers):
    """Return the client's id for its request, or an empty string.

    :param headers: ``(name, value)`` byte pairs, names in lower case.
    """
    return dict(headers).get(ID_HEADER, b"").decode("latin-1")


def deadline_ms(headers):
    """Return the time that a client waits, in milliseconds, or None.

    :param headers: ``(name, value)`` byte pairs, names in lower case.
    """
    return _parse_number(dict(headers).get(DEADLINE_HEADER))


def resumed_id(headers):
    """Return the id of the request that began the stream that a client takes up.

    :param headers: ``(name, value)`` byte pairs, names in lower case.
    :return: the id, empty if the client doesn't state it; None for a new stream.
    """
    value_by_name = dict(headers)
    if RESUME_HEADER not in value_by_name:
        return None
    return value_by_name.get(RESUMES_HEADER, b"").decode("latin-1").strip()


def api_key(headers):
    """Return the API key of a client's request, empty if there is none.

    :param headers: ``(name, value)`` byte pairs, names in lower case.
    """
    # A repeated header means the same as one with a list, which is no valid key.
    return b", ".join(value.strip() for n, value in headers if n == API_KEY_HEADER)


def forwarded_headers(headers, account=None):
    """Return the headers of a client's request that are forwarded to a server.

    :param headers: ``(name, value)`` byte pairs, names in lower case.
    :param account: the name of the account that the server is told, empty for none;
        None where clients have no accounts, for the headers as they are.
    """
    pairs = [pair for pair in end_to_end(headers) if pair[0] != DEADLINE_HEADER]
    return tuple(with_account(pairs, account))


def job_call(method, path, query, headers):
    """Return the batch job call that a request makes, or None when it makes none.

    :param method: the HTTP method.
    :param path: the path.
    :param query: the query.
    :param headers: ``(name, value)`` byte pairs, names in lower case.
    """
    parts = path.split("/")
    if len(parts) != 3 or not parts[2]:
        return None
    _, kind, job_id = parts
    if kind not in _JOB_CALL_KINDS:
        return None
    job_id = unquote(job_id)
    value_by_name = {name: values[-1] for name, values in parse_qs(query).items()}
    match method, kind:
        case "GET", "lots":
            after = _parse_number(value_by_name.get("after", "0").encode()) or 0
            wait_ms = _parse_number(dict(headers).get(WAIT_HEADER)) or 0
            return ReadResults(job_id, after, min(wait_ms, MAX_WAIT_MS))
        case "GET", "items":
            return ReadItem(job_id, value_by_name.get("id", ""))
        case "DELETE", "lots":
            return EndJob(job_id)
    return None


def submission(method):
    """Return the call that a request under a job route's prefix makes, or None.

    :param method: the HTTP method.
    """
    return SubmitJob() if method == "POST" else None


def decode_job(job_id, host, path, body, account=None):
    """Return the batch job of a submission.

    :param job_id: the id of the submission, which becomes the job's id.
    :param host: the Host that the client sent.
    :param path: the path that it was submitted to.
    :param body: the body.
    :param account: the name of the account that it belongs to, empty for none; None
        where clients have no accounts.
    :raises ServiceError: ``BAD_REQUEST`` when it is malformed.
    """
    try:
        job = decode(_job_decoder, body)
    except ValueError as e:
        text = f"The batch job is malformed: {e}."
        raise ServiceError(ErrorKind.BAD_REQUEST, text) from e
    items = tuple(_decode_item(item, account is not None) for item in job.items)
    return Job(
        id=job_id,
        host=host,
        path=path,
        items=items,
        model=job.model,
        min_version=job.min_version,
        step=job.step,
        target_groups=job.target_groups,
        account=account or "",
    )


def _decode_item(item, has_accounts):
    # Keys must not be stored with the job.
    headers = drop_account_headers(item.headers) if has_accounts else item.headers
    value_by_name = {name.lower(): value for name, value in item.headers.items()}
    hint = value_by_name.get(LENGTH_HINT_HEADER, "")
    return Item(
        item.id,
        item.path,
        headers,
        item.body,
        item.tokens,
        item.group,
        _parse_number(hint.encode()) or 0,
        _decode_scorer(item.scorer),
    )


def _decode_scorer(scorer):
    if scorer is None:
        return None
    return RewardCall(scorer.id, scorer.hostname.lower(), scorer.path, scorer.body)


def encode_page(total, after, results):
    """Return the body of a response with results.

    :param total: the number of items of the job.
    :param after: the position of the first result.
    :param results: a list of :class:`~goldcrestmoor.job.job.Result`.
    """
    page = _Page(
        total,
        after + len(results),
        [
            _Result(
                result.id,
                _COMPLETED if result.is_completed else _TERMINATED,
                result.text,
                list(result.versions),
                result.score or msgspec.UNSET,
            )
            for result in results
        ],
    )
    return msgspec.json.encode(page)


def retry_headers(after_ms):
    """Return the headers that tell a client when to retry.

    :param after_ms: the time in milliseconds; zero for no header.
    """
    if after_ms <= 0:
        return []
    return [(b"Retry-After", f"{after_ms / 1000:.3f}".encode())]


def _parse_number(value):
    return int(value[:9]) if value is not None and value.isdigit() else None
