"""The routes in force on this host, as the operator's feed tells them."""

import logging

log = logging.getLogger("goldcrestmoor.routing")


class Routing:
    """Hold the newest routes; they never go back within one process.

    :param decode: makes a ``RouteTable`` of a row's value; raises
        :class:`ValueError` for one that holds none.
    :param metrics: the :class:`~goldcrestmoor.process.metrics.Metrics`.
    :ivar table: the ``RouteTable`` in force, or
        None before one was heard.
    """

    __slots__ = ("table", "_decode", "_metrics")

    def __init__(self, *, decode, metrics):
        self.table = None
        self._decode = decode
        self._metrics = metrics

    def current(self):
        """Return the table in force, or None."""
        return self.table

    def put(self, value):
        """Adopt what a row holds, if it is newer.

        :param value: the row's bytes.
        """
        try:
            table = self._decode(value)
        except (ValueError, TypeError) as e:
            self._metrics.bad_input.labels("configuration").inc()
            log.error("A configuration cannot be read and is not adopted: %s.", e)
            return
        if self.table is not None and table.version <= self.table.version:
            return
        before = self.table.version if self.table else None
        self.table = table
        self._metrics.configuration_version.set(table.version)
        count = sum(len(routes) for routes in table.routes_by_host.values())
        log.info(
            "Configuration %d with %d routes is in force, after %s.",
            table.version,
            count,
            before,
        )
