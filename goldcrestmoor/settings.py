"""The daemon's settings: a JSON document, decoded strictly."""

import json
import typing
from importlib import resources
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from goldcrestmoor.errors import UserError

EXIT_BAD_SETTINGS = 2

Port = Annotated[int, Meta(ge=1, le=65535)]
DurationMs = Annotated[int, Meta(gt=0, le=86_400_000)]
Count = Annotated[int, Meta(gt=0)]
Percent = Annotated[int, Meta(ge=0, le=100)]
Name = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$")]
Hash = Annotated[str, Meta(pattern=r"^([0-9a-f]{64})?$")]
OptionalPort = Annotated[int, Meta(ge=0, le=65535)]
CurveKey = Annotated[str, Meta(min_length=40, max_length=40)]


class Section(msgspec.Struct, forbid_unknown_fields=True):
    """Base class of the sections of a settings document."""


class HostSettings(Section):
    """This host's id, location and addresses."""

    id: Name
    zone: Name
    region: Name
    address: str
    http_port: Port
    peer_port: Port
    advertised_peer_port: OptionalPort
    listen_backlog: Count


class PeerSettings(Section):
    """A seed host, from which a starting host requests the list of hosts."""

    id: Name
    zone: Name
    address: str
    peer_port: Port


class PlatformSettings(Section):
    """Address, timeout and backoff of the platform's service."""

    address: str
    port: Port
    timeout_ms: DurationMs
    backoff_min_ms: DurationMs
    backoff_max_ms: DurationMs


class SecuritySettings(Section):
    """The fleet's CURVE key pair and the hash of the operators' token."""

    fleet_public_key: CurveKey
    fleet_secret_key: CurveKey
    operator_token_hash: Hash


class LimitSettings(Section):
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


class ConfigurationSettings(Section):
    """How often the head row is read, and how long one read is valid."""

    poll_ms: DurationMs
    lease_ms: DurationMs
    lease_margin_ms: DurationMs
    answer_timeout_ms: DurationMs


class MembershipSettings(Section):
    """Probing of hosts and reading of the host list."""

    probe_interval_ms: DurationMs
    probe_timeout_ms: DurationMs
    suspect_ms: DurationMs
    host_list_poll_ms: DurationMs


class IdempotencySettings(Section):
    """How many idempotency keys are remembered, and for how long."""

    key_lifetime_ms: DurationMs
    max_remembered: Count


class StepSettings(Section):
    """Hedging of a step's samples and limits of pulling them."""

    hedge_percent: Percent
    pull_wait_ms: DurationMs
    max_pull_samples: Count


class PolicySettings(Section):
    """Policies for ordering and placing work; each has a simple alternative."""

    queue: Literal["fair", "fifo"]
    early_refusal: bool
    placement: Literal["prefix", "least_loaded", "round_robin"]
    start_order: Literal["longest_first", "as_numbered"]
    stragglers: Literal["hedge", "resume", "restart"]
    drop_early: bool
    rollout: Literal["all_at_once", "rolling"]
    rolling_percent: Annotated[int, Meta(ge=1, le=100)]


class ShutdownSettings(Section):
    """Waiting times of a graceful shutdown."""

    unready_ms: DurationMs
    drain_ms: DurationMs


class LogSettings(Section):
    """Log level and format."""

    level: Literal["debug", "info", "warning", "error"]
    style: Literal["text", "json"]


class TracingSettings(Section):
    """Exporter of tracing spans."""

    exporter: Literal["none", "console"]


class Settings(Section):
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
    return validate(Settings, _defaults(), document, name)


def validate(kind, defaults, document, name):
    """Validate a document against a type, with defaults filled in.

    :param kind: the type, a :class:`Section` of sections.
    :param defaults: the values for omitted keys.
    :param document: the decoded JSON.
    :param name: the name of the document in error messages.
    :raises UserError: listing every error with its path in the document.
    """
    if not isinstance(document, dict):
        raise UserError(f"{name}: the document is not an object.", EXIT_BAD_SETTINGS)
    merged = _merge(defaults, document)
    faults = list(_faults(kind, merged, ""))
    if faults:
        lines = [f"{name}: {len(faults)} error(s).", *faults]
        raise UserError("\n  ".join(lines), EXIT_BAD_SETTINGS)
    return msgspec.convert(merged, kind)


def default_limits():
    """Return the default limits."""
    return msgspec.convert(_defaults()["limits"], LimitSettings)


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


def _faults(kind, value, path):
    """Yield a line for every error in a value; msgspec itself stops at the first.

    :param kind: the value's type.
    :param value: the decoded JSON.
    :param path: its path in the document.
    """
    if isinstance(kind, type) and issubclass(kind, Section) and isinstance(value, dict):
        type_by_name = {f.name: f.type for f in msgspec.structs.fields(kind)}
        for key in value:
            if key not in type_by_name:
                yield f"{_join(path, key)}: There is no such setting."
        for key, field_type in type_by_name.items():
            if key in value:
                yield from _faults(field_type, value[key], _join(path, key))
            else:
                yield f"{_join(path, key)}: The setting is missing."
    elif typing.get_origin(kind) is list and isinstance(value, list):
        for index, entry in enumerate(value):
            yield from _faults(typing.get_args(kind)[0], entry, _join(path, index))
    else:
        try:
            msgspec.convert(value, kind)
        except msgspec.ValidationError as e:
            yield f"{path}: {e}."


def _join(path, key):
    return f"{path}.{key}" if path else str(key)
