"""HTTP routes of applications and of idempotency keys."""

import msgspec
from blacksheep import Content, Request, Response, StreamedContent

from goldcrestmoor import logs
from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.request.apps import AppRequest, forwarded_headers
from goldcrestmoor.request.authentication import check_access, check_pool
from goldcrestmoor.request.request_parsing import read_deadline
from goldcrestmoor.version.configuration.document import UpstreamKind

METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
KEY_HEADER = b"Idempotency-Key"
PATH_PREFIX = b"/apps/"


class NewKey(msgspec.Struct):
    """The response to ``POST /v1/keys``.

    :param key: the minted key.
    :param lifetime_ms: how long the key may be used, in milliseconds.
    """

    key: str
    lifetime_ms: int


async def _empty_body():
    yield b""


def register_routes(
    app, *, clock, authenticator, applications, keys, lease, metrics, settings
):
    """Add ``/apps/{pool}/{path}`` and ``POST /v1/keys`` to an application.

    :param app: the blacksheep application.
    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param authenticator: the ``Authenticator``.
    :param applications: the :class:`~goldcrestmoor.request.apps.ApplicationClient`.
    :param keys: the :class:`~goldcrestmoor.request.idempotency_keys.IdempotencyKeys`.
    :param lease: provides the
        :class:`~goldcrestmoor.version.configuration.document.ConfigurationView`.
    :param metrics: the :class:`~goldcrestmoor.process.metrics.Metrics`.
    :param settings: the :class:`~goldcrestmoor.settings.Settings`.
    """

    async def forward(request: Request) -> Response:
        authenticator.account(request.headers)
        app_request = await _read(request)
        # The account is looked up again, because reading the body may take long.
        account = authenticator.account(request.headers)
        configuration = lease.view().configuration
        check_pool(account, configuration, app_request.pool, UpstreamKind.APPLICATION)
        deadline = read_deadline(request, clock, settings.limits.request_timeout_ms)
        request_id = logs.request_id.get()
        key = request.get_first_header(KEY_HEADER)

        def check():
            check_access(lease.view(), account, app_request.pool)

        try:
            if key is None or app_request.idempotent:
                answer = await applications.fetch(
                    app_request, deadline, request_id, check
                )
            else:
                answer = await keys.run(
                    account.name,
                    key.decode("latin-1"),
                    app_request,
                    deadline,
                    request_id,
                    check,
                )
        except ServiceError as e:
            metrics.requests.labels(account.name, e.code).inc()
            raise
        metrics.requests.labels(account.name, "answered").inc()
        return to_response(answer, app_request.method)

    async def mint(request: Request) -> Response:
        account = authenticator.account(request.headers)
        new = NewKey(keys.mint(account.name), settings.idempotency.key_lifetime_ms)
        body = msgspec.json.encode(new)
        return Response(201, None, Content(b"application/json", body))

    for method in METHODS:
        app.router.add(method, "/apps/{pool}/*", forward)
    app.router.add_post("/v1/keys", mint)


async def _read(request):
    # The raw target is used: decoding and encoding it again could change it.
    raw = request.scope.get("raw_path") or request.scope["path"].encode()
    if not raw.startswith(PATH_PREFIX):
        raise ServiceError(ErrorKind.BAD_REQUEST, "The path is malformed.")
    pool, _, path = raw[len(PATH_PREFIX) :].partition(b"/")
    query = request.scope.get("query_string", b"")
    target = b"/" + path + (b"?" + query if query else b"")
    return AppRequest(
        pool.decode("latin-1"),
        request.method,
        target.decode("latin-1"),
        forwarded_headers(request.headers),
        await request.read() or b"",
    )


def to_response(answer, method):
    """Convert an upstream's complete response to the response to the caller.

    :param answer: an :class:`~goldcrestmoor.request.apps.AppResponse`.
    :param method: the method of the request.
    """
    content_type = None
    length = None
    headers = []
    for name, value in answer.headers:
        if name == b"content-type":
            content_type = value
        elif name == b"content-length":
            length = int(value)
        else:
            headers.append((name, value))
    if method == "HEAD" and length is not None:
        # The response has no body, but states the length that the body would have.
        content = StreamedContent(content_type, _empty_body, length)
        return Response(answer.status, headers, content)
    if not answer.body:
        if content_type is not None:
            headers.append((b"content-type", content_type))
        return Response(answer.status, headers)
    return Response(answer.status, headers, Content(content_type, answer.body))
