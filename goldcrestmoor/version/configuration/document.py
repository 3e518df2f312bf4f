"""The configuration document: accounts, pools, upstreams and their terms."""

import enum
import zlib
from typing import Literal

import msgspec

MAX_DOCUMENT_BYTES = 16 << 20


class UpstreamKind(enum.StrEnum):
    """What an upstream is."""

    ENGINE = "engine"
    APPLICATION = "application"


class VersionChangePolicy(enum.StrEnum):
    """What happens to a stream when its engine changes weights."""

    FINISH = "finish"
    RESUME = "resume"
    CANCEL = "cancel"


class CutOffTerms(msgspec.Struct, frozen=True):
    """What a host may do for an account while it cannot read the configuration.

    :param serve: whether the account is served at all.
    :param share: its weight in the pool meanwhile.
    :param staleness_bound: its staleness bound meanwhile, in versions.
    """

    serve: bool = True
    share: int = 1
    staleness_bound: int = 0


class DeliveryRules(msgspec.Struct, frozen=True):
    """How an account's samples are made.

    :param hedge: whether stragglers may get a second copy.
    :param on_version_change: what happens to streams in flight.
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
    :param staleness_bound: the most versions that a sample may lag behind.
    :param zone: the availability zone where its steps are held.
    :param delivery: how its samples are made.
    :param cut_off: what a cut-off host may do for it.
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
    """A group of like upstreams.

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
    :param slots: how many requests it runs at a time.
    :param fencing: whether it refuses orders with an old fencing number.
    :param draining: whether an operator wants no new work on it.
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
    """One version of everything that operators set.

    :param version: the head row's version that it came with; 0 when empty.
    :param accounts_by_name: the client accounts.
    :param pools_by_name: the pools.
    :param upstreams_by_name: the upstreams of all pools.
    :param draining_hosts: hosts that an operator wants no new work on.
    """

    version: int = 0
    accounts_by_name: dict[str, Account] = {}
    pools_by_name: dict[str, Pool] = {}
    upstreams_by_name: dict[str, Upstream] = {}
    draining_hosts: tuple[str, ...] = ()

    def upstreams_of(self, pool):
        """Return the upstreams of a pool, in the order of their names.

        :param pool: the pool's name.
        """
        members = (u for u in self.upstreams_by_name.values() if u.pool == pool)
        return sorted(members, key=lambda upstream: upstream.name)


class ConfigurationView(msgspec.Struct, frozen=True):
    """What a host may act on at this moment.

    :param configuration: the newest configuration that the host has adopted.
        When ``lease_expired``, accounts that may not be served are left out and the
        others carry their cut-off share and staleness bound.
    :param lease_expired: whether the read lease has run out.
    """

    configuration: Configuration
    lease_expired: bool


def encode(configuration):
    """Return a configuration as bytes, the same for equal documents.

    Every host fetches every version, and the documents are long and repetitive.

    :param configuration: a :class:`Configuration`.
    """
    return zlib.compress(msgspec.json.encode(configuration, order="sorted"))


def decode(data):
    """Return the configuration that bytes hold.

    :param data: what :func:`encode` gave.
    :raises msgspec.MsgspecError: when they hold no configuration.
    """
    codec = zlib.decompressobj()
    try:
        text = codec.decompress(data, MAX_DOCUMENT_BYTES)
    except zlib.error as e:
        raise msgspec.DecodeError("The document is not compressed well.") from e
    if not codec.eof:
        raise msgspec.DecodeError("The document is cut short or too long.")
    return msgspec.json.decode(text, type=Configuration)
