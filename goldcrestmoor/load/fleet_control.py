"""The fault control of whoever runs a fleet, reached over HTTP."""

import msgspec

from goldcrestmoor.errors import ErrorKind, ServiceError

FAULT_TIMEOUT_MS = 10_000


class Runs(msgspec.Struct, frozen=True):
    """What the upstreams say that they ran.

    :param runs_by_note: how often each note was run, by its id.
    :param engine_tokens: the tokens that all engines made.
    """

    runs_by_note: dict[str, int] = {}
    engine_tokens: int = 0


class FleetControl:
    """Ask a fleet's runner for faults and for what its upstreams ran.

    The runner answers ``POST /faults`` with ``{"action", "target"}`` and
    ``GET /runs`` with :class:`Runs`.

    :param http: an :class:`~goldcrestmoor.connection.http_client.HttpClient`.
    :param address: the runner's IP address.
    :param port: the runner's port.
    """

    __slots__ = ("_http", "_address", "_port")

    def __init__(self, *, http, address, port):
        self._http = http
        self._address = address
        self._port = port

    async def inject(self, fault):
        """Have one fault carried out.

        :param fault: a :class:`~goldcrestmoor.load.trace.Fault`.
        :raises ServiceError: when the runner does not do it.
        """
        body = msgspec.json.encode({"action": fault.action, "target": fault.target})
        await self._request("POST", "/faults", body)

    async def runs(self):
        """Return the :class:`Runs` of the upstreams so far."""
        response = await self._request("GET", "/runs", b"")
        return msgspec.json.decode(response.body, type=Runs)

    async def _request(self, method, target, body):
        response = await self._http.request(
            self._address,
            self._port,
            method,
            target,
            [(b"content-type", b"application/json")],
            body,
            timeout_ms=FAULT_TIMEOUT_MS,
        )
        if response.status != 200:
            raise ServiceError(ErrorKind.INTERNAL, f"The runner refused {target}.")
        return response
