"""The client of the platform's object store, which stores byte strings by key."""

from goldcrestmoor.adapters import platform
from goldcrestmoor.adapters.platform import STATUS_NOT_FOUND, STATUS_OK, PlatformClient


class ObjectClient:
    """Reads and writes objects.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param http: the :class:`~goldcrestmoor.connection.http_client.HttpClient`.
    :param settings: the :class:`~goldcrestmoor.settings.PlatformSettings`.
    :param metrics: counts the bytes sent and received; may be None.
    """

    __slots__ = ("_platform",)

    def __init__(self, *, clock, http, settings, metrics=None):
        self._platform = PlatformClient(http=http, settings=settings, metrics=metrics)

    async def put(self, key, data):
        """Store an object; repeating the call with the same bytes is safe.

        :param key: the object's key.
        :param data: its bytes.
        :raises ServiceError: ``PLATFORM_UNAVAILABLE`` when certainly not stored,
            ``OUTCOME_UNKNOWN`` when it may have been.
        """
        await self._platform.write(
            "PUT", platform.path("objects", key), data, (STATUS_OK,), idempotent=True
        )

    async def delete(self, key):
        """Delete an object, if it exists.

        :param key: the object's key.
        :raises ServiceError: ``PLATFORM_UNAVAILABLE`` when certainly not deleted, else
            ``OUTCOME_UNKNOWN``.
        """
        await self._platform.write(
            "DELETE",
            platform.path("objects", key),
            b"",
            (STATUS_OK, STATUS_NOT_FOUND),
            idempotent=True,
        )

    async def get(self, key):
        """Return an object's bytes, or ``None``.

        :param key: the object's key.
        :raises ServiceError: ``PLATFORM_UNAVAILABLE``.
        """
        response = await self._platform.read(platform.path("objects", key))
        return None if response.status == STATUS_NOT_FOUND else response.body
