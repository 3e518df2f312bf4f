"""A daemon's settings: one JSON document, decoded strictly."""

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
    """This host: its name, place and addresses."""

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
    """A host that is asked for the others when this one starts."""

    id: Name
    zone: Name
    address: str
    peer_port: Port


@strict_dataclass
class PlatformSettings:
    """The platform's service and how patiently it is asked."""

    address: str
    port: Port
    timeout_ms: DurationMs
    backoff_min_ms: DurationMs
    backoff_max_ms: DurationMs


@strict_dataclass
class SecuritySettings:
    """The fleet's CURVE key pair and the operators' token, hashed."""

    fleet_public_key: CurveKey
    fleet_secret_key: CurveKey
    operator_token_hash: Hash


@strict_dataclass
class LimitSettings:
    """Bounds on requests, queues, connections and retries."""

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
    """How often the head row is read and how long one read may be acted on."""

    poll_ms: DurationMs
    lease_ms: DurationMs
    lease_margin_ms: DurationMs
    answer_timeout_ms: DurationMs


@strict_dataclass
class MembershipSettings:
    """How hosts watch one another."""

    probe_interval_ms: DurationMs
    probe_timeout_ms: DurationMs
    suspect_ms: DurationMs
    host_list_poll_ms: DurationMs


@strict_dataclass
class IdempotencySettings:
    """How long and how many idempotency keys are remembered."""

    key_lifetime_ms: DurationMs
    max_remembered: Count


@strict_dataclass
class StepSettings:
    """How the samples of a step are made and handed out."""

    hedge_percent: Percent
    pull_wait_ms: DurationMs
    max_pull_samples: Count


@strict_dataclass
class PolicySettings:
    """How work is ordered and placed, each against its plain way."""

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
    """How long a graceful shutdown waits."""

    unready_ms: DurationMs
    drain_ms: DurationMs


@strict_dataclass
class LogSettings:
    """What is logged and in which form."""

    level: Literal["debug", "info", "warning", "error"]
    style: Literal["text", "json"]


@strict_dataclass
class TracingSettings:
    """Where spans go."""

    exporter: Literal["none", "console"]


@strict_dataclass
class Settings:
    """Everything that a daemon is told before it starts."""

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
    """Read and check a settings file.

    :param path: the file's path.
    :return: the :class:`Settings`, with defaults filled in.
    :raises UserError: naming every fault with its path in the document.
    """
    return decode(read(path), path)


def read(path):
    """Read a settings file without checking what it says.

    :param path: the file's path.
    :return: the decoded JSON.
    :raises UserError: when it cannot be read or is no JSON.
    """
    try:
        with open(path, encoding="utf-8") as f:
            return json.load(f)
    except OSError as e:
        raise UserError(f"Cannot read {path}: {e.strerror}.", EXIT_BAD_SETTINGS) from e
    except ValueError as e:
        raise UserError(f"{path} is not JSON: {e}.", EXIT_BAD_SETTINGS) from e


def decode(document, name="settings"):
    """Check a settings document.

    :param document: the decoded JSON.
    :param name: what to call the document in an error.
    :return: the :class:`Settings`, with defaults filled in.
    :raises UserError: naming every fault with its path in the document.
    """
    return validate(_adapter, _defaults(), document, name)


def validate(adapter, defaults, document, name):
    """Check a document against a type, with defaults filled in.

    :param adapter: the type's pydantic adapter.
    :param defaults: the document that fills in what is left out.
    :param document: the decoded JSON.
    :param name: what to call the document in an error.
    :raises UserError: naming every fault with its path in the document.
    """
    if not isinstance(document, dict):
        raise UserError(f"{name}: the document is not an object.", EXIT_BAD_SETTINGS)
    try:
        return adapter.validate_json(json.dumps(_merge(defaults, document)))
    except pydantic.ValidationError as e:
        raise UserError(_describe(e, name), EXIT_BAD_SETTINGS) from e


def default_limits():
    """Return the limits that hold where no settings file says otherwise."""
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
    lines = [f"{name}: {len(faults)} fault(s)."]
    for fault in faults:
        path = ".".join(str(part) for part in fault["loc"])
        lines.append(f"  {path}: {fault['msg']}")
    return "\n".join(lines)
