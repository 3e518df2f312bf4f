"""The network of a fleet: a link in front of each target, and cuts between zones.

Every host's connections go out from its own address ``127.0.<zone>.<n>``, so that a
link knows its sources and can block those of some zones only.
"""

from test import _common
from test.fault_proxy import Link

PLATFORM = "platform"


class Network:
    """Links by the target's id, for a fleet of :mod:`test.fleet`.

    :ivar links_by_id: the :class:`~test.fault_proxy.Link` in front of each host's
        peer port, each upstream and the platform.
    """

    def __init__(self):
        self.links_by_id = {}
        self._zone_by_id = {}
        self._prefix_by_zone = {}

    async def add(self, target_id, zone, address, port, listen_address=None):
        """Put a link in front of a target and return it.

        :param target_id: the host, the upstream or ``platform``.
        :param zone: its availability zone; empty for the platform.
        :param address: the target's address.
        :param port: the target's port.
        :param listen_address: where the link listens; at the target's address when
            left out.
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
        """Cut an availability zone off.

        :param zone: the zone.
        :param from_platform: whether it loses the platform.
        :param from_zones: whether it loses the other zones.
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
        """Take every cut between zones back."""
        for link in self.links_by_id.values():
            link.block(())
