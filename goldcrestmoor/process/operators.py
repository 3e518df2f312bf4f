"""Services for operators: the language's executor and its row sources."""

from goldcrestmoor.language import routes
from goldcrestmoor.language.executor import Executor
from goldcrestmoor.language.explain import Explainer
from goldcrestmoor.version.configuration.driver import ConfigurationDriver
from goldcrestmoor.version.steps import step_rows

UPSTREAM_COLUMNS = (
    "name",
    "pool",
    "zone",
    "address",
    "slots",
    "draining",
    "leaving",
    "owner",
    "version",
    "health",
    "in_flight_here",
    "queued_here",
)
HOST_COLUMNS = ("id", "zone", "region", "address", "http_port", "state", "draining")
REQUEST_COLUMNS = ("at_ms", "request", "part", "text")
WEIGHT_COLUMNS = ("model", "version", "engines", "engines_on_it")


class Operators:
    """The components of one host that serve operators.

    :param daemon: the :class:`~goldcrestmoor.process.daemon.Daemon` whose components
        are used.
    """

    __slots__ = ("_daemon",)

    def __init__(self, daemon):
        self._daemon = daemon
        settings = daemon.settings
        driver = ConfigurationDriver(
            clock=daemon.clock,
            table=daemon.table,
            objects=daemon.objects,
            settings=settings.configuration,
            lease=daemon.lease,
            links=daemon.links,
            membership=daemon.membership,
            host_list=daemon.host_list,
            host_id=settings.host.id,
        )
        explainer = Explainer(
            clock=daemon.clock,
            decisions=daemon.decisions,
            links=daemon.links,
            membership=daemon.membership,
            host_id=settings.host.id,
            zone=settings.host.zone,
        )
        executor = Executor(
            driver=driver,
            lease=daemon.lease,
            explainer=explainer,
            load_version=self._load_version,
        )
        for name, source in (
            ("upstreams", self._upstreams),
            ("hosts", self._hosts),
            ("steps", step_rows.make_source(daemon.callers.holder)),
            ("requests", self._requests),
            ("versions", self._versions),
        ):
            executor.add_source(name, source)
        routes.register_routes(
            daemon.callers.server.application,
            executor=executor,
            operator_token_hash=settings.security.operator_token_hash,
        )

    async def _load_version(self, model, version):
        await self._daemon.versions.publish(model, version, "operator")
        return f"Version {version} of {model} is ordered on all its engines."

    async def _upstreams(self):
        daemon = self._daemon
        owner = daemon.callers.admission_owner
        rows = [
            (
                upstream.name,
                upstream.pool,
                upstream.zone,
                f"{upstream.address}:{upstream.port}",
                upstream.slots,
                upstream.draining,
                daemon.callers.is_leaving(upstream.name),
                daemon.ownership.owner_of_upstream(upstream),
                daemon.engine_versions.version_of(upstream),
                daemon.health.reason(upstream.name) or "good",
                owner.in_flight(upstream.name),
                owner.queued(upstream.name),
            )
            for upstream in daemon.configuration().upstreams_by_name.values()
        ]
        return UPSTREAM_COLUMNS, rows

    async def _hosts(self):
        daemon = self._daemon
        draining = daemon.configuration().draining_hosts
        rows = [
            (
                record.id,
                record.zone,
                record.region,
                record.address,
                record.http_port,
                record.state.name.lower(),
                record.id in draining,
            )
            for record in daemon.membership.all()
        ]
        return HOST_COLUMNS, rows

    async def _requests(self):
        rows = [
            (decision.at_ms, decision.request_id, decision.part, decision.text)
            for decision in self._daemon.decisions.recent()
            if decision.request_id
        ]
        return REQUEST_COLUMNS, rows

    async def _versions(self):
        daemon = self._daemon
        configuration = daemon.configuration()
        models = {pool.model for pool in configuration.pools_by_name.values()}
        rows = []
        for model in sorted(models - {""}):
            version = daemon.versions.current(model)
            engines = [
                upstream
                for pool in configuration.pools_by_name.values()
                if pool.model == model
                for upstream in configuration.upstreams_of(pool.name)
            ]
            on_it = sum(
                daemon.engine_versions.version_of(upstream) == version
                for upstream in engines
            )
            rows.append((model, version, len(engines), on_it))
        return WEIGHT_COLUMNS, rows
