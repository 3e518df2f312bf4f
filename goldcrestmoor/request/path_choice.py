"""Chooses the host through which requests go to a server that this host can't reach.

Workload: hosts lose all servers for seconds, also most or all hosts of a zone, while
callers press them and the other hosts reach the servers. The few hosts that do are
asked by all others at once, so each asks a few, of its own zone and of others, and uses
any of those that reach the server.
"""

import random

import msgspec

# Bounds the calls when a whole zone asks at once.
OWN_ZONE_HOSTS = 4
OTHER_ZONE_HOSTS = 6


class Reach(msgspec.Struct, frozen=True):
    """What a host says of its path to a server.

    :param is_reached: whether it reaches the server.
    :param is_refused: whether nothing listened at the server's address just now.
    """

    is_reached: bool
    is_refused: bool = False


def hosts_to_ask(zone_by_host, host_id, is_reachable, sample=random.sample):
    """Return the hosts to ask about a server.

    Most of the registered hosts may be gone, as after the loss of a zone.

    :param zone_by_host: the availability zone of each host.
    :param host_id: this host.
    :param is_reachable: returns whether a host isn't known to give no reply.
    :param sample: returns a number of random elements of a list.
    """
    own_zone = zone_by_host.get(host_id)
    own, others = [], []
    for host, zone in zone_by_host.items():
        if host != host_id and is_reachable(host):
            (own if zone == own_zone else others).append(host)
    return [
        *sample(own, min(len(own), OWN_ZONE_HOSTS)),
        *sample(others, min(len(others), OTHER_ZONE_HOSTS)),
    ]


def choose_host(reach_by_host, zone_by_host, host_id, choice=random.choice):
    """Return a host that reaches a server, of this host's zone if possible, or None.

    :param reach_by_host: the :class:`Reach` of each host that replied.
    :param zone_by_host: the availability zone of each host.
    :param host_id: this host.
    :param choice: returns a random element of a list.
    """
    reaching = [host for host, reach in reach_by_host.items() if reach.is_reached]
    own_zone = zone_by_host.get(host_id)
    near = [host for host in reaching if zone_by_host.get(host) == own_zone]
    return choice(near or reaching) if reaching else None
