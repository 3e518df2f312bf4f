"""What hosts tell one another about the fleet."""

import enum

import msgspec

from goldcrestmoor import wire


class HostState(enum.StrEnum):
    """What is believed of a host."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


class HostRecord(msgspec.Struct, frozen=True, array_like=True):
    """One host as the fleet knows it.

    :param id: its name.
    :param zone: its availability zone.
    :param region: its region.
    :param address: its IP address.
    :param http_port: the TCP port for callers.
    :param peer_port: the TCP port for peers.
    :param incarnation: raised by the host itself to overrule older claims.
    :param state: what is believed of it.
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
    """Asks whether a host is alive.

    :param sender: the asking host's own record.
    :param updates: news of other hosts.
    :param list_is_stale: whether the asker cannot read the host list itself.
    """

    sender: HostRecord
    updates: tuple[HostRecord, ...] = ()
    list_is_stale: bool = False


class ProbeAnswer(wire.Message, frozen=True, array_like=True):
    """Says that a host is alive.

    :param sender: the answering host's own record.
    :param updates: news of other hosts.
    :param leaving_upstreams: what the host list names as leaving, for an asker
        that cannot read it.
    :param answered_leaving: the upstreams that answered that they are leaving, and
        for how long that counts, in milliseconds.
    """

    sender: HostRecord
    updates: tuple[HostRecord, ...] = ()
    leaving_upstreams: tuple[str, ...] = ()
    answered_leaving: dict[str, int] = {}


class ProbeFor(wire.Message, frozen=True):
    """Asks a host to probe a third one."""

    target: HostRecord


class ProbeForAnswer(wire.Message, frozen=True):
    """Says whether the third host answered."""

    reached: bool


class SyncRequest(wire.Message, frozen=True):
    """Asks for all that a host knows of the fleet, a page at a time.

    :param sender: the asking host's own record.
    :param after: the last host's name of the page before.
    """

    sender: HostRecord
    after: str = ""


class SyncAnswer(wire.Message, frozen=True):
    """One page of what a host knows of the fleet.

    :param records: hosts in the order of their names.
    :param more: whether there is another page.
    """

    records: tuple[HostRecord, ...]
    more: bool = False


class ListRead(wire.Message, frozen=True, array_like=True):
    """Says that the host list was just read, and what it names as leaving.

    :param leaving_upstreams: the upstreams that are leaving, all of them.
    :param targets: the hosts that the receiver passes the message on to.
    """

    leaving_upstreams: tuple[str, ...] = ()
    targets: tuple[str, ...] = ()
