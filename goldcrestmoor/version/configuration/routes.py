"""One version of the route table: services, timeouts and retries by route."""

import enum
import hashlib

import msgspec

from goldcrestmoor.version.configuration.accounts import AccountDirectory


class RouteKind(enum.StrEnum):
    """The kind of responses that a route has."""

    PLAIN = "plain"
    STREAM = "stream"
    JOB = "job"


class RetryPolicy(enum.StrEnum):
    """Whether a request of a route may be sent to more than one upstream."""

    # The request may run any number of times.
    IDEMPOTENT = "freely"
    # Another upstream may resume the stream after the events already received.
    RESUMABLE = "resumed"
    # The request may be sent again only if it certainly was not run.
    NEVER = "never"


class ServiceShare(msgspec.Struct, frozen=True):
    """A service's part of a route's requests.

    :param service: the service's name.
    :param weight: its weight among the route's services.
    """

    service: str
    weight: int = 1


class JobPolicy(msgspec.Struct, frozen=True):
    """The deadlines and constraints of a route's batch jobs.

    :param due_after_ms: the time from submission until all results are due.
    :param expire_after_ms: the time from submission after which an item may be dropped.
    :param single_version: whether a result may come from one weight version only.
    """

    due_after_ms: int
    expire_after_ms: int
    single_version: bool = False


class Route(msgspec.Struct, frozen=True):
    """The destination and rules of requests for one host and path prefix.

    :param name: the route's name.
    :param host: the host name in the callers' requests.
    :param path_prefix: begins and ends with a slash.
    :param kind: the kind of its responses.
    :param retry_policy: whether a request may be sent again.
    :param shares: the services, with their weights.
    :param timeout_ms: the maximum time that a request may wait for its response.
    :param target_ms: the latency target, within which a response has full value.
    :param priority: 0 is the most urgent.
    :param attempts: the maximum number of upstreams that a request is sent to.
    :param job: the policy of batch jobs, on a route of that kind.
    :param is_public: whether its requests need no API key.
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
    is_public: bool = False

    @property
    def services(self):
        """The services that its requests may go to."""
        shares = [share for share in self.shares if share.weight] or self.shares[:1]
        return tuple(share.service for share in shares)

    def service_for(self, request_id):
        """Return the service for a request, chosen by the services' weights.

        The same request always goes to the same service.

        :param request_id: the request's id.
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


class ScalingBounds(msgspec.Struct, frozen=True):
    """How many servers of a service may be ordered in each availability zone.

    :param min_servers: the smallest number.
    :param max_servers: the largest number.
    :param boot_ms: the time until a new server serves, in milliseconds.
    """

    min_servers: int
    max_servers: int
    boot_ms: int


class Service(msgspec.Struct, frozen=True):
    """A group of interchangeable upstreams.

    :param name: its name.
    :param models: the models that its engines run; empty for applications.
    :param max_connections: the maximum number of connections that one upstream
        accepts from all hosts together.
    :param scaling: the :class:`ScalingBounds`; None if its servers can't be ordered.
    """

    name: str
    models: tuple[str, ...] = ()
    max_connections: int = 0
    scaling: ScalingBounds | None = None


class CallerLimits(msgspec.Struct, frozen=True):
    """Size limits and timeouts of callers' requests.

    :param max_header_bytes: the maximum size of a request head.
    :param max_body_bytes: the maximum size of a request body.
    :param head_timeout_ms: the timeout for receiving a request head.
    :param idle_timeout_ms: how long a connection may be idle between requests.
    """

    max_header_bytes: int
    max_body_bytes: int
    head_timeout_ms: int
    idle_timeout_ms: int


class RouteTable(msgspec.Struct, frozen=True):
    """All routes and services of one version of the configuration.

    :param version: increases with each change, not always by one.
    :param routes_by_host: each host's routes, longest prefix first.
    :param services_by_name: the services.
    :param limits: the :class:`CallerLimits`.
    :param accounts: the
        :class:`~goldcrestmoor.version.configuration.accounts.AccountDirectory`; None
        where callers have no accounts.
    """

    version: int
    routes_by_host: dict[str, tuple[Route, ...]]
    services_by_name: dict[str, Service]
    limits: CallerLimits
    accounts: AccountDirectory | None = None

    def match(self, host, path):
        """Return the route of a request, or None.

        :param host: the host name in the request, without its port.
        :param path: the path, without the query.
        """
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def match_job(self, host, path):
        """Return the route of a batch job, or None.

        Routes of other kinds may lie below it: they take requests, but no job that was
        accepted before.

        :param host: the host name in the request that submitted it.
        :param path: the path of that request.
        """
        for route in self.routes_by_host.get(host, ()):
            if route.kind is RouteKind.JOB and path.startswith(route.path_prefix):
                return route
        return None

    def has_only_public_jobs(self, host):
        """Return whether no batch job route of a host needs an API key.

        :param host: the host name in the request.
        """
        routes = self.routes_by_host.get(host, ())
        return all(route.is_public for route in routes if route.kind is RouteKind.JOB)

    def is_public(self, host, path):
        """Return whether a request needs no API key, or has no route.

        :param host: the host name in the request.
        :param path: the path, without the query.
        """
        route = self.match(host, path)
        return route is None or route.is_public

    def priority_of(self, route, account):
        """Return the priority of an account's work; 0 is the most urgent.

        :param route: the :class:`Route` of the work.
        :param account: the account's name; empty for none.
        """
        known = self.accounts.account_by_name.get(account) if self.accounts else None
        if known is None or known.priority is None:
            return route.priority
        return known.priority

    def sent_account(self, account):
        """Return the account that servers are told with work of an account.

        :param account: the account's name; empty for none.
        :return: the name; None where callers have no accounts.
        """
        return account if account or self.accounts is not None else None

    def has_job_route(self, host):
        """Return whether a host has a route for batch jobs.

        :param host: the host name in the request.
        """
        routes = self.routes_by_host.get(host, ())
        return any(route.kind is RouteKind.JOB for route in routes)


def group_by_host(routes):
    """Group routes by host, with each host's longest prefix first.

    :param routes: an iterable of :class:`Route`.
    """
    found = {}
    for route in sorted(routes, key=lambda r: len(r.path_prefix), reverse=True):
        found.setdefault(route.host, []).append(route)
    return {host: tuple(of_host) for host, of_host in found.items()}
