"""The client of the platform's list of hosts and upstreams, which lags behind."""

import enum

import msgspec

from goldcrestmoor.adapters import platform
from goldcrestmoor.adapters.platform import (
    STATUS_NOT_MODIFIED,
    STATUS_OK,
    PlatformClient,
)


class ListedKind(enum.StrEnum):
    """The kind of a list entry."""

    HOST = "host"
    UPSTREAM = "upstream"


class ListedState(enum.StrEnum):
    """Whether a list entry takes new work."""

    LIVE = "live"
    LEAVING = "leaving"


class ListedHost(msgspec.Struct, frozen=True):
    """One entry of the list.

    :param id: the host's or upstream's name.
    :param kind: which of the two it is.
    :param zone: its availability zone.
    :param address: its IP address.
    :param http_port: the TCP port for HTTP.
    :param peer_port: the TCP port for peer messages; 0 for an upstream.
    :param state: whether it takes new work.
    """

    id: str
    kind: ListedKind
    zone: str
    address: str
    http_port: int
    peer_port: int = 0
    state: ListedState = ListedState.LIVE


class _Hosts(msgspec.Struct):
    hosts: list[ListedHost]


_decoder = msgspec.json.Decoder(_Hosts)


class HostListClient:
    """Fetches the list.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param http: the :class:`~goldcrestmoor.connection.http_client.HttpClient`.
    :param settings: the :class:`~goldcrestmoor.settings.PlatformSettings`.
    :param metrics: counts the bytes sent and received; may be None.
    """

    __slots__ = ("_platform", "_etag", "_entries")

    def __init__(self, *, clock, http, settings, metrics=None):
        self._platform = PlatformClient(http=http, settings=settings, metrics=metrics)
        self._etag = None
        self._entries = ()

    async def fetch(self):
        """Return the list's entries.

        If the platform sends entity tags, an unchanged list is not transferred
        again.

        :return: a list of :class:`ListedHost`, the same object while unchanged.
        :raises ServiceError: ``PLATFORM_UNAVAILABLE``.
        """
        headers, statuses = (), (STATUS_OK,)
        if self._etag is not None:
            headers = ((b"if-none-match", self._etag),)
            statuses = (STATUS_OK, STATUS_NOT_MODIFIED)
        response = await self._platform.read("/hosts", statuses, headers)
        if response.status == STATUS_NOT_MODIFIED:
            return self._entries
        entries = platform.decode_read(response.body, _decoder).hosts
        self._etag = dict(response.headers).get(b"etag")
        self._entries = entries if self._etag is not None else ()
        return entries
