"""How the clients send one request to one host, exactly as often as told."""

import urllib.parse

import msgspec

from goldcrestmoor.errors import ErrorBody, ErrorKind, Ran, ServiceError

DEFAULT_HTTP_PORT = 80
MIN_ERROR_STATUS = 400


class HostError(ServiceError):
    """An error that a host answered, with what it said about the request.

    :param body: the :class:`~goldcrestmoor.errors.ErrorBody`.
    """

    def __init__(self, body):
        super().__init__(body.code, body.message, body.retry_after_ms)
        self.ran = body.ran


class Transport:
    """Send requests by the project's HTTP client, which never resends.

    :param http: an ``HttpClient``.
    :param token: the account's token.
    """

    __slots__ = ("_http", "_token")

    def __init__(self, http, token):
        self._http = http
        self._token = token

    async def post(self, url, path, body, timeout_ms, headers=()):
        """Send one POST request to one host.

        :param url: the host, such as ``http://127.0.0.1:8080``.
        :param path: the request's target.
        :param body: the body, as bytes.
        :param timeout_ms: how long to wait for the whole answer, in milliseconds.
        :param headers: further ``(name, value)`` pairs of bytes.
        :return: the answer's ``HttpResponse``, of any status.
        :raises ServiceError: what the connection knows about the request's fate.
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


def make_transport(token):
    """Return a transport with a connection pool of its own.

    :param token: the account's token.
    """
    from goldcrestmoor import settings
    from goldcrestmoor.clock import Clock
    from goldcrestmoor.connection.http_client import HttpClient

    return Transport(HttpClient(clock=Clock(), limits=settings.default_limits()), token)


def checked(response):
    """Return a response's body, or raise the error that it holds.

    :param response: an ``HttpResponse``.
    :raises HostError: when the response is an error of the service.
    :raises ServiceError: ``UPSTREAM_FAILED`` when it is some other error.
    """
    if response.status < MIN_ERROR_STATUS:
        return response.body
    try:
        body = msgspec.json.decode(response.body, type=ErrorBody)
    except msgspec.MsgspecError as e:
        text = f"The host answered {response.status} with no known error."
        raise ServiceError(ErrorKind.UPSTREAM_FAILED, text) from e
    raise HostError(body)


def was_not_run(error):
    """Tell whether an error says that the request was surely not run.

    :param error: a :class:`~goldcrestmoor.errors.ServiceError`.
    """
    ran = error.ran if isinstance(error, HostError) else error.answer.ran
    return ran == Ran.NOT_RUN


class HostRing:
    """The hosts that a client may ask, one at a time.

    :param urls: their addresses.
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
        """The host to ask now."""
        return self._urls[self._index % len(self._urls)]

    def advance(self):
        """Ask the next host from now on."""
        self._index += 1
