"""The fault control of whoever runs a fleet, reached over HTTP."""

import msgspec

from goldcrestmoor.errors import ErrorKind, ServiceError

FAULT_TIMEOUT_MS = 10_000


class FleetControl:
    """Ask a fleet's runner for faults and for what its upstreams ran.

    The runner answers ``POST /faults`` with ``{"action", "target"}`` and
    ``GET /runs`` with the number of runs of each note body.

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
        await self._ask("POST", "/faults", body)

    async def runs_by_note(self):
        """Return how often the upstreams ran each note, by its body."""
        response = await self._ask("GET", "/runs", b"")
        return msgspec.json.decode(response.body, type=dict[str, int])

    async def _ask(self, method, target, body):
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
