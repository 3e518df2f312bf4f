"""The configuration document: accounts, pools, upstreams and their terms."""

import enum
import zlib
from typing import Literal

import msgspec

MAX_DOCUMENT_BYTES = 16 << 20


class UpstreamKind(enum.StrEnum):
    """The kind of server that an upstream is."""

    ENGINE = "engine"
    APPLICATION = "application"


class VersionChangePolicy(enum.StrEnum):
    """How a stream is handled when its engine changes weights."""

    FINISH = "finish"
    RESUME = "resume"
    CANCEL = "cancel"


class CutOffTerms(msgspec.Struct, frozen=True):
    """An account's limits on a host that cannot read the configuration.

    :param serve: whether the account is served at all.
    :param share: the account's weight in the pool meanwhile.
    :param staleness_bound: the account's staleness bound meanwhile, in versions.
    """

    serve: bool = True
    share: int = 1
    staleness_bound: int = 0


class DeliveryRules(msgspec.Struct, frozen=True):
    """How an account's samples are generated.

    :param hedge: whether straggling streams may be hedged.
    :param on_version_change: how streams in flight are handled.
    """

    hedge: bool = True
    on_version_change: VersionChangePolicy = VersionChangePolicy.RESUME


class Account(msgspec.Struct, frozen=True):
    """A client account.

    :param name: its name.
    :param kind: trainer or application.
    :param token_hash: SHA-256 of its token, in hexadecimal.
    :param pools: the pools that it may use.
    :param share: its weight in a pool.
    :param staleness_bound: the maximum number of versions that a sample may lag.
    :param zone: the availability zone of the hosts that hold its steps.
    :param delivery: how its samples are generated.
    :param cut_off: its limits on hosts that cannot read the configuration.
    """

    name: str
    kind: Literal["trainer", "application"]
    token_hash: str
    pools: tuple[str, ...] = ()
    share: int = 1
    staleness_bound: int = 1
    zone: str = ""
    delivery: DeliveryRules = DeliveryRules()
    cut_off: CutOffTerms = CutOffTerms()


class Pool(msgspec.Struct, frozen=True):
    """A group of interchangeable upstreams.

    :param name: its name, which callers use in routes.
    :param kind: engine or application.
    :param model: the model that its engines run; empty for applications.
    """

    name: str
    kind: UpstreamKind
    model: str = ""


class Upstream(msgspec.Struct, frozen=True):
    """One server of a pool.

    :param name: its name.
    :param pool: its pool's name.
    :param zone: its availability zone.
    :param address: its IP address.
    :param port: its TCP port.
    :param slots: the maximum number of concurrent requests.
    :param fencing: whether it rejects load orders with an old fencing number.
    :param draining: whether an operator has stopped new work on it.
    """

    name: str
    pool: str
    zone: str
    address: str
    port: int
    slots: int = 16
    fencing: bool = True
    draining: bool = False


class Configuration(msgspec.Struct, frozen=True):
    """One version of all settings that operators change at run time.

    :param version: the version of its head row; 0 when empty.
    :param accounts_by_name: the client accounts.
    :param pools_by_name: the pools.
    :param upstreams_by_name: the upstreams of all pools.
    :param draining_hosts: hosts on which an operator has stopped new work.
    """

    version: int = 0
    accounts_by_name: dict[str, Account] = {}
    pools_by_name: dict[str, Pool] = {}
    upstreams_by_name: dict[str, Upstream] = {}
    draining_hosts: tuple[str, ...] = ()

    def upstreams_of(self, pool):
        """Return the upstreams of a pool, sorted by name.

        :param pool: the pool's name.
        """
        members = (u for u in self.upstreams_by_name.values() if u.pool == pool)
        return sorted(members, key=lambda upstream: upstream.name)


class ConfigurationView(msgspec.Struct, frozen=True):
    """The configuration that currently applies on a host.

    :param configuration: the newest configuration that the host has adopted.
        When ``lease_expired``, accounts that may not be served are omitted and the
        others have their cut-off share and staleness bound.
    :param lease_expired: whether the read lease has expired.
    """

    configuration: Configuration
    lease_expired: bool


def encode(configuration):
    """Encode a configuration; equal configurations give equal bytes.

    The bytes are compressed because every host fetches every version and the
    documents are long and repetitive.

    :param configuration: a :class:`Configuration`.
    """
    return zlib.compress(msgspec.json.encode(configuration, order="sorted"))


def decode(data):
    """Decode a configuration.

    :param data: the output of :func:`encode`.
    :raises msgspec.MsgspecError: when the data is not a valid configuration.
    """
    codec = zlib.decompressobj()
    try:
        text = codec.decompress(data, MAX_DOCUMENT_BYTES)
    except zlib.error as e:
        raise msgspec.DecodeError("The document is not valid zlib data.") from e
    if not codec.eof:
        raise msgspec.DecodeError("The document is truncated or too long.")
    return msgspec.json.decode(text, type=Configuration)
