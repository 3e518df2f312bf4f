"""Assignment of duties to live hosts by rendezvous hashing."""

from goldcrestmoor.util import rendezvous, rendezvous_order


class Ownership:
    """Assigns duties to hosts; every host computes the assignment itself.

    Two hosts may disagree for a moment. That costs efficiency only: correctness does
    not depend on a single owner.

    :param membership: the :class:`~goldcrestmoor.process.membership.Membership`.
    :param host_id: this host.
    :param draining_hosts: returns the names of the hosts that operators drain.
    """

    __slots__ = ("_membership", "_host_id", "_draining_hosts")

    def __init__(self, *, membership, host_id, draining_hosts=tuple):
        self._membership = membership
        self._host_id = host_id
        self._draining_hosts = draining_hosts

    def owner_of_upstream(self, upstream):
        """Return the host that admits requests to an upstream.

        :param upstream: the ``Upstream``.
        """
        return self._holder(f"upstream/{upstream.name}", upstream.zone)

    def holder_of_step(self, account, step):
        """Return the host that holds a step.

        :param account: the step's
            :class:`~goldcrestmoor.version.configuration.document.Account`.
        :param step: the step's name.
        """
        return self._holder(f"step/{account.name}/{step}", account.zone)

    def preferred_hosts(self, duty, count):
        """Return the hosts that rank highest for a duty, best first.

        :param duty: the duty's name.
        :param count: how many at most.
        """
        return rendezvous_order(duty, self._working())[:count]

    def _holder(self, duty, zone):
        own = self._membership.find(self._host_id)
        for choice in (zone, own.zone):
            host_ids = self._working(choice) if choice else ()
            if host_ids:
                return rendezvous(duty, host_ids)
        return self._host_id

    def _working(self, zone=None):
        draining = set(self._draining_hosts())
        live = self._membership.live(zone)
        return [record.id for record in live if record.id not in draining]
