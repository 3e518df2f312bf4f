"""The weight version of each engine, as last reported to this host."""

import collections

from goldcrestmoor.version.weights.weight_messages import EngineVersions

UNKNOWN_VERSION = -1


class EngineVersionTable:
    """Stores the engine versions that each model's driver broadcasts.

    :param links: the :class:`~goldcrestmoor.connection.peers.PeerLinks`.
    :param broadcast: the :class:`~goldcrestmoor.process.broadcast.TreeBroadcast`.
    :param configuration: returns the
        :class:`~goldcrestmoor.version.configuration.document.Configuration` in effect.
    """

    __slots__ = ("_broadcast", "_configuration", "_message_by_model", "_sequence")

    def __init__(self, *, links, broadcast, configuration):
        self._broadcast = broadcast
        self._configuration = configuration
        self._message_by_model = {}
        self._sequence = 0
        links.register(EngineVersions, self._on_versions)

    def version_of(self, upstream):
        """Return the last known weight version of an engine, or None.

        :param upstream: the ``Upstream``.
        """
        pool = self._configuration().pools_by_name.get(upstream.pool)
        known = self._message_by_model.get(pool.model) if pool else None
        if known is None:
            return None
        version = known.exceptions.get(upstream.name, known.version)
        return None if version == UNKNOWN_VERSION else version

    def broadcast(self, model, fencing, versions_by_upstream):
        """Store the versions of a model's engines and broadcast them to all hosts.

        :param model: the model.
        :param fencing: the fencing number of the load orders.
        :param versions_by_upstream: versions by upstream name; None where unknown.
        """
        # Almost all engines run the same version, so only the exceptions are listed.
        version_by_name = {
            name: UNKNOWN_VERSION if version is None else version
            for name, version in versions_by_upstream.items()
        }
        counts = collections.Counter(version_by_name.values())
        version = max(counts, key=counts.get, default=UNKNOWN_VERSION)
        exceptions = {name: v for name, v in version_by_name.items() if v != version}
        self._sequence += 1
        message = EngineVersions(model, fencing, self._sequence, version, exceptions)
        self._apply(message)
        self._broadcast.broadcast(message)

    async def _on_versions(self, sender, message):
        self._apply(message)
        self._broadcast.forward(message, message.targets)

    def _apply(self, message):
        pools = self._configuration().pools_by_name.values()
        known = self._message_by_model.get(message.model)
        if known is not None and _sort_key(known) > _sort_key(message):
            return
        if known is not None or any(pool.model == message.model for pool in pools):
            self._message_by_model[message.model] = message


def _sort_key(message):
    return message.fencing, message.sequence
