"""The daemon: its components, and the order in which they start and stop."""

import asyncio
import logging
import signal

from goldcrestmoor.adapters.engine import EngineClient
from goldcrestmoor.adapters.hosts import HostListClient
from goldcrestmoor.adapters.objects import ObjectClient
from goldcrestmoor.adapters.table import TableClient
from goldcrestmoor.adapters.weights import WeightStoreClient
from goldcrestmoor.clock import MS_PER_SECOND, Clock
from goldcrestmoor.connection.health import UpstreamHealth
from goldcrestmoor.connection.http_client import HttpClient
from goldcrestmoor.connection.peers import PeerLinks
from goldcrestmoor.connection.retry_budget import RetryBudget
from goldcrestmoor.process import policies
from goldcrestmoor.process.broadcast import TreeBroadcast
from goldcrestmoor.process.callers import CallerServices
from goldcrestmoor.process.decision_log import DecisionLog
from goldcrestmoor.process.leases import LeaseClient
from goldcrestmoor.process.leaving_answers import LeavingAnswers
from goldcrestmoor.process.membership import Membership
from goldcrestmoor.process.metrics import Metrics
from goldcrestmoor.process.operators import Operators
from goldcrestmoor.process.ownership import Ownership
from goldcrestmoor.process.shutdown import InFlight, Shutdown
from goldcrestmoor.util import TaskGroup
from goldcrestmoor.version.configuration.lease import ConfigurationLease
from goldcrestmoor.version.weights.engine_versions import EngineVersionTable
from goldcrestmoor.version.weights.published_versions import PublishedVersions
from goldcrestmoor.version.weights.weight_update_manager import WeightUpdateManager

log = logging.getLogger("goldcrestmoor.daemon")

# Metrics are scraped every few seconds.
GAUGE_INTERVAL_MS = 1000
# A clean stop takes milliseconds; a hung component must not block the others.
CLOSE_TIMEOUT_MS = 5000


class Daemon:
    """The daemon process of one host.

    :param settings: the host's :class:`~goldcrestmoor.settings.Settings`.
    """

    __slots__ = (
        "settings",
        "clock",
        "metrics",
        "decisions",
        "http",
        "health",
        "budget",
        "table",
        "objects",
        "host_list",
        "links",
        "membership",
        "lease",
        "ownership",
        "leases",
        "broadcast",
        "leaving",
        "versions",
        "engines",
        "engine_versions",
        "orders",
        "in_flight",
        "shutdown",
        "callers",
        "operators",
        "_stop",
        "_tasks",
    )

    def __init__(self, settings):
        self.settings = settings
        self.clock = Clock()
        self.metrics = Metrics()
        self.decisions = DecisionLog(self.clock)
        self._stop = asyncio.Event()
        self._tasks = TaskGroup()
        self._make_external_clients()
        self._make_fleet()
        self._make_versions()
        self.in_flight = InFlight()
        self.shutdown = Shutdown(
            clock=self.clock,
            settings=settings.shutdown,
            in_flight=self.in_flight,
            membership=self.membership,
        )
        self.callers = CallerServices(self)
        self.operators = Operators(self)
        self.shutdown.before_leaving(self.callers.hand_over)
        self.shutdown.on_hand_over(self.orders.stop)
        self.shutdown.on_hand_over(self.leases.release_all)

    def configuration(self):
        """Return the configuration that this host may currently act on."""
        return self.lease.view().configuration

    async def run(self):
        """Serve until a stop signal, then shut down gracefully."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop.set)
        await self._start()
        log.info("Started as %s.", self.settings.host.id)
        try:
            await self._stop.wait()
            await self.shutdown.run()
        finally:
            await self._close()
        log.info("Stopped.")

    def _make_external_clients(self):
        limits = self.settings.limits
        self.http = HttpClient(
            clock=self.clock, limits=limits, source=self.settings.host.address
        )
        self.budget = RetryBudget(clock=self.clock, percent=limits.retry_budget_percent)
        self.health = UpstreamHealth(clock=self.clock)
        platform = {
            "clock": self.clock,
            "http": self.http,
            "settings": self.settings.platform,
            "metrics": self.metrics,
        }
        self.table = TableClient(**platform)
        self.objects = ObjectClient(**platform)
        self.host_list = HostListClient(**platform)

    def _make_fleet(self):
        host = self.settings.host
        self.links = PeerLinks(
            clock=self.clock,
            settings=self.settings,
            metrics=self.metrics,
            directory=lambda host_id: self.membership.address_of(host_id),
        )
        self.membership = Membership(
            clock=self.clock,
            settings=self.settings,
            links=self.links,
            host_list=self.host_list,
            metrics=self.metrics,
        )
        self.ownership = Ownership(
            membership=self.membership,
            host_id=host.id,
            draining_hosts=lambda: self.configuration().draining_hosts,
        )
        self.leases = LeaseClient(clock=self.clock, table=self.table, host_id=host.id)
        self.broadcast = TreeBroadcast(
            links=self.links, membership=self.membership, host_id=host.id
        )
        self.leaving = LeavingAnswers(
            clock=self.clock, links=self.links, broadcast=self.broadcast
        )
        self.engines = EngineClient(
            http=self.http, clock=self.clock, on_leaving=self.leaving.note
        )
        self.membership.set_leaving_sources(self.leaving, self._draining_upstreams)
        self.lease = ConfigurationLease(
            clock=self.clock,
            table=self.table,
            objects=self.objects,
            settings=self.settings.configuration,
            links=self.links,
            peers=self._peers_by_distance,
            host_id=host.id,
            incarnation=lambda: self.membership.own().incarnation,
        )

    def _make_versions(self):
        platform = self.settings.platform
        self.versions = PublishedVersions(
            clock=self.clock,
            table=self.table,
            links=self.links,
            broadcast=self.broadcast,
            weight_store=WeightStoreClient(
                clock=self.clock,
                http=self.http,
                settings=platform,
                metrics=self.metrics,
            ),
        )
        self.engine_versions = EngineVersionTable(
            links=self.links, broadcast=self.broadcast, configuration=self.configuration
        )
        self.orders = WeightUpdateManager(
            clock=self.clock,
            leases=self.leases,
            ownership=self.ownership,
            configuration=self.configuration,
            versions=self.versions,
            engine_versions=self.engine_versions,
            engines=self.engines,
            metrics=self.metrics,
            host_id=self.settings.host.id,
            strategy=policies.rollout(self.settings.policy),
        )

    def _draining_upstreams(self):
        upstreams = self.configuration().upstreams_by_name.values()
        return [upstream.name for upstream in upstreams if upstream.draining]

    def _peers_by_distance(self):
        zone = self.settings.host.zone
        known = [record.id for record in self.membership.live(zone)]
        known += [record.id for record in self.membership.live()]
        known += [peer.id for peer in self.settings.peers]
        return list(dict.fromkeys(known))

    async def _start(self):
        await self.links.start()
        for name, coroutine in (
            ("membership", self.membership.run()),
            ("configuration", self.lease.run()),
            ("versions", self.versions.run()),
            ("orders", self.orders.run()),
            ("gauges", self._update_gauges()),
        ):
            self._tasks.start(coroutine, name)
        await self.callers.start(self._tasks)

    async def _close(self):
        await self.callers.close(CLOSE_TIMEOUT_MS)
        await self._tasks.close()
        for close in (self.leases.close, self.links.close, self.http.close):
            try:
                async with asyncio.timeout(CLOSE_TIMEOUT_MS / MS_PER_SECOND):
                    await close()
            except TimeoutError:
                log.warning("A component did not close in time.")

    async def _update_gauges(self):
        while True:
            self.metrics.lease_age_ms.set(self.lease.lease_age_ms() or 0)
            self.metrics.configuration_version.set(self.lease.version)
            await self.clock.sleep_ms(GAUGE_INTERVAL_MS)
