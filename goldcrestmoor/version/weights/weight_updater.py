"""Makes the engines of one model load its current version."""

import asyncio
import itertools
import logging

from goldcrestmoor.clock import MS_PER_SECOND
from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.util import Backoff, TaskGroup
from goldcrestmoor.version.weights.rollout_strategies import max_loads

log = logging.getLogger("goldcrestmoor.weights")

ORDER_TIMEOUT_MS = 10_000
STATE_TIMEOUT_MS = 2000
CHECK_INTERVAL_MS = 500
STATE_READ_INTERVAL_MS = 30_000
STATE_LAG_MS = 2000
BROADCAST_MIN_INTERVAL_MS = 1000
BROADCAST_MAX_INTERVAL_MS = 30_000
COALESCE_DELAY_MS = 20
RETRY_MIN_MS = 500
RETRY_MAX_MS = 15_000
MAX_LOADS = 256
MAX_READS = 64
OTHER_MODEL_VERSION = 0


class _Engine:
    """The state of one engine, as tracked by the updater.

    :param first_order_ms: the earliest time of the first order.
    """

    __slots__ = (
        "version",
        "busy",
        "backoff",
        "next_order_ms",
        "next_read_ms",
        "first_order_ms",
    )

    def __init__(self, first_order_ms):
        self.version = None
        self.busy = False
        self.backoff = Backoff(RETRY_MIN_MS, RETRY_MAX_MS)
        self.next_order_ms = 0
        self.next_read_ms = 0
        self.first_order_ms = first_order_ms


class WeightUpdater:
    """Orders the engines of one model, while this host holds the model's lease.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param model: the model.
    :param lease: the :class:`~goldcrestmoor.process.leases.Lease` on the model.
    :param configuration: returns the configuration in effect.
    :param versions: the ``PublishedVersions``.
    :param engine_versions: broadcasts the engines' versions.
    :param engines: the :class:`~goldcrestmoor.adapters.engine.EngineClient`.
    :param metrics: the :class:`~goldcrestmoor.process.metrics.Metrics`.
    :param strategy: a class of :mod:`goldcrestmoor.version.weights.rollout_strategies`.
    """

    __slots__ = (
        "model",
        "lease",
        "_clock",
        "_configuration",
        "_versions",
        "_engine_versions",
        "_engines",
        "_metrics",
        "_strategy",
        "_started_ms",
        "_engines_by_name",
        "_read_count",
        "_load_count",
        "_unresolved_until_ms",
        "_wakeup",
        "_is_superseded",
        "_last_broadcast",
        "_last_broadcast_ms",
        "_tasks",
    )

    def __init__(
        self,
        *,
        clock,
        model,
        lease,
        configuration,
        versions,
        engine_versions,
        engines,
        metrics,
        strategy,
    ):
        self.model = model
        self.lease = lease
        self._clock = clock
        self._configuration = configuration
        self._versions = versions
        self._engine_versions = engine_versions
        self._engines = engines
        self._metrics = metrics
        self._strategy = strategy
        self._started_ms = clock.now_ms()
        self._engines_by_name = {}
        self._read_count = 0
        self._load_count = 0
        self._unresolved_until_ms = 0
        self._wakeup = asyncio.Event()
        self._is_superseded = False
        self._last_broadcast = None
        self._last_broadcast_ms = 0
        self._tasks = TaskGroup()

    def wake(self):
        """Check at once which orders and reads are due."""
        self._wakeup.set()

    def is_settled(self):
        """Return whether no order can still be carried out by an engine."""
        return (
            not self._load_count and self._clock.now_ms() >= self._unresolved_until_ms
        )

    async def run(self, is_candidate):
        """Order engines while the lease is held.

        :param is_candidate: returns whether this host should continue.
        """
        try:
            while self.lease.holds() and not self._is_superseded and is_candidate():
                self._wakeup.clear()
                self._start_due(self._upstreams())
                self._broadcast_versions()
                await self._wait()
            # The next holder must not start while an order is in flight.
            while self._load_count:
                self._wakeup.clear()
                await self._wait()
        finally:
            if self._load_count:
                self._record_unresolved()
            await self._tasks.close()

    def _upstreams(self):
        configuration = self._configuration()
        pools = configuration.pools_by_name.values()
        names = {pool.name for pool in pools if pool.model == self.model}
        found = configuration.upstreams_by_name.values()
        upstreams = sorted(
            (upstream for upstream in found if upstream.pool in names),
            key=lambda upstream: upstream.name,
        )
        known = self._engines_by_name
        self._engines_by_name = {
            u.name: known.get(u.name) or _Engine(self._first_order_ms(u))
            for u in upstreams
        }
        return upstreams

    def _first_order_ms(self, upstream):
        """Return the earliest time at which an engine may be ordered.

        An engine that ignores fencing numbers could carry out a late order of the
        previous holder. That holder's lease is over, so its last order ends within
        the order timeout.
        """
        if upstream.fencing or self.lease.was_released:
            return self._started_ms
        return self._started_ms + ORDER_TIMEOUT_MS

    async def _wait(self):
        pause = asyncio.ensure_future(self._clock.sleep_ms(CHECK_INTERVAL_MS))
        woken = asyncio.ensure_future(self._wakeup.wait())
        try:
            await asyncio.wait((pause, woken), return_when=asyncio.FIRST_COMPLETED)
        finally:
            pause.cancel()
            woken.cancel()
        # Many engines respond at about the same time; one check handles them all.
        await self._clock.sleep_ms(COALESCE_DELAY_MS)

    def _start_due(self, upstreams):
        target = self._versions.current(self.model)
        now_ms = self._clock.now_ms()
        reads = (u for u in upstreams if self._should_read(u, now_ms))
        for upstream in itertools.islice(reads, MAX_READS - self._read_count):
            self._start(self._read_state(upstream), upstream)
        limit = min(MAX_LOADS, max_loads(len(upstreams), self._strategy))
        orders = (u for u in upstreams if self._should_order(u, target, now_ms))
        for upstream in itertools.islice(orders, max(0, limit - self._load_count)):
            self._start(self._order(upstream, target), upstream)

    def _start(self, coroutine, upstream):
        self._engines_by_name[upstream.name].busy = True
        self._tasks.start(coroutine, f"engine {upstream.name}")

    def _should_read(self, upstream, now_ms):
        engine = self._engines_by_name[upstream.name]
        return not engine.busy and engine.next_read_ms <= now_ms

    def _should_order(self, upstream, target, now_ms):
        engine = self._engines_by_name[upstream.name]
        if not target or engine.busy or engine.version in (None, target):
            return False
        return now_ms >= max(engine.next_order_ms, engine.first_order_ms)

    async def _read_state(self, upstream):
        engine = self._engines_by_name[upstream.name]
        self._read_count += 1
        try:
            state = await self._engines.state(upstream, timeout_ms=STATE_TIMEOUT_MS)
        except ServiceError as e:
            log.debug("Reading the state of %s failed: %s.", upstream.name, e)
            engine.next_read_ms = self._clock.now_ms() + engine.backoff.next_ms()
            return
        finally:
            self._read_count -= 1
            self._finish(engine)
        engine.next_read_ms = self._clock.now_ms() + STATE_READ_INTERVAL_MS
        version = state.version if state.model == self.model else OTHER_MODEL_VERSION
        if engine.version not in (None, version):
            log.warning("%s runs version %d without an order.", upstream.name, version)
        engine.version = version

    async def _order(self, upstream, target):
        engine = self._engines_by_name[upstream.name]
        self._load_count += 1
        try:
            # The lease may have expired since this task was started.
            if self.lease.holds() and not self._is_superseded:
                async with asyncio.timeout(ORDER_TIMEOUT_MS / MS_PER_SECOND):
                    loaded = await self._engines.order(
                        upstream,
                        model=self.model,
                        version=target,
                        fencing=self.lease.fencing,
                        timeout_ms=ORDER_TIMEOUT_MS,
                    )
                self._on_loaded(upstream, engine, target, loaded)
        except (ServiceError, TimeoutError) as e:
            self._on_failure(upstream, engine, e)
        finally:
            self._load_count -= 1
            self._finish(engine)

    def _finish(self, engine):
        engine.busy = False
        self.wake()

    def _on_loaded(self, upstream, engine, target, loaded):
        engine.version = loaded
        now_ms = self._clock.now_ms()
        # The state that the engine reports lags behind its response to the order.
        engine.next_read_ms = now_ms + STATE_LAG_MS
        if loaded == target:
            engine.backoff.reset()
            self._count_order("loaded")
            return
        log.warning("%s stayed at version %d of %s.", upstream.name, loaded, self.model)
        self._count_order("swap_failed")
        engine.next_order_ms = now_ms + engine.backoff.next_ms()

    def _on_failure(self, upstream, engine, error):
        kind = getattr(error, "kind", ErrorKind.UPSTREAM_TIMEOUT)
        log.warning("Load order to %s failed: %s.", upstream.name, error)
        self._count_order(kind.value)
        now_ms = self._clock.now_ms()
        if kind is ErrorKind.VERSION_CONFLICT:
            # Another host has ordered the engine under a newer lease.
            self._is_superseded = True
            return
        engine.next_order_ms = now_ms + engine.backoff.next_ms()
        if kind is ErrorKind.OVERLOADED:
            # The weight store's limit: its retry delay is observed, and the backoff
            # spreads the retries of orders that were rejected together.
            engine.next_order_ms += error.retry_after_ms
        else:
            engine.version = None
            engine.next_read_ms = now_ms
            self._record_unresolved()

    def _record_unresolved(self):
        self._unresolved_until_ms = self._clock.now_ms() + ORDER_TIMEOUT_MS

    def _count_order(self, outcome):
        self._metrics.orders.labels(outcome).inc()

    def _broadcast_versions(self):
        versions = {name: e.version for name, e in self._engines_by_name.items()}
        age_ms = self._clock.now_ms() - self._last_broadcast_ms
        is_due = (
            versions != self._last_broadcast and age_ms >= BROADCAST_MIN_INTERVAL_MS
        )
        if is_due or age_ms >= BROADCAST_MAX_INTERVAL_MS:
            self._last_broadcast, self._last_broadcast_ms = (
                versions,
                self._clock.now_ms(),
            )
            self._engine_versions.broadcast(self.model, self.lease.fencing, versions)
