"""Application requests as a replay sends them."""

import urllib.parse

from goldcrestmoor.client.transport import checked

FETCH_TIMEOUT_MS = 10_000


async def fetch(http, url, token, pool, path):
    """Send one idempotent request once and return its body.

    :param http: the :class:`~goldcrestmoor.connection.http_client.HttpClient`.
    :param url: the host.
    :param token: the application account's token.
    :param pool: the application pool.
    :param path: the path below the pool's route.
    :raises ServiceError: what was answered, or what became of the connection.
    """
    parts = urllib.parse.urlsplit(url)
    headers = [
        (b"host", parts.netloc.encode()),
        (b"authorization", b"Bearer " + token.encode()),
    ]
    response = await http.request(
        parts.hostname,
        parts.port,
        "GET",
        f"/apps/{pool}{path}",
        headers,
        b"",
        FETCH_TIMEOUT_MS,
        idempotent=True,
    )
    return checked(response)
