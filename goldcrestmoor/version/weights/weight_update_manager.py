"""Loads current weights onto engines, driven by one host per model."""

import logging
import random

from goldcrestmoor.clock import Deadline
from goldcrestmoor.errors import ServiceError
from goldcrestmoor.util import TaskGroup
from goldcrestmoor.version.weights.rollout_strategies import AllAtOnce
from goldcrestmoor.version.weights.weight_updater import ORDER_TIMEOUT_MS, WeightUpdater

log = logging.getLogger("goldcrestmoor.weights")

LEASE_MS = 6000
CANDIDATE_HOSTS = 3
LEASE_ATTEMPT_INTERVAL_MS = 1000
LEASE_ATTEMPT_JITTER_MS = 200
STOP_POLL_MS = 50


class WeightUpdateManager:
    """Competes for the lease of each model and updates the models whose lease it holds.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param leases: the :class:`~goldcrestmoor.process.leases.LeaseClient`.
    :param ownership: the :class:`~goldcrestmoor.process.ownership.Ownership`.
    :param configuration: returns the
        :class:`~goldcrestmoor.version.configuration.document.Configuration` in effect.
    :param versions: the ``PublishedVersions``.
    :param engine_versions: the
        :class:`~goldcrestmoor.version.weights.engine_versions.EngineVersionTable`.
    :param engines: the :class:`~goldcrestmoor.adapters.engine.EngineClient`.
    :param metrics: the :class:`~goldcrestmoor.process.metrics.Metrics`.
    :param host_id: this host.
    :param strategy: a class of :mod:`goldcrestmoor.version.weights.rollout_strategies`.
    """

    __slots__ = (
        "_clock",
        "_leases",
        "_ownership",
        "_configuration",
        "_versions",
        "_host_id",
        "_updater_args",
        "_updaters_by_model",
        "_stopping",
        "_tasks",
    )

    def __init__(
        self,
        *,
        clock,
        leases,
        ownership,
        configuration,
        versions,
        engine_versions,
        engines,
        metrics,
        host_id,
        strategy=None,
    ):
        self._clock = clock
        self._leases = leases
        self._ownership = ownership
        self._configuration = configuration
        self._versions = versions
        self._host_id = host_id
        self._updater_args = {
            "clock": clock,
            "configuration": configuration,
            "versions": versions,
            "engine_versions": engine_versions,
            "engines": engines,
            "metrics": metrics,
            "strategy": strategy or AllAtOnce(),
        }
        self._updaters_by_model = {}
        self._stopping = False
        self._tasks = TaskGroup()
        versions.on_change(self._wake)

    async def run(self):
        """Try to acquire the models' leases until cancelled."""
        try:
            while True:
                for model in self._models():
                    await self._try_acquire_lease(model)
                jitter_ms = random.uniform(0, LEASE_ATTEMPT_JITTER_MS)
                await self._clock.sleep_ms(LEASE_ATTEMPT_INTERVAL_MS - jitter_ms)
        finally:
            await self._tasks.close()

    async def stop(self):
        """Wait for the orders in flight to end, and release the leases."""
        self._stopping = True
        updaters = self._updaters_by_model
        end = Deadline.after(self._clock, ORDER_TIMEOUT_MS)
        while updaters and not end.passed():
            for updater in updaters.values():
                updater.wake()
            await self._clock.sleep_ms(STOP_POLL_MS)

    def is_updating(self, model):
        """Return whether this host is updating a model's engines.

        :param model: the model.
        """
        return model in self._updaters_by_model

    def _models(self):
        pools = self._configuration().pools_by_name.values()
        return sorted({pool.model for pool in pools if pool.model})

    def _is_candidate(self, model):
        if self._stopping:
            return False
        duty = f"weights/{model}"
        return self._host_id in self._ownership.preferred_hosts(duty, CANDIDATE_HOSTS)

    def _wake(self, model):
        updater = self._updaters_by_model.get(model)
        if updater is not None:
            updater.wake()

    async def _try_acquire_lease(self, model):
        if model in self._updaters_by_model or not self._is_candidate(model):
            return
        try:
            lease = await self._leases.acquire(f"weights/{model}", LEASE_MS)
        except ServiceError as e:
            log.warning("Acquiring the weight lease on %s failed: %s.", model, e)
            return
        if lease is not None:
            updater = WeightUpdater(model=model, lease=lease, **self._updater_args)
            self._updaters_by_model[model] = updater
            self._tasks.start(self._run_updater(model, updater), f"drive {model}")

    async def _run_updater(self, model, updater):
        try:
            async with self._versions.fast_polling():
                await updater.run(lambda: self._is_candidate(model))
        finally:
            del self._updaters_by_model[model]
            if updater.is_settled():
                await self._leases.release(updater.lease)
            else:
                # An order may still be carried out, so the lease must expire before
                # the next holder starts.
                self._leases.abandon(updater.lease)
