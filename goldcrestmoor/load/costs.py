"""Resource use of daemons, read from their metrics."""

import urllib.parse

from prometheus_client.parser import text_string_to_metric_families

from goldcrestmoor.load.report import DaemonCost

METRICS_TIMEOUT_MS = 5000
BYTES_PER_MB = 1_000_000


async def read_metrics(http, url):
    """Return one daemon's metrics by name, each summed over its labels.

    :param http: the :class:`~goldcrestmoor.connection.http_client.HttpClient`.
    :param url: the URL of the host.
    :raises ServiceError: when the host does not respond.
    """
    parts = urllib.parse.urlsplit(url)
    response = await http.request(
        parts.hostname,
        parts.port,
        "GET",
        "/metrics",
        [(b"host", parts.netloc.encode())],
        b"",
        METRICS_TIMEOUT_MS,
        idempotent=True,
    )
    sum_by_name = {}
    for family in text_string_to_metric_families(response.body.decode()):
        for sample in family.samples:
            sum_by_name[sample.name] = sum_by_name.get(sample.name, 0) + sample.value
    return sum_by_name


def compute_cost(url, before, after):
    """Return a daemon's resource use between two readings.

    :param url: the URL of the host.
    :param before: the first reading, as returned by :func:`read_metrics`.
    :param after: the second reading.
    """

    def increase(name):
        return after.get(name, 0) - before.get(name, 0)

    return DaemonCost(
        url=url,
        cpu_s=increase("process_cpu_seconds_total"),
        resident_mb=after.get("process_resident_memory_bytes", 0) / BYTES_PER_MB,
        control_bytes=int(increase("goldcrestmoor_control_bytes_total")),
    )
