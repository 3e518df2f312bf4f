"""The client of the platform's table service: versioned rows and transactions."""

from urllib.parse import quote

import msgspec

from goldcrestmoor.adapters import platform
from goldcrestmoor.adapters.platform import (
    STATUS_CONFLICT,
    STATUS_NOT_FOUND,
    STATUS_OK,
    PlatformClient,
)


class Row(msgspec.Struct, frozen=True):
    """One row as read.

    :param key: its key within the table.
    :param version: increases with each write of the row.
    :param value: its bytes.
    """

    key: str
    version: int
    value: bytes


class Change(msgspec.Struct, frozen=True):
    """One entry of a table's change feed.

    :param key: the row's key within the table.
    :param version: the version of the write.
    :param value: the row's new bytes; ``None`` when it was deleted.
    """

    key: str
    version: int
    value: bytes | None


class Changes(msgspec.Struct, frozen=True):
    """One response of a table's feed.

    :param changes: the changes, in order.
    :param version: the version to continue from.
    """

    changes: list[Change]
    version: int


class HistoryTruncated(msgspec.Struct, frozen=True):
    """The feed no longer has the changes after the requested version."""


class Check(msgspec.Struct, frozen=True):
    """A condition of a transaction.

    :param version: the version that the row must have; 0 if it must not exist.
    """

    table: str
    key: str
    version: int


class Write(msgspec.Struct, frozen=True):
    """One write of a transaction.

    :param value: the row's new bytes; ``None`` deletes it.
    """

    table: str
    key: str
    value: bytes | None


class Committed(msgspec.Struct, frozen=True):
    """The outcome of a transaction that was applied.

    :param version_by_key: the new version of each written row, by ``table/key``.
    """

    version_by_key: dict[str, int]


class CheckFailed(msgspec.Struct, frozen=True):
    """The outcome of a transaction that was not applied.

    :param row: the row whose check failed, or ``None`` when it does not exist.
    :param table: that row's table.
    :param key: that row's key.
    """

    row: Row | None
    table: str
    key: str


class _Rows(msgspec.Struct):
    rows: list[Row]


class _Transaction(msgspec.Struct):
    checks: list[Check]
    writes: list[Write]


class _Versions(msgspec.Struct):
    versions: dict[str, int]


_row_decoder = msgspec.json.Decoder(Row)
_rows_decoder = msgspec.json.Decoder(_Rows)
_versions_decoder = msgspec.json.Decoder(_Versions)
_conflict_decoder = msgspec.json.Decoder(CheckFailed)


class TableClient:
    """Reads and writes rows.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param http: the :class:`~goldcrestmoor.connection.http_client.HttpClient`.
    :param settings: the :class:`~goldcrestmoor.settings.PlatformSettings`.
    :param metrics: counts the bytes sent and received; may be None.
    """

    __slots__ = ("_platform",)

    def __init__(self, *, clock, http, settings, metrics=None):
        self._platform = PlatformClient(http=http, settings=settings, metrics=metrics)

    async def get(self, table, key):
        """Return a row, or ``None``.

        :param table: the table's name.
        :param key: the row's key.
        :raises ServiceError: ``PLATFORM_UNAVAILABLE``.
        """
        response = await self._platform.read(platform.path("tables", table, key))
        if response.status == STATUS_NOT_FOUND:
            return None
        return platform.decode_read(response.body, _row_decoder)

    async def scan(self, table, prefix):
        """Return the rows whose keys start with a prefix, in the keys' order.

        :param table: the table's name.
        :param prefix: the keys' prefix; an empty one gives every row.
        :raises ServiceError: ``PLATFORM_UNAVAILABLE``.
        """
        target = platform.path("tables", table) + "?prefix=" + quote(prefix, safe="")
        response = await self._platform.read(target, (STATUS_OK,))
        return platform.decode_read(response.body, _rows_decoder).rows

    async def transact(self, checks, writes):
        """Apply all writes atomically if all checks hold. Sent at most once.

        :param checks: a list of :class:`Check`.
        :param writes: a list of :class:`Write`.
        :return: :class:`Committed` or :class:`CheckFailed`.
        :raises ServiceError: ``PLATFORM_UNAVAILABLE`` when certainly not written,
            ``OUTCOME_UNKNOWN`` when it may have been.
        """
        body = msgspec.json.encode(_Transaction(list(checks), list(writes)))
        response = await self._platform.write(
            "POST", "/transactions", body, (STATUS_OK, STATUS_CONFLICT)
        )
        if response.status == STATUS_CONFLICT:
            return platform.decode_write(response.body, _conflict_decoder)
        versions = platform.decode_write(response.body, _versions_decoder)
        return Committed(versions.versions)
