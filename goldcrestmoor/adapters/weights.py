"""The client of the platform's weight store, which limits the request rate."""

from goldcrestmoor.adapters import platform
from goldcrestmoor.adapters.platform import (
    STATUS_NOT_FOUND,
    STATUS_OK,
    STATUS_TOO_MANY,
    PlatformClient,
)

DEFAULT_RETRY_AFTER_MS = 1000


class WeightStoreClient:
    """Checks which weight versions are stored.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param http: the :class:`~goldcrestmoor.connection.http_client.HttpClient`.
    :param settings: the :class:`~goldcrestmoor.settings.PlatformSettings`.
    :param metrics: counts the bytes sent and received; may be None.
    """

    __slots__ = ("_clock", "_platform", "_rate_limited_until_ms")

    def __init__(self, *, clock, http, settings, metrics=None):
        self._clock = clock
        self._platform = PlatformClient(http=http, settings=settings, metrics=metrics)
        self._rate_limited_until_ms = 0

    async def exists(self, model, version):
        """Return whether a model's weight version is stored.

        After the store has rejected a request with a Retry-After time, no request is
        sent before that time.

        :param model: the model's name.
        :param version: the weight version.
        :raises ServiceError: ``PLATFORM_UNAVAILABLE``, with the time to retry after.
        """
        wait_ms = self._rate_limited_until_ms - self._clock.now_ms()
        if wait_ms > 0:
            raise platform.unavailable(
                "The rate limit of the weight store still applies.", wait_ms
            )
        response = await self._platform.read(
            platform.path("weights", model, version),
            (STATUS_OK, STATUS_NOT_FOUND, STATUS_TOO_MANY),
        )
        if response.status != STATUS_TOO_MANY:
            return response.status == STATUS_OK
        wait_ms = platform.retry_after_ms(response) or DEFAULT_RETRY_AFTER_MS
        self._rate_limited_until_ms = self._clock.now_ms() + wait_ms
        raise platform.unavailable(
            "The rate limit of the weight store is exceeded.", wait_ms
        )
