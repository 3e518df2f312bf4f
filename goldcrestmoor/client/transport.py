"""HTTP transport of the client libraries; it never retries on its own."""

import urllib.parse

import msgspec

from goldcrestmoor.errors import ErrorBody, ErrorKind, Ran, ServiceError

DEFAULT_HTTP_PORT = 80
MIN_ERROR_STATUS = 400


class HostError(ServiceError):
    """An error response of a host, with its report whether the request ran.

    :param body: the :class:`~goldcrestmoor.errors.ErrorBody`.
    """

    def __init__(self, body):
        super().__init__(body.code, body.message, body.retry_after_ms)
        self.ran = body.ran


class Transport:
    """Sends requests by ``HttpClient``, which never retries a request.

    :param http: the ``HttpClient``.
    :param token: the client account's token.
    """

    __slots__ = ("_http", "_token")

    def __init__(self, http, token):
        self._http = http
        self._token = token

    async def post(self, url, path, body, timeout_ms, headers=()):
        """Send one POST request to one host.

        :param url: the host's base URL, such as ``http://127.0.0.1:8080``.
        :param path: the request target.
        :param body: the request body, as bytes.
        :param timeout_ms: the timeout for the complete response, in milliseconds.
        :param headers: additional ``(name, value)`` pairs of bytes.
        :return: the ``HttpResponse``, of any status.
        :raises ServiceError: when no complete response arrives; the kind tells
            whether the request may have run.
        """
        parts = urllib.parse.urlsplit(url)
        port = parts.port or DEFAULT_HTTP_PORT
        all_headers = [
            (b"host", parts.netloc.encode()),
            (b"authorization", b"Bearer " + self._token.encode()),
            (b"content-type", b"application/json"),
            (b"content-length", str(len(body)).encode()),
            *headers,
        ]
        return await self._http.request(
            parts.hostname, port, "POST", path, all_headers, body, timeout_ms
        )

    async def close(self):
        """Close the open connections."""
        await self._http.close()


def make_transport(token):
    """Return a transport with a separate connection pool.

    :param token: the client account's token.
    """
    from goldcrestmoor import settings
    from goldcrestmoor.clock import Clock
    from goldcrestmoor.connection.http_client import HttpClient

    return Transport(HttpClient(clock=Clock(), limits=settings.default_limits()), token)


def checked(response):
    """Return the body of a successful response, or raise its error.

    :param response: an ``HttpResponse``.
    :raises HostError: when the response holds an ``ErrorBody``.
    :raises ServiceError: ``UPSTREAM_FAILED`` for any other error response.
    """
    if response.status < MIN_ERROR_STATUS:
        return response.body
    try:
        body = msgspec.json.decode(response.body, type=ErrorBody)
    except msgspec.MsgspecError as e:
        text = (
            f"The host responded with status {response.status} and no valid error body."
        )
        raise ServiceError(ErrorKind.UPSTREAM_FAILED, text) from e
    raise HostError(body)


def was_not_run(error):
    """Return whether the error guarantees that the request was not run.

    :param error: a :class:`~goldcrestmoor.errors.ServiceError`.
    """
    ran = error.ran if isinstance(error, HostError) else error.answer.ran
    return ran == Ran.NOT_RUN


class HostRing:
    """The hosts of a client, used one at a time in round-robin order.

    :param urls: the hosts' base URLs.
    """

    __slots__ = ("_urls", "_index")

    def __init__(self, urls):
        if not urls:
            raise ValueError("A client needs at least one host.")
        self._urls = tuple(urls)
        self._index = 0

    def __len__(self):
        return len(self._urls)

    @property
    def current(self):
        """The base URL of the host for the next request."""
        return self._urls[self._index % len(self._urls)]

    def advance(self):
        """Switch to the next host."""
        self._index += 1
