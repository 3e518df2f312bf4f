"""The routes in effect on this host, read from the operator's change feed."""

import logging

from goldcrestmoor.adapters.table import Check

log = logging.getLogger("goldcrestmoor.routing")


class Routing:
    """Holds the newest routes; their version never decreases within one process.

    :param decode: decodes a row's value into a ``RouteTable``; raises
        :class:`ValueError` if the value is not one.
    :param metrics: the :class:`~goldcrestmoor.process.metrics.Metrics`.
    :param on_change: called with each table that comes into effect.
    :ivar table: the ``RouteTable`` in effect, or None before the first one was read.
    """

    __slots__ = ("table", "_decode", "_metrics", "_on_change")

    def __init__(self, *, decode, metrics, on_change):
        self.table = None
        self._on_change = on_change
        self._decode = decode
        self._metrics = metrics

    def current(self):
        """Return the table in effect, or None."""
        return self.table

    def put(self, value):
        """Apply the routes of a row if they are newer.

        :param value: the row's bytes.
        """
        try:
            table = self._decode(value)
        except (ValueError, TypeError) as e:
            self._metrics.bad_input.labels("configuration").inc()
            log.error("Configuration is malformed and ignored: %s.", e)
            return
        if self.table is not None and table.version <= self.table.version:
            return
        before = self.table.version if self.table else None
        self.table = table
        self._on_change(table)
        self._metrics.configuration_version.set(table.version)
        count = sum(len(routes) for routes in table.routes_by_host.values())
        log.info(
            "Configuration %d with %d routes is in effect; previous version: %s.",
            table.version,
            count,
            before,
        )


class ConfigurationRow:
    """The store's row of the configuration, as this host last read it.

    A write that depends on the configuration in effect is conditional on this row: a
    host that was cut off or frozen acts on no older one.

    :param table: the row's table.
    :param key: its key.
    :param rows: returns the :class:`~goldcrestmoor.process.follower.TableFollower` of
        the table.
    """

    __slots__ = ("_table", "_key", "_rows")

    def __init__(self, *, table, key, rows):
        self._table = table
        self._key = key
        self._rows = rows

    def unchanged(self):
        """Return the condition that the store has no newer configuration."""
        row = self._rows().row_by_key.get(self._key)
        return Check(self._table, self._key, row.version if row else 0)

    def learn(self, row):
        """Apply the row that the store has instead.

        :param row: the :class:`~goldcrestmoor.adapters.table.Row`; None if it was
            deleted, which the feed reports.
        """
        if row is not None:
            self._rows().learn([row])
