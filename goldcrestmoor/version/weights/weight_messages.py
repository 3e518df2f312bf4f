"""What hosts tell one another about weight versions."""

from goldcrestmoor import wire


class VersionPublished(wire.Message, frozen=True):
    """Says that a trainer has published a weight version.

    :param model: the model.
    :param version: the version.
    :param account: the account that published it.
    :param targets: the hosts that the receiver passes the message on to.
    """

    model: str
    version: int
    account: str = ""
    targets: tuple[str, ...] = ()


class EngineVersions(wire.Message, frozen=True):
    """Says which versions a model's engines run.

    :param model: the model.
    :param fencing: the fencing number of the host that ordered them.
    :param sequence: grows with each message of that host.
    :param version: what every engine runs that is not an exception.
    :param exceptions: other versions by the upstream's name; -1 where unknown.
    :param targets: the hosts that the receiver passes the message on to.
    """

    model: str
    fencing: int
    sequence: int
    version: int
    exceptions: dict[str, int] = {}
    targets: tuple[str, ...] = ()
