"""The daemon's settings: a JSON document, decoded strictly."""

import json
from importlib import resources
from typing import Annotated, Literal

import pydantic
from pydantic import ConfigDict, Field, TypeAdapter
from pydantic.dataclasses import dataclass

from goldcrestmoor.errors import UserError

EXIT_BAD_SETTINGS = 2

Port = Annotated[int, Field(ge=1, le=65535)]
DurationMs = Annotated[int, Field(gt=0, le=86_400_000)]
Count = Annotated[int, Field(gt=0)]
Percent = Annotated[int, Field(ge=0, le=100)]
Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$")]
Hash = Annotated[str, Field(pattern=r"^([0-9a-f]{64})?$")]
OptionalPort = Annotated[int, Field(ge=0, le=65535)]
CurveKey = Annotated[str, Field(min_length=40, max_length=40)]

strict_dataclass = dataclass(config=ConfigDict(extra="forbid", strict=True), slots=True)


@strict_dataclass
class HostSettings:
    """This host's id, location and addresses."""

    id: Name
    zone: Name
    region: Name
    address: str
    http_port: Port
    peer_port: Port
    advertised_peer_port: OptionalPort
    listen_backlog: Count


@strict_dataclass
class PeerSettings:
    """A seed host, from which a starting host requests the list of hosts."""

    id: Name
    zone: Name
    address: str
    peer_port: Port


@strict_dataclass
class PlatformSettings:
    """Address, timeout and backoff of the platform's service."""

    address: str
    port: Port
    timeout_ms: DurationMs
    backoff_min_ms: DurationMs
    backoff_max_ms: DurationMs


@strict_dataclass
class SecuritySettings:
    """The fleet's CURVE key pair and the hash of the operators' token."""

    fleet_public_key: CurveKey
    fleet_secret_key: CurveKey
    operator_token_hash: Hash


@strict_dataclass
class LimitSettings:
    """Limits for requests, queues, connections and retries."""

    max_body_bytes: Count
    max_header_bytes: Count
    max_queue_per_upstream: Count
    queue_timeout_ms: DurationMs
    request_timeout_ms: DurationMs
    progress_timeout_ms: DurationMs
    connect_timeout_ms: DurationMs
    idle_connection_ms: DurationMs
    retry_budget_percent: Percent
    application_floor_percent: Percent


@strict_dataclass
class ConfigurationSettings:
    """How often the head row is read, and how long one read is valid."""

    poll_ms: DurationMs
    lease_ms: DurationMs
    lease_margin_ms: DurationMs
    answer_timeout_ms: DurationMs


@strict_dataclass
class MembershipSettings:
    """Probing of hosts and reading of the host list."""

    probe_interval_ms: DurationMs
    probe_timeout_ms: DurationMs
    suspect_ms: DurationMs
    host_list_poll_ms: DurationMs


@strict_dataclass
class IdempotencySettings:
    """How many idempotency keys are remembered, and for how long."""

    key_lifetime_ms: DurationMs
    max_remembered: Count


@strict_dataclass
class StepSettings:
    """Hedging of a step's samples and limits of pulling them."""

    hedge_percent: Percent
    pull_wait_ms: DurationMs
    max_pull_samples: Count


@strict_dataclass
class PolicySettings:
    """Policies for ordering and placing work; each has a simple alternative."""

    queue: Literal["fair", "fifo"]
    early_refusal: bool
    placement: Literal["prefix", "least_loaded", "round_robin"]
    start_order: Literal["longest_first", "as_numbered"]
    stragglers: Literal["hedge", "resume", "restart"]
    drop_early: bool
    rollout: Literal["all_at_once", "rolling"]
    rolling_percent: Annotated[int, Field(ge=1, le=100)]


@strict_dataclass
class ShutdownSettings:
    """Waiting times of a graceful shutdown."""

    unready_ms: DurationMs
    drain_ms: DurationMs


@strict_dataclass
class LogSettings:
    """Log level and format."""

    level: Literal["debug", "info", "warning", "error"]
    style: Literal["text", "json"]


@strict_dataclass
class TracingSettings:
    """Exporter of tracing spans."""

    exporter: Literal["none", "console"]


@strict_dataclass
class Settings:
    """All settings of a daemon."""

    host: HostSettings
    peers: list[PeerSettings]
    platform: PlatformSettings
    security: SecuritySettings
    limits: LimitSettings
    configuration: ConfigurationSettings
    membership: MembershipSettings
    idempotency: IdempotencySettings
    steps: StepSettings
    policy: PolicySettings
    shutdown: ShutdownSettings
    log: LogSettings
    tracing: TracingSettings


_adapter = TypeAdapter(Settings)


def load(path):
    """Read and validate a settings file.

    :param path: the file's path.
    :return: the :class:`Settings`, with defaults filled in.
    :raises UserError: listing every error with its path in the document.
    """
    return decode(read(path), path)


def read(path):
    """Read a settings file without validating it.

    :param path: the file's path.
    :return: the decoded JSON.
    :raises UserError: when it cannot be read or is not JSON.
    """
    try:
        with open(path, encoding="utf-8") as f:
            return json.load(f)
    except OSError as e:
        raise UserError(f"Cannot read {path}: {e.strerror}.", EXIT_BAD_SETTINGS) from e
    except ValueError as e:
        raise UserError(f"{path} is not JSON: {e}.", EXIT_BAD_SETTINGS) from e


def decode(document, name="settings"):
    """Validate a settings document.

    :param document: the decoded JSON.
    :param name: the name of the document in error messages.
    :return: the :class:`Settings`, with defaults filled in.
    :raises UserError: listing every error with its path in the document.
    """
    return validate(_adapter, _defaults(), document, name)


def validate(adapter, defaults, document, name):
    """Validate a document against a type, with defaults filled in.

    :param adapter: the type's pydantic adapter.
    :param defaults: the values for omitted keys.
    :param document: the decoded JSON.
    :param name: the name of the document in error messages.
    :raises UserError: listing every error with its path in the document.
    """
    if not isinstance(document, dict):
        raise UserError(f"{name}: the document is not an object.", EXIT_BAD_SETTINGS)
    try:
        return adapter.validate_json(json.dumps(_merge(defaults, document)))
    except pydantic.ValidationError as e:
        raise UserError(_describe(e, name), EXIT_BAD_SETTINGS) from e


def default_limits():
    """Return the default limits."""
    limits = _defaults()["limits"]
    return TypeAdapter(LimitSettings).validate_json(json.dumps(limits))


def _defaults():
    text = resources.files("goldcrestmoor").joinpath("defaults.json").read_text()
    return json.loads(text)


def _merge(base, override):
    merged = dict(base)
    for key, value in override.items():
        if isinstance(value, dict) and isinstance(merged.get(key), dict):
            merged[key] = _merge(merged[key], value)
        else:
            merged[key] = value
    return merged


def _describe(error, name):
    faults = error.errors(include_url=False)
    lines = [f"{name}: {len(faults)} error(s)."]
    for fault in faults:
        path = ".".join(str(part) for part in fault["loc"])
        lines.append(f"  {path}: {fault['msg']}")
    return "\n".join(lines)
