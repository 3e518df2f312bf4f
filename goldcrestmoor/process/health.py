"""Health, readiness and metrics endpoints."""

import msgspec
import prometheus_client
from blacksheep import Content, Response

STATUS_OK = 200
STATUS_NOT_READY = 503
JSON = b"application/json"
METRICS_TYPE = prometheus_client.CONTENT_TYPE_LATEST.encode()


class Readiness(msgspec.Struct, frozen=True):
    """Whether this host accepts requests.

    :param ready: whether the host accepts requests.
    :param reasons: why the host does not accept requests.
    """

    ready: bool
    reasons: tuple[str, ...] = ()


def register_routes(app, *, metrics, shutdown, configuration):
    """Serve ``/healthz``, ``/readyz`` and ``/metrics``.

    :param app: the blacksheep application.
    :param metrics: the :class:`~goldcrestmoor.process.metrics.Metrics`.
    :param shutdown: the :class:`~goldcrestmoor.process.shutdown.Shutdown`.
    :param configuration: returns the
        :class:`~goldcrestmoor.version.configuration.document.Configuration` in effect.
    """

    async def healthz(request):
        return _respond(STATUS_OK, JSON, b'{"healthy":true}')

    async def readyz(request):
        readiness = _readiness(shutdown, configuration)
        status = STATUS_OK if readiness.ready else STATUS_NOT_READY
        return _respond(status, JSON, msgspec.json.encode(readiness))

    async def get_metrics(request):
        text = prometheus_client.generate_latest(metrics.registry)
        return _respond(STATUS_OK, METRICS_TYPE, text)

    app.router.add_get("/healthz", healthz)
    app.router.add_get("/readyz", readyz)
    app.router.add_get("/metrics", get_metrics)


def _readiness(shutdown, configuration):
    reasons = []
    if not shutdown.ready():
        reasons.append("The host is shutting down.")
    if not configuration().version:
        reasons.append("No configuration has been read yet.")
    return Readiness(not reasons, tuple(reasons))


def _respond(status, content_type, body):
    return Response(status, None, Content(content_type, body))
