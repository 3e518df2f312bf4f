"""The target weight versions that trainers have set."""

import logging

log = logging.getLogger("goldcrestmoor.versions")


class TargetVersions:
    """The target version of each model, which only increases.

    :param decode: returns the model and version of a row's value; raises
        :class:`ValueError` if the value is malformed.
    :param metrics: the :class:`~goldcrestmoor.process.metrics.Metrics`.
    :param on_change: called after a target version has increased.
    """

    __slots__ = ("version_by_model", "_decode", "_metrics", "_on_change")

    def __init__(self, *, decode, metrics, on_change):
        self.version_by_model = {}
        self._decode = decode
        self._metrics = metrics
        self._on_change = on_change

    def put(self, value):
        """Apply a row of the target versions.

        :param value: the row's bytes.
        """
        try:
            model, version = self._decode(value)
        except (ValueError, TypeError) as e:
            self._metrics.bad_input.labels("version").inc()
            log.warning("Target version row is malformed, ignored: %s.", e)
            return
        if version > self.version_by_model.get(model, 0):
            log.info("Target version %d of %s set.", version, model)
            self.version_by_model[model] = version
            self._on_change()
