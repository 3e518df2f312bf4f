"""Calls to the platform's API: usage reports and orders of servers."""

import msgspec

from goldcrestmoor.adapters.platform_api import Accepted, Refused, Unanswered
from goldcrestmoor.errors import ErrorKind, ServiceError

USAGE_DUTY = "usage_report"
SERVERS_DUTY = "autoscale"
HOLDER_HEADER = b"duty-holder"
FENCING_HEADER = b"fence-token"
STATUS_OK = 200
# Less than a lease and its margin, so that a call has ended when another host may act.
TIMEOUT_MS = 1500


class _Usage(msgspec.Struct, rename="camel"):
    window_id: int
    counts: dict[str, int]


class _ServerOrder(msgspec.Struct, rename="camel"):
    service: str
    zone: str
    # The number of servers, unlike the field of this name in batch jobs.
    target_groups: int


class PlatformApi:
    """Sends calls to the platform's API, each once.

    :param http: the :class:`~goldcrestmoor.connection.http_client.HttpClient`.
    :param address: the API's IP address.
    :param port: its TCP port.
    :param host_id: this host, which the calls name as the holder.
    :param metrics: counts calls by kind and outcome.
    :param may_send: returns whether a call with a fencing number may be sent; asked
        again right before its first byte, as the connection may have taken a while.
    """

    __slots__ = ("_http", "_target", "_host_id", "_metrics", "_may_send")

    def __init__(
        self, *, http, address, port, host_id, metrics, may_send=lambda fencing: True
    ):
        self._http = http
        self._target = (address, port)
        self._host_id = host_id
        self._metrics = metrics
        self._may_send = may_send

    async def report_usage(self, window, count_by_account, fencing):
        """Report the requests that began in one window.

        :param window: the window's number.
        :param count_by_account: the number of requests of each client account.
        :param fencing: the fencing number of the duty.
        :return: one of the outcomes in ``adapters/platform_api.py``.
        """
        counts = dict(sorted(count_by_account.items()))
        body = msgspec.json.encode(_Usage(window, counts))
        return await self._send("usage", "/usage", body, fencing)

    async def order_servers(self, service, zone, count, fencing):
        """Order that a service has a number of servers in an availability zone.

        :param service: the service's name.
        :param zone: the availability zone.
        :param count: how many servers it shall have there in all.
        :param fencing: the fencing number of the duty.
        :return: one of the outcomes in ``adapters/platform_api.py``.
        """
        body = msgspec.json.encode(_ServerOrder(service, zone, count))
        return await self._send("servers", "/scaling", body, fencing)

    async def _send(self, call, path, body, fencing):
        headers = [
            (b"content-type", b"application/json"),
            (HOLDER_HEADER, self._host_id.encode()),
            (FENCING_HEADER, str(fencing).encode()),
        ]

        def check():
            if not self._may_send(fencing):
                text = "The duty is no longer held."
                raise ServiceError(ErrorKind.DRAINING, text)

        try:
            response = await self._http.request(
                *self._target,
                "POST",
                path,
                headers,
                body,
                TIMEOUT_MS,
                idempotent=False,
                before_send=check,
            )
        except ServiceError as e:
            self._metrics.api_calls.labels(call, e.code).inc()
            return Unanswered(e.message)
        self._metrics.api_calls.labels(call, str(response.status)).inc()
        if response.status == STATUS_OK:
            return Accepted()
        return Refused(response.status)
