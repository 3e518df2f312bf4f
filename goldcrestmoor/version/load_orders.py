"""Give engines the orders that the plan of loads asks for, from one host at a time."""

import asyncio
import logging

from goldcrestmoor.clock import MS_PER_SECOND
from goldcrestmoor.errors import ServiceError
from goldcrestmoor.util import TaskGroup
from goldcrestmoor.version.engine_report import LoadMode, Ordered, OrderRefused
from goldcrestmoor.version.load_plan import EngineWeights, plan_loads

log = logging.getLogger("goldcrestmoor.orders")

DUTY = "orders"
TICK_MS = 300
# An order that was taken shows in the list by then, or is looked at again: a load
# takes about a second, more when several happen at once, and the list lags.
SETTLE_MS = 5000
# A refused engine is asked again after this, so that a busy one is not pressed.
REFUSED_MS = 600


class LoadOrders:
    """Order engines to load named versions, while this host holds the duty.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param duties: the :class:`~goldcrestmoor.process.duties.Duties`.
    :param directory: the :class:`~goldcrestmoor.process.directory.Directory`.
    :param versions: the :class:`~goldcrestmoor.version.named_versions.NamedVersions`.
    :param routes: gives the ``RouteTable`` in force.
    :param engines: reports and orders, such as the adapter's ``EngineOrders``.
    :param order_log: the :class:`~goldcrestmoor.version.order_log.OrderLog`.
    :param metrics: the :class:`~goldcrestmoor.process.metrics.Metrics`.
    :param host_id: this host.
    :param lease_ms: how long the duty lasts without renewal.
    """

    __slots__ = (
        "_clock",
        "_duties",
        "_directory",
        "_versions",
        "_routes",
        "_engines",
        "_log",
        "_metrics",
        "_host_id",
        "_lease_ms",
        "_woken",
        "_pending_by_engine",
        "_tasks",
    )

    def __init__(
        self,
        *,
        clock,
        duties,
        directory,
        versions,
        routes,
        engines,
        order_log,
        metrics,
        host_id,
        lease_ms,
    ):
        self._clock = clock
        self._duties = duties
        self._directory = directory
        self._versions = versions
        self._routes = routes
        self._engines = engines
        self._log = order_log
        self._metrics = metrics
        self._host_id = host_id
        self._lease_ms = lease_ms
        self._woken = asyncio.Event()
        self._pending_by_engine = {}
        self._tasks = TaskGroup()

    def wake(self):
        """Look again at what is to be ordered."""
        self._woken.set()

    async def run(self):
        """Order for good."""
        while True:
            try:
                async with asyncio.timeout(TICK_MS / MS_PER_SECOND):
                    await self._woken.wait()
            except TimeoutError:
                pass
            self._woken.clear()
            try:
                if await self._has_duty():
                    self._order()
            except ServiceError as e:
                log.info("The duty to order was not claimed: %s", e)

    async def close(self):
        """Stop giving orders."""
        await self._tasks.close()

    async def _has_duty(self):
        if self._duties.holds(DUTY):
            return True
        if not self._versions.version_by_model or not self._duties.is_free(DUTY):
            return False
        return await self._duties.claim(DUTY, self._lease_ms)

    def _order(self):
        table = self._routes()
        if table is None:
            return
        for service in table.services_by_name.values():
            versions = {
                model: self._versions.version_by_model[model]
                for model in service.models
                if model in self._versions.version_by_model
            }
            if not versions:
                continue
            engines = [self._weights(u) for u in self._directory.usable(service.name)]
            for load in plan_loads(engines, versions):
                upstream = self._directory.upstream_by_name[load.engine]
                self._pending_by_engine[load.engine] = (
                    load,
                    self._clock.now_ms() + SETTLE_MS,
                )
                mode = _mode(table, service.name)
                self._tasks.start(self._give(upstream, load, mode))

    def _weights(self, upstream):
        pending = self._pending_by_engine.get(upstream.name)
        is_loading = False
        if pending is not None:
            load, until_ms = pending
            held = upstream.version_by_model.get(load.model, 0)
            is_loading = held < load.version and self._clock.now_ms() < until_ms
            if not is_loading:
                del self._pending_by_engine[upstream.name]
        return EngineWeights(upstream.name, upstream.version_by_model, is_loading)

    async def _give(self, upstream, load, mode):
        try:
            report = await self._engines.report(upstream)
            if report.is_busy:
                self._retry_after(load, REFUSED_MS)
                return
            if report.version_by_model.get(load.model, 0) >= load.version:
                # The list will say so too; until then it is not asked again.
                return
            if not self._duties.holds(DUTY) or not self._directory.is_usable(upstream):
                self._retry_after(load, 0)
                return
            fencing = await self._log.enter(upstream.name)
            if fencing is None:
                self._retry_after(load, REFUSED_MS)
                return
            answer = await self._engines.load(
                upstream,
                model=load.model,
                version=load.version,
                mode=mode,
                holder=self._host_id,
                fencing=fencing,
                accepted=report.accepted,
            )
        except ServiceError as e:
            # It may be carried out yet, so it counts as loading until that settles.
            self._metrics.orders.labels(e.code).inc()
            log.info(
                "%s was asked to load version %d of %s: %s",
                upstream.name,
                load.version,
                load.model,
                e,
            )
            self._retry_after(load, REFUSED_MS * 2)
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
                log.info("%s refused an order: %s.", upstream.name, reason)
                self._retry_after(load, REFUSED_MS)

    def _retry_after(self, load, delay_ms):
        until_ms = self._clock.now_ms() + delay_ms
        self._pending_by_engine[load.engine] = (load, until_ms)


def _mode(table, service):
    """Return what becomes of the runs: they may not mix versions on some routes."""
    for routes in table.routes_by_host.values():
        for route in routes:
            serves = any(share.service == service for share in route.shares)
            if serves and route.job is not None and route.job.single_version:
                return LoadMode.WAIT
    return LoadMode.RETAIN
