"""Messages between hosts about the configuration."""

from goldcrestmoor.version.configuration.cut_off import Proposal
from goldcrestmoor.wire import Message


class FetchConfiguration(Message, frozen=True):
    """Request a peer's configuration, at start while the platform is unavailable.

    :param incarnation: the requesting host's incarnation.
    """

    incarnation: int


class ConfigurationOffer(Message, frozen=True):
    """A peer's configuration.

    :param document: the encoded configuration; empty when the peer has none.
    :param version: its version.
    :param lease_left_ms: the rest of the peer's own lease, in milliseconds.
    :param proposals: the proposals that the peer has acknowledged.
    """

    document: bytes
    version: int
    lease_left_ms: int
    proposals: tuple[Proposal, ...] = ()


class PrepareCutOff(Message, frozen=True):
    """Request that a host applies proposed cut-off terms once its lease expires.

    :param proposal: the proposed terms.
    """

    proposal: Proposal


class GivenHost(Message, frozen=True):
    """A host that received a configuration from a peer.

    :param host_id: the host.
    :param incarnation: its incarnation at the time.
    """

    host_id: str
    incarnation: int


class CutOffPrepared(Message, frozen=True):
    """The acknowledgement of :class:`PrepareCutOff`.

    :param host_id: the acknowledging host.
    :param incarnation: its incarnation.
    :param given_to: the hosts that recently received its configuration.
    """

    host_id: str
    incarnation: int
    given_to: tuple[GivenHost, ...] = ()
