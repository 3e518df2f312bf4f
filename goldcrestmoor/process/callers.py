"""Services for callers: the HTTP server and the components behind its routes."""

from goldcrestmoor import util
from goldcrestmoor.process import health, policies
from goldcrestmoor.process.http_server import HttpServer
from goldcrestmoor.request import app_routes, completion_routes
from goldcrestmoor.request.admission import AdmissionClient
from goldcrestmoor.request.admission_owner import AdmissionOwner
from goldcrestmoor.request.apps import ApplicationClient
from goldcrestmoor.request.authentication import Authenticator
from goldcrestmoor.request.claim_sweeper import ClaimSweeper
from goldcrestmoor.request.claims import ClaimedKeys
from goldcrestmoor.request.completions import Completions
from goldcrestmoor.request.idempotency_keys import IdempotencyKeys
from goldcrestmoor.request.key_mint import KeyMint
from goldcrestmoor.request.minted_keys import MintedKeys
from goldcrestmoor.request.outcome_cache import OutcomeCache
from goldcrestmoor.request.placement import Placement, TwoChoices
from goldcrestmoor.version.steps import step_routes
from goldcrestmoor.version.steps.step_gateway import StepGateway
from goldcrestmoor.version.steps.step_holder import StepHolder
from goldcrestmoor.version.steps.step_router import StepRouter
from goldcrestmoor.version.steps.step_store import StepStore
from goldcrestmoor.version.steps.step_sweeper import StepSweeper


class CallerServices:
    """The components of one host that serve applications and trainers.

    :param daemon: the :class:`~goldcrestmoor.process.daemon.Daemon` whose components
        are used.
    """

    __slots__ = (
        "admission_owner",
        "admission",
        "completions",
        "applications",
        "holder",
        "_steps",
        "_step_sweeper",
        "server",
        "_outcome_cache",
        "_claims",
        "_store",
        "_daemon",
    )

    def __init__(self, daemon):
        self._daemon = daemon
        self._make_admission()
        self._make_steps()
        self.applications = ApplicationClient(
            clock=daemon.clock,
            http=daemon.http,
            placement=self._placement(TwoChoices()),
            budget=daemon.budget,
            metrics=daemon.metrics,
            decisions=daemon.decisions,
            health=daemon.health,
            on_leaving=daemon.leaving.note,
            head_timeout_ms=daemon.settings.limits.progress_timeout_ms,
        )
        self.server = HttpServer(
            clock=daemon.clock,
            settings=daemon.settings,
            metrics=daemon.metrics,
            in_flight=daemon.in_flight,
        )
        self._register_routes(self._make_keys())

    async def start(self, tasks):
        """Start serving.

        :param tasks: the :class:`~goldcrestmoor.util.TaskGroup` to run in.
        """
        tasks.start(self.admission.run(), "admission")
        tasks.start(self.admission_owner.run(), "owner")
        tasks.start(self._store.run(), "step store")
        tasks.start(self._claim_sweeper().run(), "claim sweeper")
        tasks.start(self._step_sweeper.run(), "step sweeper")
        await self.server.start()

    async def hand_over(self):
        """Hand over the steps held by this host."""
        await self.holder.hand_over()

    async def close(self, timeout_ms):
        """Stop serving.

        :param timeout_ms: how long to wait for requests in flight, in milliseconds.
        """
        await self.server.stop(timeout_ms)
        await self.holder.close()
        await self.completions.close()
        await self._claims.close()
        await self._outcome_cache.close()

    def _claim_sweeper(self):
        daemon = self._daemon
        return ClaimSweeper(
            clock=daemon.clock,
            host_id=daemon.settings.host.id,
            table=daemon.table,
            membership=daemon.membership,
            lease=daemon.lease,
        )

    def _placement(self, policy):
        daemon = self._daemon
        return Placement(
            zone=daemon.settings.host.zone,
            lease=daemon.lease,
            policy=policy,
            health=daemon.health,
            is_leaving=self.is_leaving,
            is_zone_live=lambda zone: bool(daemon.membership.live(zone)),
        )

    def is_leaving(self, upstream):
        """Return whether the host list or an upstream itself reports it as leaving.

        :param upstream: the upstream's name.
        """
        daemon = self._daemon
        listed = daemon.membership.leaving_upstreams()
        return upstream in listed or daemon.leaving.is_leaving(upstream)

    def _make_admission(self):
        daemon = self._daemon
        self.admission_owner = AdmissionOwner(
            clock=daemon.clock,
            lease=daemon.lease,
            settings=daemon.settings.limits,
            links=daemon.links,
            metrics=daemon.metrics,
            decisions=daemon.decisions,
            membership=daemon.membership,
            is_leaving=self.is_leaving,
            order=policies.queue_order(daemon.settings.policy),
            rejects_early=daemon.settings.policy.early_refusal,
        )
        self.admission = AdmissionClient(
            clock=daemon.clock,
            host_id=daemon.settings.host.id,
            links=daemon.links,
            ownership=daemon.ownership,
            membership=daemon.membership,
            owner=self.admission_owner,
            decisions=daemon.decisions,
        )

    def _make_steps(self):
        daemon = self._daemon
        self.completions = Completions(
            clock=daemon.clock,
            engines=daemon.engines,
            admission=self.admission,
            placement=self._placement(
                policies.engine_placement(daemon.settings.policy)
            ),
            lease=daemon.lease,
            budget=daemon.budget,
            settings=daemon.settings.limits,
            metrics=daemon.metrics,
            decisions=daemon.decisions,
            health=daemon.health,
            resumes=daemon.settings.policy.stragglers != "restart",
        )
        self._store = StepStore(
            clock=daemon.clock,
            table=daemon.table,
            objects=daemon.objects,
            links=daemon.links,
            membership=daemon.membership,
            host_id=daemon.settings.host.id,
        )
        router = StepRouter(
            links=daemon.links,
            ownership=daemon.ownership,
            store=self._store,
            lease=daemon.lease,
            host_id=daemon.settings.host.id,
        )
        self.holder = StepHolder(
            clock=daemon.clock,
            completions=self.completions,
            store=self._store,
            links=daemon.links,
            router=router,
            lease=daemon.lease,
            versions=daemon.versions,
            decisions=daemon.decisions,
            metrics=daemon.metrics,
            settings=daemon.settings,
        )
        self._steps = StepGateway(
            clock=daemon.clock,
            router=router,
            holder=self.holder,
            versions=daemon.versions,
            metrics=daemon.metrics,
            settings=daemon.settings,
        )
        self._step_sweeper = StepSweeper(
            clock=daemon.clock,
            records=self._store.records,
            ownership=daemon.ownership,
            host_id=daemon.settings.host.id,
        )

    def _make_keys(self):
        daemon = self._daemon
        settings = daemon.settings
        # A key must identify the process that minted it, even after a restart within
        # the same millisecond.
        incarnation = util.new_id()
        mint = KeyMint(
            clock=daemon.clock,
            host_id=settings.host.id,
            incarnation=incarnation,
            secret=settings.security.fleet_secret_key,
        )
        self._outcome_cache = OutcomeCache(
            clock=daemon.clock,
            settings=settings.idempotency,
            in_flight=daemon.in_flight,
        )
        bound = MintedKeys(
            clock=daemon.clock,
            mint=mint,
            memory=self._outcome_cache,
            applications=self.applications,
            links=daemon.links,
            membership=daemon.membership,
            lease=daemon.lease,
            settings=settings.idempotency,
        )
        self._claims = ClaimedKeys(
            clock=daemon.clock,
            host_id=settings.host.id,
            incarnation=incarnation,
            table=daemon.table,
            memory=self._outcome_cache,
            applications=self.applications,
            links=daemon.links,
            settings=settings.idempotency,
        )
        return IdempotencyKeys(mint=mint, bound=bound, claims=self._claims)

    def _register_routes(self, keys):
        daemon = self._daemon
        app = self.server.application
        authenticator = Authenticator(daemon.lease)
        health.register_routes(
            app,
            metrics=daemon.metrics,
            shutdown=daemon.shutdown,
            configuration=daemon.configuration,
        )
        app_routes.register_routes(
            app,
            clock=daemon.clock,
            authenticator=authenticator,
            applications=self.applications,
            keys=keys,
            lease=daemon.lease,
            metrics=daemon.metrics,
            settings=daemon.settings,
        )
        completion_routes.register_routes(
            app,
            clock=daemon.clock,
            authenticator=authenticator,
            completions=self.completions,
            lease=daemon.lease,
            metrics=daemon.metrics,
            settings=daemon.settings.limits,
        )
        step_routes.register_routes(
            app,
            authenticator=authenticator,
            steps=self._steps,
            weights=daemon.versions,
        )
