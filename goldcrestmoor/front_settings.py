"""Settings of the daemon on the users' platform: a JSON document."""

import json
from importlib import resources
from typing import Annotated

from msgspec import Meta

from goldcrestmoor import settings
from goldcrestmoor.settings import (
    Count,
    DurationMs,
    LimitSettings,
    LogSettings,
    Port,
    Section,
    ShutdownSettings,
    TracingSettings,
)

DEFAULTS_FILE = "front_defaults.json"

Text = Annotated[str, Meta(min_length=1)]
Cores = Annotated[float, Meta(gt=0)]
Share = Annotated[float, Meta(gt=0, le=1)]
Seconds = Annotated[float, Meta(gt=0)]
MemoryMb = Annotated[float, Meta(ge=0)]
Endpoint = Annotated[str, Meta(pattern=r"^[0-9.]+:[0-9]{1,5}$")]


class FrontHostSettings(Section):
    """This host's id, location and size, and addresses, each ``address:port``.

    The platform states its memory and the contracts in force; without either, what is
    held for callers isn't bounded. It also states when it kills a stopped process.
    """

    id: Text
    zone: Text
    region: str
    callers: Endpoint
    readiness: Endpoint
    metrics_port: Port
    listen_backlog: Count
    cores: Cores
    core_share: Share
    memory_mb: MemoryMb | None
    contracts: list[str] | None
    grace_s: Seconds | None

    @property
    def address(self):
        """The IP address that callers connect to."""
        return self.callers.rpartition(":")[0]

    @property
    def http_port(self):
        """The TCP port that callers connect to."""
        return int(self.callers.rpartition(":")[2])

    @property
    def readiness_port(self):
        """The TCP port of the readiness check."""
        return int(self.readiness.rpartition(":")[2])


class ServiceSettings(Section):
    """Base class of the sections of services of the platform, by address."""

    endpoint: Endpoint

    @property
    def address(self):
        """The service's IP address."""
        return self.endpoint.rpartition(":")[0]

    @property
    def port(self):
        """The service's TCP port."""
        return int(self.endpoint.rpartition(":")[2])


class StoreSettings(ServiceSettings):
    """Address of the platform's store, ``address:port``, and its timeout."""

    timeout_ms: DurationMs


class JobSettings(Section):
    """How long batch jobs are retained after submission."""

    kept_s: Count


class OrderSettings(Section):
    """How long one host's load order keeps other hosts from ordering an engine."""

    turn_ms: DurationMs


class ApiSettings(ServiceSettings):
    """The platform's API: its address, its rate limit and the calls due to it."""

    calls_per_s: Annotated[float, Meta(gt=0)]
    duties: list[str]


class UsageSettings(Section):
    """Length of a usage window, and when its report is due after its end."""

    window_s: Count
    due_s: Count


class AccountSettings(Section):
    """Whether keys are refused by a host that may miss their withdrawal, and when."""

    strict_revocation: bool
    revoke_ms: DurationMs


class FrontSettings(Section):
    """All settings of the daemon on the users' platform.

    A section that the platform does not provide is None.
    """

    host: FrontHostSettings
    store: StoreSettings
    jobs: JobSettings
    orders: OrderSettings
    api: ApiSettings | None
    usage: UsageSettings | None
    accounts: AccountSettings | None
    limits: LimitSettings
    shutdown: ShutdownSettings
    log: LogSettings
    tracing: TracingSettings


def load(path):
    """Read and validate a settings file.

    :param path: the file's path.
    :return: the :class:`FrontSettings`, with defaults filled in.
    :raises UserError: listing every error with its path in the document.
    """
    return settings.validate(FrontSettings, _defaults(), settings.read(path), path)


def decode(document, name="settings"):
    """Validate a settings document.

    :param document: the decoded JSON.
    :param name: the name of the document in error messages.
    :return: the :class:`FrontSettings`, with defaults filled in.
    :raises UserError: listing every error with its path in the document.
    """
    return settings.validate(FrontSettings, _defaults(), document, name)


def _defaults():
    text = resources.files("goldcrestmoor").joinpath(DEFAULTS_FILE).read_text()
    return json.loads(text)
