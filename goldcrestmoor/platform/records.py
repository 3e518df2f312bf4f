"""Decoders of rows that the platform's operator, trainers and servers write."""

import ipaddress
from typing import Annotated

import msgspec

from goldcrestmoor.clock import MS_PER_SECOND
from goldcrestmoor.decoding import MAX_INTEGER, decode, parse_integer
from goldcrestmoor.process.directory import ListedUpstream
from goldcrestmoor.version.configuration.accounts import ListedAccount, make_directory
from goldcrestmoor.version.configuration.routes import (
    CallerLimits,
    JobPolicy,
    RetryPolicy,
    Route,
    RouteKind,
    RouteTable,
    ScalingBounds,
    Service,
    ServiceShare,
    group_by_host,
)

OPERATOR_TABLE = "op"
UPSTREAM_TABLE = "servers"
CONFIGURATION_KEY = "config"
VERSION_PREFIX = "version/"

# The numbers that an entry may hold.
_Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
_Duration = Annotated[float, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
_MAX_PORT = 65_535

_KIND_BY_ROUTE_TYPE = {"streaming": RouteKind.STREAM, "rollout": RouteKind.JOB}


class _Backend(msgspec.Struct):
    service: str
    weight: int = 1


class _Route(msgspec.Struct, rename="camel"):
    name: str
    hostname: str
    path_prefix: str
    route_type: str
    timeout_ms: float
    target_latency_ms: float = 0
    priority: int = 0
    # One service for all requests; replaced by backends where requests are split.
    service: str | None = None
    backends: list[_Backend] = []
    # The number of servers that one client attempt may be sent to, including the first.
    attempts: int = 1
    resumable: bool = False
    # In seconds, unlike the other times; like run_aim_ms, only on batch job routes.
    keep_s: float = 0
    run_aim_ms: float = 0
    single_version: bool = False
    public: bool = False


class _Model(msgspec.Struct):
    name: str


class _Engine(msgspec.Struct):
    models: list[_Model] = []


class _Scaling(msgspec.Struct, rename="camel"):
    # By availability zone.
    min: int
    max: int
    boot_s: float = 0


class _Service(msgspec.Struct, rename="camel"):
    name: str
    # The number of connections that one server accepts from all callers together.
    max_conns: int = 0
    engine: _Engine | None = None
    scaling: _Scaling | None = None


class _Limits(msgspec.Struct, rename="camel"):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: int
    idle_timeout_ms: int


class _Tenant(msgspec.Struct, rename="camel"):
    # A fault in one account must not reject the configuration.
    name: object = None
    api_keys: list[object] | None = None
    priority: object = None


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits
    # The client accounts; callers need no keys where the field is missing.
    tenants: list[_Tenant] | None = None


class _LoadedModel(msgspec.Struct):
    name: str
    # The weight version.
    version: _Count


class _Server(msgspec.Struct, rename="camel"):
    service: str
    address: str
    zone: str
    state: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_INTEGER)]
    # The version of the server's software, not of the weights.
    version: str = ""
    cold_left_ms: _Duration = 0
    models: list[_LoadedModel] = []
    # Start time of the server in Unix milliseconds; distinguishes two incarnations.
    born: _Count | None = None
    # Of any type: a mark that is malformed must not make the server unusable. The field
    # leaves_ms is not read, as only the state tells that a server leaves.
    spot: object = False


class _TargetVersion(msgspec.Struct):
    model: str
    version: _Count


_configuration_decoder = msgspec.json.Decoder(_Configuration)
_server_decoder = msgspec.json.Decoder(_Server)
_version_decoder = msgspec.json.Decoder(_TargetVersion)


def decode_configuration(value):
    """Return the routes of the operator's newest configuration.

    :param value: the row's bytes.
    :return: a :class:`~goldcrestmoor.version.configuration.routes.RouteTable`.
    :raises ValueError: when they are not a valid configuration.
    """
    document = decode(_configuration_decoder, value)
    limits = document.limits
    return RouteTable(
        document.version,
        group_by_host(_decode_route(route) for route in document.routes),
        {service.name: _decode_service(service) for service in document.services},
        CallerLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms,
            limits.idle_timeout_ms,
        ),
        _decode_accounts(document.tenants),
    )


def decode_upstream(key, value):
    """Return the server that a row of the server list describes.

    :param key: the row's key, which is the server's id.
    :param value: the row's bytes, from any writer.
    :return: a :class:`~goldcrestmoor.process.directory.ListedUpstream`.
    :raises ValueError: when they do not describe a usable server.
    """
    server = decode(_server_decoder, value)
    address, _, port_text = server.address.rpartition(":")
    ipaddress.ip_address(address)
    port = parse_integer(port_text)
    if port is None or not 0 < port <= _MAX_PORT:
        raise ValueError(f"port {port_text[:10]!r} is out of range")
    if server.state not in ("ready", "draining"):
        raise ValueError(f"unknown state {server.state!r}")
    if not (key.isascii() and key.isprintable() and key == key.strip()):
        raise ValueError("its id can't be sent in a header")
    return ListedUpstream(
        name=key,
        service=server.service,
        address=address,
        port=port,
        zone=server.zone,
        slots=server.slots,
        is_draining=server.state == "draining",
        cold_ms=int(server.cold_left_ms),
        version_by_model={loaded.name: loaded.version for loaded in server.models},
        started_ms=server.born or 0,
        software_version=server.version,
        is_reclaimable=bool(server.spot),
    )


def decode_target_version(value):
    """Return the model and the target version that its trainer has set.

    :param value: the row's bytes.
    :raises ValueError: when they are malformed.
    """
    target = decode(_version_decoder, value)
    return target.model, target.version


def _decode_route(route):
    kind = _KIND_BY_ROUTE_TYPE.get(route.route_type, RouteKind.PLAIN)
    backends = route.backends or [_Backend(route.service or "")]
    job = None
    if kind is RouteKind.JOB:
        job = JobPolicy(
            int(route.run_aim_ms), int(route.keep_s * 1000), route.single_version
        )
    return Route(
        name=route.name,
        host=route.hostname.lower(),
        path_prefix=route.path_prefix,
        kind=kind,
        retry_policy=_retry_policy(route),
        shares=tuple(ServiceShare(b.service, b.weight) for b in backends),
        timeout_ms=int(route.timeout_ms),
        target_ms=int(route.target_latency_ms),
        priority=route.priority,
        attempts=max(1, route.attempts),
        job=job,
        is_public=route.public,
    )


def _decode_accounts(tenants):
    if tenants is None:
        return None
    return make_directory(
        ListedAccount(tenant.name, tenant.api_keys or [], tenant.priority)
        for tenant in tenants
    )


def _retry_policy(route):
    match route.route_type:
        case "safe":
            return RetryPolicy.IDEMPOTENT
        case "rollout":
            return RetryPolicy.RESUMABLE
        case "streaming" if route.resumable:
            return RetryPolicy.RESUMABLE
        case _:
            return RetryPolicy.NEVER


def _decode_service(service):
    models = service.engine.models if service.engine else []
    scaling = None
    if service.scaling is not None:
        scaling = ScalingBounds(
            service.scaling.min,
            service.scaling.max,
            int(service.scaling.boot_s * MS_PER_SECOND),
        )
    return Service(
        service.name, tuple(model.name for model in models), service.max_conns, scaling
    )
