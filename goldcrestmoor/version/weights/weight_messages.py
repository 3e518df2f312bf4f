"""Messages between hosts about weight versions."""

from goldcrestmoor import wire


class VersionPublished(wire.Message, frozen=True):
    """Announces that a trainer has published a weight version.

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
    """Reports the weight versions of a model's engines.

    :param model: the model.
    :param fencing: the fencing number of the host that sent their load orders.
    :param sequence: increases with each message of that host.
    :param version: the version of all engines that are not exceptions.
    :param exceptions: the other versions by upstream name; -1 where unknown.
    :param targets: the hosts that the receiver passes the message on to.
    """

    model: str
    fencing: int
    sequence: int
    version: int
    exceptions: dict[str, int] = {}
    targets: tuple[str, ...] = ()
