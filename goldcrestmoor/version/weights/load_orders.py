"""Sends engines the load orders that the load plan requires.

The host that runs a model's jobs sends them, because it knows which items wait.
"""

import asyncio
import logging

import msgspec

from goldcrestmoor.clock import MS_PER_SECOND
from goldcrestmoor.errors import Ran, ServiceError
from goldcrestmoor.util import TaskGroup
from goldcrestmoor.version.weights.engine_report import LoadMode, Ordered, OrderRefused
from goldcrestmoor.version.weights.load_plan import EngineWeights, Load, plan_loads
from goldcrestmoor.version.weights.order_log import Logged, OthersTurn

log = logging.getLogger("goldcrestmoor.orders")

# Retry delays end without an event that wakes the loop.
POLL_INTERVAL_MS = 100
# While this host runs no model's jobs; it may have begun to.
IDLE_INTERVAL_MS = 500
# A trainer that is late submits its next step right after it sets a target version, and
# that step should find the engines free.
STEP_GRACE_MS = 150
# An accepted order that does not show in the directory by then is reconsidered. A load
# takes about a second, more if several run concurrently, and the directory lags.
PENDING_TIMEOUT_MS = 5000
# The delay before an order is retried, so that a busy engine is not overloaded.
REJECTED_RETRY_MS = 600


class _PendingOrder(msgspec.Struct, frozen=True):
    """The last order to an engine, or the last attempt to send it one.

    :param load: the order.
    :param until_ms: when it is reconsidered.
    :param is_deferred: whether the engine certainly does not carry it out.
    """

    load: Load
    until_ms: float
    is_deferred: bool


class LoadOrders:
    """Orders engines to load the target versions of the models that this host runs.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param runs_model: returns whether this host currently runs a model's jobs.
    :param demand: returns the ``Demand`` for a model.
    :param directory: the :class:`~goldcrestmoor.process.directory.UpstreamDirectory`.
    :param versions: the ``TargetVersions``.
    :param routes: returns the ``RouteTable`` in effect.
    :param engines: sends orders and reads reports, such as ``EngineControlClient``.
    :param order_log: the :class:`~goldcrestmoor.version.weights.order_log.OrderLog`.
    :param metrics: the :class:`~goldcrestmoor.process.metrics.Metrics`.
    :param host_id: this host.
    """

    __slots__ = (
        "_clock",
        "_runs_model",
        "_demand",
        "_directory",
        "_versions",
        "_routes",
        "_engines",
        "_order_log",
        "_metrics",
        "_host_id",
        "_target_by_model",
        "_wakeup",
        "_pending_by_engine",
        "_tasks",
    )

    def __init__(
        self,
        *,
        clock,
        runs_model,
        demand,
        directory,
        versions,
        routes,
        engines,
        order_log,
        metrics,
        host_id,
    ):
        self._clock = clock
        self._runs_model = runs_model
        self._demand = demand
        self._directory = directory
        self._versions = versions
        self._routes = routes
        self._engines = engines
        self._order_log = order_log
        self._metrics = metrics
        self._host_id = host_id
        self._target_by_model = {}
        self._wakeup = asyncio.Event()
        self._pending_by_engine = {}
        self._tasks = TaskGroup()

    def wake(self):
        """Check again which orders are due."""
        self._wakeup.set()

    async def run(self):
        """Send orders until cancelled."""
        while True:
            is_idle = not any(map(self._runs_model, self._versions.version_by_model))
            wait_ms = IDLE_INTERVAL_MS if is_idle else POLL_INTERVAL_MS
            try:
                async with asyncio.timeout(wait_ms / MS_PER_SECOND):
                    await self._wakeup.wait()
            except TimeoutError:
                pass
            self._wakeup.clear()
            self._order_loads()

    async def close(self):
        """Cancel all orders being sent."""
        await self._tasks.close()

    def _order_loads(self):
        table = self._routes()
        if table is None:
            return
        for service in table.services_by_name.values():
            for model in service.models:
                if self._is_due(model):
                    self._order_model(service, model)

    def _is_due(self, model):
        """Return whether a model's target version is old enough to be loaded."""
        version = self._versions.version_by_model.get(model)
        if version is None or not self._runs_model(model):
            return False
        now_ms = self._clock.now_ms()
        target = self._target_by_model.get(model)
        if target is None or target[0] != version:
            self._target_by_model[model] = target = (version, now_ms)
        return now_ms - target[1] >= STEP_GRACE_MS

    def _order_model(self, service, model):
        version = self._versions.version_by_model[model]
        engines = [
            self._engine_weights(u) for u in self._directory.usable(service.name)
        ]
        loads = plan_loads(
            model,
            version,
            engines,
            service.models,
            self._demand(model),
            self._clock.now_ms() - self._target_by_model[model][1],
        )
        for load in loads:
            upstream = self._directory.upstream_by_name[load.engine]
            self._set_pending(load, PENDING_TIMEOUT_MS)
            self._tasks.start(self._send_order(upstream, load))

    def _engine_weights(self, upstream):
        pending = self._pending_by_engine.get(upstream.name)
        is_pending = is_deferred = False
        if pending is not None:
            load = pending.load
            loaded_version = upstream.version_by_model.get(load.model, 0)
            is_pending = (
                loaded_version < load.version
                and self._clock.now_ms() < pending.until_ms
            )
            is_deferred = pending.is_deferred
            if not is_pending:
                del self._pending_by_engine[upstream.name]
        return EngineWeights(
            upstream.name,
            upstream.version_by_model,
            upstream.slots,
            is_loading=is_pending and not is_deferred,
            is_deferred=is_pending and is_deferred,
        )

    async def _send_order(self, upstream, load):
        try:
            report = await self._engines.report(upstream)
            if report.is_busy:
                self._set_pending(load, REJECTED_RETRY_MS)
                return
            if report.version_by_model.get(load.model, 0) >= load.version:
                # The directory will show this soon; until then no order is sent.
                return
            is_usable = self._directory.is_usable(upstream)
            if not is_usable or not self._runs_model(load.model):
                self._set_pending(load, 0)
                return
            match await self._order_log.append(upstream.name):
                case OthersTurn(wait_ms):
                    log.debug(
                        "%s is another host's to order for %d ms more.",
                        upstream.name,
                        wait_ms,
                    )
                    self._set_pending(load, wait_ms, is_deferred=True)
                    return
                case Logged(fencing):
                    pass
            answer = await self._engines.load(
                upstream,
                model=load.model,
                version=load.version,
                mode=_load_mode(self._routes(), upstream.service),
                holder=self._host_id,
                fencing=fencing,
                accepted=report.accepted,
            )
        except ServiceError as e:
            self._metrics.orders.labels(e.code).inc()
            log.info(
                "Ordering %s to load version %d of %s failed: %s",
                upstream.name,
                load.version,
                load.model,
                e,
            )
            # One that may still be carried out counts as a load in progress.
            is_deferred = e.answer.ran is Ran.NOT_RUN
            self._set_pending(load, REJECTED_RETRY_MS * 2, is_deferred)
            return
        self._metrics.orders.labels(type(answer).__name__.lower()).inc()
        match answer:
            case Ordered():
                log.info(
                    "%s loads version %d of %s.",
                    upstream.name,
                    load.version,
                    load.model,
                )
            case OrderRefused(reason):
                log.info("%s rejected a load order: %s.", upstream.name, reason)
                self._set_pending(load, REJECTED_RETRY_MS, is_deferred=True)

    def _set_pending(self, load, delay_ms, is_deferred=False):
        until_ms = self._clock.now_ms() + delay_ms
        self._pending_by_engine[load.engine] = _PendingOrder(
            load, until_ms, is_deferred
        )


def _load_mode(table, service):
    """Return the load mode: ``WAIT`` if a route needs a single version per item."""
    for routes in table.routes_by_host.values():
        for route in routes:
            serves = any(share.service == service for share in route.shares)
            if serves and route.job is not None and route.job.single_version:
                return LoadMode.WAIT
    return LoadMode.RETAIN
