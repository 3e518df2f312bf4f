"""One version of the routes: which requests go to which services, on which terms."""

import enum
import hashlib

import msgspec


class RouteKind(enum.StrEnum):
    """What the answers of a route are like."""

    PLAIN = "plain"
    STREAM = "stream"
    JOB = "job"


class RetryPolicy(enum.StrEnum):
    """How a request of a route may be sent to more than one upstream."""

    # Any number of runs is harmless.
    IDEMPOTENT = "freely"
    # A run may go on elsewhere after the events that are there.
    RESUMABLE = "resumed"
    # Only when it surely was not run.
    NEVER = "never"


class ServiceShare(msgspec.Struct, frozen=True):
    """A service's part of a route's requests.

    :param service: the service's name.
    :param weight: its weight among the route's services.
    """

    service: str
    weight: int = 1


class JobPolicy(msgspec.Struct, frozen=True):
    """What holds for the batch jobs of a route.

    :param due_after_ms: all results are wanted so long after submission.
    :param expire_after_ms: an item may be given up so long after submission.
    :param single_version: whether a result may come from one weight version only.
    """

    due_after_ms: int
    expire_after_ms: int
    single_version: bool = False


class Route(msgspec.Struct, frozen=True):
    """Where the requests of one host and path prefix go.

    :param name: the route's name.
    :param host: the host that callers name.
    :param path_prefix: begins and ends with a slash.
    :param kind: what its answers are like.
    :param retry_policy: whether a request may be sent again.
    :param shares: the services, with their weights.
    :param timeout_ms: the longest that a request may be kept waiting.
    :param target_ms: the time within which an answer is worth most.
    :param priority: 0 is the most urgent.
    :param attempts: how many upstreams a request may be sent to.
    :param job: the terms of batch jobs, on a route of that kind.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    retry_policy: RetryPolicy
    shares: tuple[ServiceShare, ...]
    timeout_ms: int
    target_ms: int
    priority: int = 0
    attempts: int = 1
    job: JobPolicy | None = None

    def service_for(self, request_id):
        """Return the service that a request goes to, by the services' weights.

        The same request always goes to the same service.

        :param request_id: the request.
        """
        total = sum(share.weight for share in self.shares)
        if len(self.shares) == 1 or not total:
            return self.shares[0].service
        digest = hashlib.blake2b(request_id.encode(), digest_size=8).digest()
        point = int.from_bytes(digest, "big") % total
        for share in self.shares:
            point -= share.weight
            if point < 0:
                return share.service
        return self.shares[-1].service


class Service(msgspec.Struct, frozen=True):
    """A group of like upstreams.

    :param name: its name.
    :param models: the models that its engines run; empty for applications.
    :param max_connections: how many connections one upstream accepts from all.
    """

    name: str
    models: tuple[str, ...] = ()
    max_connections: int = 0


class CallerLimits(msgspec.Struct, frozen=True):
    """What callers may send, and how long they may take.

    :param max_header_bytes: the bound on a request's head.
    :param max_body_bytes: the bound on its body.
    :param head_timeout_ms: how long the head may take to come.
    :param idle_timeout_ms: how long a connection may be idle between requests.
    """

    max_header_bytes: int
    max_body_bytes: int
    head_timeout_ms: int
    idle_timeout_ms: int


class RouteTable(msgspec.Struct, frozen=True):
    """All routes and services of one version of the configuration.

    :param version: grows with each change, in uneven steps.
    :param routes_by_host: each host's routes, longest prefix first.
    :param services_by_name: the services.
    :param limits: the :class:`CallerLimits`.
    """

    version: int
    routes_by_host: dict[str, tuple[Route, ...]]
    services_by_name: dict[str, Service]
    limits: CallerLimits

    def match(self, host, path):
        """Return the route of a request, or None.

        :param host: the host that the caller names, without its port.
        :param path: the path, without the query.
        """
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def has_job_route(self, host):
        """Tell whether a host has a route for batch jobs.

        :param host: the host that the caller names.
        """
        routes = self.routes_by_host.get(host, ())
        return any(route.kind is RouteKind.JOB for route in routes)


def group_by_host(routes):
    """Return routes by their host, each host's longest prefix first.

    :param routes: an iterable of :class:`Route`.
    """
    found = {}
    for route in sorted(routes, key=lambda r: len(r.path_prefix), reverse=True):
        found.setdefault(route.host, []).append(route)
    return {host: tuple(of_host) for host, of_host in found.items()}
