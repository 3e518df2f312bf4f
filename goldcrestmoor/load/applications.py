"""Send application requests for a replay, without retries."""

import urllib.parse

import msgspec

from goldcrestmoor.client.transport import checked
from goldcrestmoor.request.completion_format import CompletionRequest

FETCH_TIMEOUT_MS = 10_000
RESPONSE_MARGIN_MS = 1000


async def fetch(http, url, token, pool, path):
    """Send one idempotent request, without retries, and return the response body.

    :param http: the :class:`~goldcrestmoor.connection.http_client.HttpClient`.
    :param url: the URL of the host.
    :param token: the application account's token.
    :param pool: the application pool.
    :param path: the path below the pool's route.
    :raises ServiceError: on an error response or a connection failure.
    """
    target = f"/apps/{pool}{path}"
    return await _send(http, url, token, "GET", target, b"", FETCH_TIMEOUT_MS)


async def complete(http, url, token, entry):
    """Send one completion request, without retries, and return the response body.

    :param http: the :class:`~goldcrestmoor.connection.http_client.HttpClient`.
    :param url: the URL of the host.
    :param token: the application account's token.
    :param entry: the :class:`~goldcrestmoor.load.trace.Completion`.
    :raises ServiceError: on an error response or a connection failure.
    """
    completion_request = CompletionRequest(
        entry.pool, entry.prompt, entry.max_tokens, entry.seed
    )
    body = msgspec.json.encode(completion_request)
    return await _send(
        http, url, token, "POST", "/v1/completions", body, entry.timeout_ms
    )


async def _send(http, url, token, method, target, body, timeout_ms):
    parts = urllib.parse.urlsplit(url)
    headers = [
        (b"host", parts.netloc.encode()),
        (b"authorization", b"Bearer " + token.encode()),
        (b"x-timeout-ms", str(timeout_ms).encode()),
    ]
    if body:
        headers.append((b"content-type", b"application/json"))
        headers.append((b"content-length", str(len(body)).encode()))
    response = await http.request(
        parts.hostname,
        parts.port,
        method,
        target,
        headers,
        body,
        timeout_ms + RESPONSE_MARGIN_MS,
        idempotent=method == "GET",
    )
    return checked(response)
