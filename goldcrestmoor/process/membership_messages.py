"""Membership messages that hosts exchange."""

import enum

import msgspec

from goldcrestmoor import wire


class HostState(enum.StrEnum):
    """State of a host, as recorded by another host."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


class HostRecord(msgspec.Struct, frozen=True, array_like=True):
    """One host's membership record.

    :param id: its name.
    :param zone: its availability zone.
    :param region: its region.
    :param address: its IP address.
    :param http_port: the TCP port for callers.
    :param peer_port: the TCP port for peers.
    :param incarnation: increased by the host itself to override older records.
    :param state: the state of the host.
    """

    id: str
    zone: str
    region: str
    address: str
    http_port: int
    peer_port: int
    incarnation: int
    state: HostState


class Probe(wire.Message, frozen=True, array_like=True):
    """Probes whether a host is alive.

    :param sender: the probing host's own record.
    :param updates: recent changes of other hosts.
    :param list_is_stale: whether the probing host lacks a recent host list reading.
    """

    sender: HostRecord
    updates: tuple[HostRecord, ...] = ()
    list_is_stale: bool = False


class ProbeAnswer(wire.Message, frozen=True, array_like=True):
    """Reports that a host is alive.

    :param sender: the answering host's own record.
    :param updates: recent changes of other hosts.
    :param leaving_upstreams: the upstreams that are leaving, for a probing host
        without a recent reading of the host list.
    :param answered_leaving: the upstreams that reported that they are leaving, and
        how much longer the report is valid, in milliseconds.
    """

    sender: HostRecord
    updates: tuple[HostRecord, ...] = ()
    leaving_upstreams: tuple[str, ...] = ()
    answered_leaving: dict[str, int] = {}


class ProbeFor(wire.Message, frozen=True):
    """Requests that a host probe a third one."""

    target: HostRecord


class ProbeForAnswer(wire.Message, frozen=True):
    """Reports whether the third host answered."""

    reached: bool


class SyncRequest(wire.Message, frozen=True):
    """Requests one page of all membership records of a host.

    :param sender: the requesting host's own record.
    :param after: the last host id of the previous page.
    """

    sender: HostRecord
    after: str = ""


class SyncAnswer(wire.Message, frozen=True):
    """One page of a host's membership records.

    :param records: host records, sorted by id.
    :param more: whether there are more pages.
    """

    records: tuple[HostRecord, ...]
    more: bool = False


class ListRead(wire.Message, frozen=True, array_like=True):
    """Reports a new reading of the host list, with the upstreams that are leaving.

    :param leaving_upstreams: all upstreams that are leaving.
    :param targets: the hosts that the receiver forwards the message to.
    """

    leaving_upstreams: tuple[str, ...] = ()
    targets: tuple[str, ...] = ()
