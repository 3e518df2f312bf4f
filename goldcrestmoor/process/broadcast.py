"""Broadcasts messages to live hosts along a tree of bounded fan-out."""

import msgspec

# With eight, three hops reach 500 hosts.
FAN_OUT = 8


class TreeBroadcast:
    """Forwards messages along a tree, so that no host sends more than a few copies.

    A message may be lost with a host that dies while forwarding it. Users need a
    second, possibly slower, source of the same information.

    :param links: the :class:`~goldcrestmoor.connection.peers.PeerLinks`.
    :param membership: the :class:`~goldcrestmoor.process.membership.Membership`.
    :param host_id: this host.
    """

    __slots__ = ("_links", "_membership", "_host_id")

    def __init__(self, *, links, membership, host_id):
        self._links = links
        self._membership = membership
        self._host_id = host_id

    def broadcast(self, message, zone=None):
        """Send a message to every other live host.

        :param message: a message with a field ``targets``.
        :param zone: an availability zone; all zones when left out.
        """
        live = sorted(
            self._membership.live(zone), key=lambda record: (record.zone, record.id)
        )
        ids = (record.id for record in live if record.id != self._host_id)
        self.forward(message, tuple(ids))

    def forward(self, message, targets):
        """Forward a message to its targets.

        :param message: a message with a field ``targets``.
        :param targets: the receiving hosts, grouped by zone.
        """
        for head, *rest in split_targets(targets):
            copy = msgspec.structs.replace(message, targets=tuple(rest))
            self._links.send(head, copy)


def split_targets(targets):
    """Yield the targets in at most :data:`FAN_OUT` runs of about equal length.

    :param targets: a sequence of hosts.
    """
    count = min(FAN_OUT, len(targets))
    start = 0
    for i in range(count):
        end = start + (len(targets) - start) // (count - i)
        yield targets[start:end]
        start = end
