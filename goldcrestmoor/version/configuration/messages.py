"""What hosts tell one another about the configuration."""

from goldcrestmoor.version.configuration.cut_off import Proposal
from goldcrestmoor.wire import Message


class FetchConfiguration(Message, frozen=True):
    """Ask a peer for its configuration, at start while the platform is down.

    :param incarnation: the asking host's incarnation.
    """

    incarnation: int


class ConfigurationOffer(Message, frozen=True):
    """A peer's configuration.

    :param document: the encoded configuration; empty when the peer has none.
    :param version: its version.
    :param lease_left_ms: how long the peer itself may still act on it.
    :param proposals: the proposals that the peer has acknowledged.
    """

    document: bytes
    version: int
    lease_left_ms: int
    proposals: tuple[Proposal, ...] = ()


class PrepareCutOff(Message, frozen=True):
    """Ask a host to take proposed cut-off terms into account when it lapses.

    :param proposal: the proposed terms.
    """

    proposal: Proposal


class GivenHost(Message, frozen=True):
    """A host that was handed a configuration.

    :param host_id: the host.
    :param incarnation: its incarnation at the time.
    """

    host_id: str
    incarnation: int


class CutOffPrepared(Message, frozen=True):
    """The acknowledgement of :class:`PrepareCutOff`.

    :param host_id: the host that gives it.
    :param incarnation: its incarnation.
    :param given_to: the hosts that it has handed its configuration to.
    """

    host_id: str
    incarnation: int
    given_to: tuple[GivenHost, ...] = ()
