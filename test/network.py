"""The network of a fleet: a proxy link per target, and partitions between zones.

Every host connects from its own address ``127.0.<zone>.<n>``, so that a link can
identify the source of a connection and block single availability zones.
"""

from test import _common
from test.fault_proxy import Link

PLATFORM = "platform"


class Network:
    """The links of a fleet of :mod:`test.fleet`, by target id.

    :ivar links_by_id: the :class:`~test.fault_proxy.Link` in front of each host's
        peer port, each upstream and the platform.
    """

    def __init__(self):
        self.links_by_id = {}
        self._zone_by_id = {}
        self._prefix_by_zone = {}

    async def add(self, target_id, zone, address, port, listen_address=None):
        """Start a link in front of a target and return it.

        :param target_id: the host, the upstream or ``platform``.
        :param zone: its availability zone; empty for the platform.
        :param address: the target's address.
        :param port: the target's port.
        :param listen_address: the address on which the link listens; the target's
            address by default.
        """
        listen_address = listen_address or address
        link = Link(address, port, listen_address, _common.free_port(listen_address))
        await link.start()
        self.links_by_id[target_id] = link
        self._zone_by_id[target_id] = zone
        if zone:
            self._prefix_by_zone[zone] = address.rpartition(".")[0] + "."
        return link

    async def close(self):
        """Close every link."""
        for link in self.links_by_id.values():
            await link.close()

    def cut(self, zone, *, from_platform=True, from_zones=True):
        """Partition an availability zone.

        :param zone: the zone.
        :param from_platform: whether the zone loses the platform.
        :param from_zones: whether the zone loses the other zones.
        """
        own = self._prefix_by_zone[zone]
        others = {p for p in self._prefix_by_zone.values() if p != own}
        for target_id, link in self.links_by_id.items():
            target_zone = self._zone_by_id[target_id]
            if target_zone == zone:
                link.block(others if from_zones else ())
            elif target_zone:
                link.block({own} if from_zones else ())
            elif target_id == PLATFORM and from_platform:
                link.block({own})

    def mend(self):
        """Remove all partitions."""
        for link in self.links_by_id.values():
            link.block(())
