"""The weight versions that trainers have named."""

import logging

log = logging.getLogger("goldcrestmoor.versions")


class TargetVersions:
    """The newest named version of each model; it never goes back.

    :param decode: makes a model and a version of a row's value; raises
        :class:`ValueError` for one that names none.
    :param metrics: the :class:`~goldcrestmoor.process.metrics.Metrics`.
    :param on_change: called after a version has been named.
    """

    __slots__ = ("version_by_model", "_decode", "_metrics", "_on_change")

    def __init__(self, *, decode, metrics, on_change):
        self.version_by_model = {}
        self._decode = decode
        self._metrics = metrics
        self._on_change = on_change

    def put(self, value):
        """Take in what a row says.

        :param value: the row's bytes.
        """
        try:
            model, version = self._decode(value)
        except (ValueError, TypeError) as e:
            self._metrics.bad_input.labels("version").inc()
            log.warning("A named version is malformed: %s.", e)
            return
        if version > self.version_by_model.get(model, 0):
            log.info("Version %d of %s is named.", version, model)
            self.version_by_model[model] = version
            self._on_change()
