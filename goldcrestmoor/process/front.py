"""The daemon on the users' platform: its components, their start and stop."""

import asyncio
import contextlib
import inspect
import logging
import signal

import msgspec
from blacksheep import Content, Request, Response, StreamedContent
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from goldcrestmoor import front_settings, logs, util
from goldcrestmoor.clock import MS_PER_SECOND, Clock
from goldcrestmoor.connection.http_client import HttpClient
from goldcrestmoor.connection.response_memory import ResponseMemory
from goldcrestmoor.decoding import decode
from goldcrestmoor.errors import ServiceError, UserError
from goldcrestmoor.job.engine_pool import EnginePool
from goldcrestmoor.job.item_run import ItemExecutor
from goldcrestmoor.job.job_api import JobApi
from goldcrestmoor.job.job_store import STATE_TABLE, JobStore
from goldcrestmoor.job.job_supervisor import JobSupervisor
from goldcrestmoor.job.reward_calls import RewardCaller
from goldcrestmoor.job.scheduler import Scheduler
from goldcrestmoor.platform import callers as caller_dialect, records, servers
from goldcrestmoor.platform.cloud import SERVERS_DUTY, USAGE_DUTY, PlatformApi
from goldcrestmoor.platform.store import StoreClient
from goldcrestmoor.process import (
    configuration_exchange,
    crash_reports,
    host_rows,
    lease_rows,
    limit_owners,
    read_ahead,
    server_paths,
    store_connectivity,
    stream_versions,
    usage_counts,
)
from goldcrestmoor.process.capacity_orders import CapacityOrders
from goldcrestmoor.process.client_keys import ClientKeys
from goldcrestmoor.process.configuration_exchange import ConfigurationExchange
from goldcrestmoor.process.crash_reports import CrashReports
from goldcrestmoor.process.directory import UpstreamDirectory
from goldcrestmoor.process.duties import Duties
from goldcrestmoor.process.exclusive_duty import ExclusiveDuty
from goldcrestmoor.process.follower import TableFollower
from goldcrestmoor.process.front_callers import FrontRequestHandler
from goldcrestmoor.process.host_calls import HostCalls
from goldcrestmoor.process.host_rows import HostRow, HostRows
from goldcrestmoor.process.host_watch import HostWatch
from goldcrestmoor.process.http_server import HttpServer, ServerOptions
from goldcrestmoor.process.leases import LeaseClient
from goldcrestmoor.process.limit_owners import LimitOwners
from goldcrestmoor.process.memory_budget import MemoryBudget
from goldcrestmoor.process.memory_guard import MemoryGuard
from goldcrestmoor.process.metrics import Metrics
from goldcrestmoor.process.routing import ConfigurationRow, Routing
from goldcrestmoor.process.server_paths import ServerPaths
from goldcrestmoor.process.shutdown import InFlight
from goldcrestmoor.process.stop_schedule import StopSchedule
from goldcrestmoor.process.store_connectivity import StoreConnectivity
from goldcrestmoor.process.stream_log import StreamLog
from goldcrestmoor.process.stream_versions import StreamVersions
from goldcrestmoor.process.upstream_limits import UpstreamLimits
from goldcrestmoor.process.usage import Usage
from goldcrestmoor.process.version_log import VersionLog
from goldcrestmoor.request import relayed_messages
from goldcrestmoor.request.forwarding import Forwarder
from goldcrestmoor.request.load_shedding import LoadShedding
from goldcrestmoor.request.request_relay import RequestRelay
from goldcrestmoor.request.server_bodies import ServerBodies
from goldcrestmoor.request.streaming import StreamForwarder
from goldcrestmoor.request.upstream_loads import UpstreamLoads
from goldcrestmoor.util import TaskGroup
from goldcrestmoor.version.weights.load_orders import LoadOrders
from goldcrestmoor.version.weights.order_log import OrderLog
from goldcrestmoor.version.weights.target_versions import TargetVersions

log = logging.getLogger("goldcrestmoor.front")

# Time for two calls to a slow store.
CLOSE_TIMEOUT_MS = 1500
# Sections of the settings that a reload applies.
RELOADABLE_SECTIONS = frozenset({"log", "shutdown"})
# Writing the outputs of all running items takes about 50 ms, and several attempts when
# the store is slow.
HAND_OVER_TIMEOUT_MS = 1500
# Callers keep connections for up to four fifths of the idle timeout in their limits.
KEEP_ALIVE_MS = 16_000
# Every server renews its entry about once a second; the changes are read in batches.
UPSTREAM_FEED_PAUSE_MS = 300
# A busy job's state changes with every batch of results.
JOB_FEED_PAUSE_MS = 40
# A lease is renewed every half second; this pause does not delay the detection of an
# expired one.
LEASE_FEED_PAUSE_MS = 200
# Other hosts are told of crashes directly; the feed serves those that missed it.
CRASH_FEED_PAUSE_MS = 2000
CRASH_FEED_OUTAGE_MS = 4000
# Less than a runner's lease with its margin; a slow store may take a second to answer,
# and a dead runner must still be replaced.
LEASE_FEED_OUTAGE_MS = 2000
# The duty to make all calls to the platform's API.
API_DUTY = "platform-api"
# Short enough not to delay the shutdown noticeably.
DRAIN_POLL_MS = 20
STORE_METHODS = ("GET", "POST", "PUT", "DELETE")
OCTET_STREAM = b"application/octet-stream"


def decode_configuration(data):
    """Return the ``RouteTable`` in a document with the operator's configuration.

    :param data: the document's bytes.
    :raises ValueError: when it is not a valid configuration.
    """
    return records.decode_configuration(data)


class FrontDaemon:
    """The daemon process of one host on the users' platform.

    :param settings: the host's
        :class:`~goldcrestmoor.front_settings.FrontSettings`.
    :param path: the path of the settings file.
    """

    __slots__ = (
        "settings",
        "_path",
        "_clock",
        "_metrics",
        "_memory",
        "_bodies",
        "_responses",
        "_http",
        "_store",
        "_keys",
        "_routing",
        "_versions",
        "_directory",
        "_hosts",
        "_host_watch",
        "_host_calls",
        "_limits",
        "_stream_log",
        "_version_log",
        "_stream_versions",
        "_crashes",
        "_paths",
        "_duties",
        "_api_duty",
        "_api",
        "_usage",
        "_orders",
        "_forwarding",
        "_rewards",
        "_scheduler",
        "_supervisor",
        "_job_api",
        "_followers",
        "_connectivity",
        "_capacity",
        "_exchange",
        "_in_flight",
        "_servers",
        "_caller_server",
        "_is_leaving",
        "_stop",
        "_tasks",
    )

    def __init__(self, settings, path):
        self.settings = settings
        self._path = path
        self._clock = Clock()
        self._metrics = Metrics()
        self._is_leaving = False
        self._stop = asyncio.Event()
        self._tasks = TaskGroup()
        host = settings.host
        self._make_memory()
        self._http = HttpClient(
            clock=self._clock,
            limits=settings.limits,
            source=host.address,
            memory=self._memory,
            responses=self._responses,
        )
        self._store = StoreClient(
            clock=self._clock,
            http=self._http,
            address=settings.store.address,
            port=settings.store.port,
            timeout_ms=settings.store.timeout_ms,
            metrics=self._metrics,
        )
        self._make_feed_consumers()
        self._make_api()
        self._make_jobs()
        self._make_orders()
        self._make_connectivity()
        self._make_capacity()
        self._make_servers()

    def _make_memory(self):
        """Create the bounds on memory.

        That for callers is in force where the platform has the contract for it.
        """
        host = self.settings.host
        self._memory = self._bodies = None
        self._responses = ResponseMemory.of_host(
            host.memory_mb, on_change=self._on_responses_counted
        )
        self._metrics.response_bytes.set_function(self._responses.held_bytes)
        if caller_dialect.PRESSURE_CONTRACT not in (host.contracts or ()):
            return
        self._bodies = ServerBodies()
        if host.memory_mb:
            self._memory = MemoryGuard(
                clock=self._clock,
                budget=MemoryBudget.of_host(host.memory_mb),
                metrics=self._metrics,
            )

    def _on_responses_counted(self, size):
        if self._memory is not None:
            self._memory.hold_incoming(size)

    def _make_feed_consumers(self):
        """Create the feed consumers: routes, versions, upstreams and duties."""
        clock, metrics = self._clock, self._metrics
        self._keys = ClientKeys(metrics=metrics)
        self._routing = Routing(
            decode=records.decode_configuration,
            metrics=metrics,
            on_change=self._keys.adopt,
        )
        self._versions = TargetVersions(
            decode=records.decode_target_version,
            metrics=metrics,
            on_change=lambda: self._orders.wake(),
        )
        self._directory = UpstreamDirectory(
            clock=clock,
            decode=records.decode_upstream,
            metrics=metrics,
            age_ms=lambda: self._followers[records.UPSTREAM_TABLE].age_ms(),
            on_change=self._on_upstreams_changed,
        )
        host = self.settings.host
        self._hosts = HostRows(
            clock=clock,
            store=self._store,
            host_id=host.id,
            row=HostRow(host.zone, host.address, host.readiness_port),
        )
        self._host_calls = HostCalls(
            clock=clock, http=self._http, row_by_host=self._hosts.row_by_host
        )
        self._stream_log = StreamLog(
            clock=clock,
            store=self._store,
            host_id=self.settings.host.id,
            hosts=self._host_calls.zone_by_host,
        )
        self._version_log = VersionLog(
            clock=clock,
            store=self._store,
            host_id=self.settings.host.id,
            hosts=self._host_calls.zone_by_host,
            routes=self._routing.current,
            records=self._stream_log,
        )
        self._stream_versions = StreamVersions(
            clock=clock,
            calls=self._host_calls,
            host_id=self.settings.host.id,
            list_age_ms=lambda: self._followers[records.UPSTREAM_TABLE].rows_age_ms(),
            version_log=self._version_log,
            stream_log=self._stream_log,
        )
        self._paths = ServerPaths(
            clock=clock,
            http=self._http,
            directory=self._directory,
            calls=self._host_calls,
            host_id=self.settings.host.id,
            metrics=metrics,
        )
        self._crashes = CrashReports(
            clock=clock,
            paths=self._paths,
            store=self._store,
            calls=self._host_calls,
            host_id=self.settings.host.id,
            metrics=metrics,
        )
        self._limits = UpstreamLimits(
            clock=clock,
            metrics=metrics,
            owners=LimitOwners(calls=self._host_calls, host_id=self.settings.host.id),
        )
        leases = LeaseClient(
            clock=clock,
            table=self._store,
            host_id=self.settings.host.id,
            latency_ms=self._store.latency_ms,
        )
        self._duties = Duties(
            leases=leases,
            is_feed_current=lambda: self._followers[lease_rows.TABLE].is_current(),
            metrics=metrics,
        )

    def _make_api(self):
        """Create the client of the platform's API and the duty to call it."""
        settings = self.settings
        self._api_duty = self._api = self._usage = None
        if settings.api is None:
            return
        self._api_duty = ExclusiveDuty(
            clock=self._clock,
            duties=self._duties,
            name=API_DUTY,
            turn_ms=settings.orders.turn_ms,
            cores=settings.host.cores * settings.host.core_share,
        )
        self._api = PlatformApi(
            http=self._http,
            address=settings.api.address,
            port=settings.api.port,
            host_id=settings.host.id,
            metrics=self._metrics,
            may_send=self._api_duty.may_send,
        )
        if settings.usage is not None and USAGE_DUTY in settings.api.duties:
            self._usage = Usage(
                clock=self._clock,
                settings=settings.usage,
                duty=self._api_duty,
                api=self._api,
                store=self._store,
                calls=self._host_calls,
                host_id=settings.host.id,
                process_id=util.new_id(),
                metrics=self._metrics,
            )

    def _make_jobs(self):
        clock = self._clock
        self._forwarding = {
            "http": self._http,
            "loads": UpstreamLoads(
                clock=clock,
                http=self._http,
                directory=self._directory,
                limits=self._limits,
                zone=self.settings.host.zone,
                host_id=self.settings.host.id,
                bodies=self._bodies,
            ),
            "dialect": servers,
            "metrics": self._metrics,
        }
        self._rewards = RewardCaller(
            clock=clock,
            paths=self._paths,
            routes=self._routing.current,
            open_models=lambda: self._supervisor.open_models(),
            **self._forwarding,
        )
        self._scheduler = Scheduler(
            clock=clock,
            pool=EnginePool(
                clock=clock, directory=self._directory, limits=self._limits
            ),
            executor=ItemExecutor(
                clock=clock,
                paths=self._paths,
                directory=self._directory,
                limits=self._limits,
                dialect=servers,
                memory=self._responses,
                bodies=self._bodies,
            ),
            rewards=self._rewards,
            routes=self._routing.current,
            metrics=self._metrics,
        )
        self._responses.add_source(self._scheduler.output_bytes)
        job_store = JobStore(clock=clock, store=self._store)
        self._supervisor = JobSupervisor(
            clock=clock,
            store=job_store,
            duties=self._duties,
            scheduler=self._scheduler,
            routes=self._routing.current,
            configuration=ConfigurationRow(
                table=records.OPERATOR_TABLE,
                key=records.CONFIGURATION_KEY,
                rows=lambda: self._followers[records.OPERATOR_TABLE],
            ),
            process_id=f"{self.settings.host.id}/{util.new_id()}",
            zone=self.settings.host.zone,
            cores=self.settings.host.cores * self.settings.host.core_share,
            kept_ms=self.settings.jobs.kept_s * MS_PER_SECOND,
            is_cut_off=lambda: not self._connectivity.accepts_callers(),
        )
        self._followers = {
            records.OPERATOR_TABLE: self._follow(
                records.OPERATOR_TABLE, self._apply_operator_rows
            ),
            records.UPSTREAM_TABLE: self._follow(
                records.UPSTREAM_TABLE,
                self._directory.apply,
                on_recovered=self._directory.on_feed_recovered,
                pause_ms=UPSTREAM_FEED_PAUSE_MS,
            ),
            lease_rows.TABLE: self._follow(
                lease_rows.TABLE,
                self._duties.apply,
                on_recovered=self._on_lease_feed_recovered,
                pause_ms=LEASE_FEED_PAUSE_MS,
                outage_ms=LEASE_FEED_OUTAGE_MS,
            ),
            crash_reports.TABLE: self._follow(
                crash_reports.TABLE,
                self._crashes.apply,
                pause_ms=CRASH_FEED_PAUSE_MS,
                outage_ms=CRASH_FEED_OUTAGE_MS,
            ),
            STATE_TABLE: self._follow(
                STATE_TABLE,
                self._supervisor.apply,
                pause_ms=JOB_FEED_PAUSE_MS,
            ),
        }
        self._job_api = JobApi(
            clock=clock,
            store=job_store,
            supervisor=self._supervisor,
            zone=self.settings.host.zone,
            is_current=self._followers[STATE_TABLE].is_current,
        )

    def _on_lease_feed_recovered(self):
        """Reclaim the duties of jobs that run on this host immediately."""
        self._duties.on_feed_recovered()
        self._supervisor.wake()

    def _make_orders(self):
        host = self.settings.host
        self._orders = LoadOrders(
            clock=self._clock,
            runs_model=self._supervisor.runs_model,
            demand=self._scheduler.demand,
            directory=self._directory,
            versions=self._versions,
            routes=self._routing.current,
            engines=servers.EngineControlClient(
                http=self._http, directory=self._directory, limits=self._limits
            ),
            order_log=OrderLog(
                clock=self._clock,
                store=self._store,
                host_id=host.id,
                turn_ms=self.settings.orders.turn_ms,
            ),
            metrics=self._metrics,
            host_id=host.id,
        )

    def _follow(self, table, on_changes, **options):
        follower = TableFollower(
            clock=self._clock,
            store=self._store,
            table=table,
            on_changes=on_changes,
            **options,
        )

        def age_ms():
            known_ms = follower.age_ms()
            return -1 if known_ms is None else known_ms

        self._metrics.feed_age_ms.labels(table).set_function(age_ms)
        return follower

    def _make_connectivity(self):
        host = self.settings.host
        self._connectivity = StoreConnectivity(
            clock=self._clock,
            http=self._http,
            store=self._store,
            hosts=self._hosts,
            last_answer_age_ms=self._last_answer_age_ms,
        )
        self._host_watch = HostWatch(
            clock=self._clock,
            http=self._http,
            store=self._store,
            hosts=self._hosts,
            reaches_store=self._connectivity.reaches_store,
            on_removed=self._stream_log.remove_rows_of,
        )
        self._followers[host_rows.TABLE] = self._follow(
            host_rows.TABLE, self._hosts.apply
        )
        self._exchange = ConfigurationExchange(
            clock=self._clock,
            calls=self._host_calls,
            host_id=host.id,
            rows=self._followers[records.OPERATOR_TABLE],
            hosts=self._followers[host_rows.TABLE],
            routing=self._routing,
            settings=self.settings.accounts,
            metrics=self._metrics,
        )

    def _make_capacity(self):
        self._capacity = None
        api = self.settings.api
        if api is None or SERVERS_DUTY not in api.duties:
            return
        self._capacity = CapacityOrders(
            clock=self._clock,
            duty=self._api_duty,
            api=self._api,
            store=self._store,
            directory=self._directory,
            is_list_current=self._followers[records.UPSTREAM_TABLE].is_current,
            routes=self._routing.current,
            open_states=self._supervisor.open_states,
            calls_per_s=api.calls_per_s,
            metrics=self._metrics,
        )

    def _last_answer_age_ms(self):
        """Return the time since the store last answered a feed, or None."""
        ages = [follower.age_ms() for follower in self._followers.values()]
        return min((age for age in ages if age is not None), default=None)

    def _make_servers(self):
        self._in_flight = InFlight()
        self._caller_server = self._make_caller_server()
        self._servers = [
            self._make_readiness_server(),
            self._caller_server,
            self._make_metrics_server(),
        ]

    def _make_server(self, options, in_flight=None):
        return HttpServer(
            clock=self._clock,
            settings=self.settings,
            metrics=self._metrics,
            in_flight=in_flight,
            options=options,
        )

    def _make_caller_server(self):
        server = self._make_server(
            ServerOptions(
                id_header=servers.ID_HEADER,
                retry_headers=caller_dialect.retry_headers,
                keep_alive_ms=KEEP_ALIVE_MS,
                cancels_on_disconnect=True,
                is_closing=lambda: self._is_leaving,
                memory=self._memory,
            ),
            in_flight=self._in_flight,
        )
        sending = {
            "crashes": self._crashes,
            "paths": self._paths,
            "usage": self._usage and self._usage.counter,
            "shedding": LoadShedding(
                clock=self._clock,
                routes=self._routing.current,
                metrics=self._metrics,
            ),
            **self._forwarding,
        }
        FrontRequestHandler(
            clock=self._clock,
            routing=self._routing,
            forwarder=Forwarder(**sending),
            streams=StreamForwarder(versions=self._stream_versions, **sending),
            job_api=self._job_api,
            dialect=caller_dialect,
            keys=self._keys,
            exchange=self._exchange,
            in_flight=self._in_flight,
            metrics=self._metrics,
        ).register(server.application)
        return server

    def _make_readiness_server(self):
        """Create the server of the readiness check, which other hosts call too."""
        server = self._make_server(
            ServerOptions(
                port=self.settings.host.readiness_port,
                cancels_on_disconnect=True,
                memory=self._memory,
            )
        )
        router = server.application.router

        async def ready(request: Request) -> Response:
            return Response(200 if self._is_ready() else 503)

        async def reaches_store(request: Request) -> Response:
            status = 200 if self._connectivity.reaches_store_directly() else 503
            # Names this host to those that watch it.
            content = Content(b"text/plain", self.settings.host.id.encode())
            return Response(status, None, content)

        async def relay_call(request: Request) -> Response:
            return await self._relay_call(request)

        relay = RequestRelay(
            directory=self._directory, in_flight=self._in_flight, **self._forwarding
        )

        async def relay_request(request: Request) -> Response:
            return await self._relay_request(relay, request)

        router.add_get(caller_dialect.READY_PATH, ready)
        router.add_get(store_connectivity.STATUS_PATH, reaches_store)
        router.add_post(f"{relayed_messages.RELAY_PREFIX}/*", relay_request)
        for method in STORE_METHODS:
            router.add(method, f"{store_connectivity.CALLS_PREFIX}/*", relay_call)
        for path, (decoder, reply) in self._reply_by_path().items():
            self._add_reply(router, path, decoder, reply)
        return server

    def _reply_by_path(self):
        """Return the decoder of other hosts' messages and the reply, by their path."""
        reply_by_path = {
            server_paths.REACH_PATH: (server_paths.question_decoder, self._paths.reply),
            crash_reports.CRASH_PATH: (
                crash_reports.crash_decoder,
                self._crashes.receive_crash,
            ),
            crash_reports.ANSWER_PATH: (
                crash_reports.answer_decoder,
                self._crashes.receive_answer,
            ),
            configuration_exchange.PATH: (
                configuration_exchange.request_decoder,
                self._exchange.reply,
            ),
            limit_owners.PATH: (limit_owners.request_decoder, self._limits.grant),
            stream_versions.PATH: (
                stream_versions.record_decoder,
                self._stream_versions.reply,
            ),
        }
        if self._usage is not None:
            reply_by_path[usage_counts.PATH] = (
                usage_counts.request_decoder,
                self._usage.receive,
            )
        return reply_by_path

    def _add_reply(self, router, path, decoder, reply):
        async def handle(request: Request) -> Response:
            return await self._reply(request, decoder, reply)

        router.add_post(path, handle)

    def _make_metrics_server(self):
        server = self._make_server(ServerOptions(port=self.settings.host.metrics_port))

        async def metrics(request: Request) -> Response:
            body = generate_latest(self._metrics.registry)
            return Response(200, None, Content(CONTENT_TYPE_LATEST.encode(), body))

        server.application.router.add_get("/metrics", metrics)
        return server

    async def _relay_request(self, relay, request):
        """Relay another host's request to a server and return its response."""
        items = relay.relay(
            _target(request), request.headers, await request.read() or b""
        )
        # An error before the first bytes becomes the response.
        head = await anext(items)

        async def stream():
            async with contextlib.aclosing(items):
                yield head
                async for chunk in items:
                    yield chunk

        provider = read_ahead.buffered(request, stream)
        return Response(200, None, StreamedContent(OCTET_STREAM, provider))

    async def _relay_call(self, request):
        """Relay another host's call to the store and return its response."""
        answer = await self._connectivity.relay(
            request.method,
            _target(request).removeprefix(store_connectivity.CALLS_PREFIX),
            [pair for pair in request.headers if pair[0].lower() != b"host"],
            await request.read() or b"",
        )
        return Response(answer.status, None, Content(OCTET_STREAM, answer.body))

    async def _reply(self, request, decoder, reply):
        """Reply to another host's message.

        :param decoder: the message's decoder.
        :param reply: returns the reply to a message, or a coroutine that does.
        """
        try:
            message = decode(decoder, await request.read() or b"")
        except ValueError as e:
            self._metrics.bad_input.labels("hosts").inc()
            log.warning("A message of another host is malformed: %s", e)
            return Response(400)
        answer = reply(message)
        if inspect.isawaitable(answer):
            answer = await answer
        body = msgspec.json.encode(answer)
        return Response(200, None, Content(b"application/json", body))

    def _is_ready(self):
        has_routes = self._routing.table is not None
        return (
            not self._is_leaving
            and has_routes
            and self._connectivity.accepts_callers()
            and self._exchange.accepts_callers()
        )

    def _apply_operator_rows(self, changes):
        for change in changes:
            if change.value is None:
                continue
            if change.key == records.CONFIGURATION_KEY:
                self._routing.put(change.value)
                self._exchange.update_scope()
                self._supervisor.on_configuration()
                self._scheduler.wake()
                self._rewards.wake()
            elif change.key.startswith(records.VERSION_PREFIX):
                self._versions.put(change.value)

    def _on_upstreams_changed(self):
        self._stream_versions.observe(self._directory.upstream_by_name.values())
        self._scheduler.wake()
        self._rewards.wake()
        self._orders.wake()

    async def run(self):
        """Serve until a stop signal, then shut down without aborting requests."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        part_by_name = {
            **self._followers,
            "scheduler": self._scheduler,
            "rewards": self._rewards,
            "board": self._supervisor,
            "orders": self._orders,
            "host rows": self._hosts,
            "host watch": self._host_watch,
            "reach": self._connectivity,
            "crash histories": self._crashes,
            "software versions": self._version_log,
            "stream records": self._stream_log,
            "configuration": self._exchange,
        }
        if self._memory is not None:
            part_by_name["memory"] = self._memory
        if self._api_duty is not None:
            part_by_name["platform api"] = self._api_duty
        if self._capacity is not None:
            part_by_name["capacity"] = self._capacity
        if self._usage is not None:
            part_by_name["usage"] = self._usage
        for name, part in part_by_name.items():
            self._tasks.start(util.keep_running(name, part.run, self._clock), name)
        for server in self._servers:
            await server.start()
        log.info("Started as %s in %s.", self.settings.host.id, self.settings.host.zone)
        try:
            await self._stop.wait()
            await self._leave()
        finally:
            await self._close()
        log.info("Stopped.")

    def _reload(self):
        """Reload the settings; log the sections that take effect after a restart."""
        try:
            new = front_settings.load(self._path)
        except UserError as e:
            log.error(
                "The settings are unchanged, because the new ones are wrong: %s", e
            )
            return
        old, self.settings = self.settings, new
        logs.set_level(new.log.level)
        changed = [
            field.name
            for field in msgspec.structs.fields(new)
            if getattr(old, field.name) != getattr(new, field.name)
        ]
        pending = [name for name in changed if name not in RELOADABLE_SECTIONS]
        log.info(
            "Settings reloaded; changed: %s; in effect after the next start: %s.",
            ", ".join(changed) or "nothing",
            ", ".join(pending) or "nothing",
        )

    async def _leave(self):
        """Accept no new work, and finish the work in progress."""
        log.info("Stop signal received; no longer ready.")
        self._is_leaving = True
        if self._api_duty is not None:
            self._api_duty.leave()
        shutdown = self.settings.shutdown
        grace_s = self.settings.host.grace_s
        schedule = StopSchedule(
            self._clock,
            shutdown.unready_ms,
            shutdown.drain_ms,
            CLOSE_TIMEOUT_MS,
            None if grace_s is None else grace_s * MS_PER_SECOND,
        )
        self._in_flight.schedule = schedule
        await self._supervisor.hand_over(HAND_OVER_TIMEOUT_MS)
        try:
            async with asyncio.timeout(CLOSE_TIMEOUT_MS / MS_PER_SECOND):
                await self._duties.release_all()
                await self._hosts.leave()
        except (TimeoutError, ServiceError) as e:
            log.warning("Notifying the store that this host leaves failed: %s", e)
        # The load balancer sends new connections until two checks have failed.
        await self._clock.sleep_ms(schedule.unready.remaining_ms())
        # Their next requests go to other hosts, on new connections.
        self._caller_server.close_idle()
        while self._in_flight.count and not schedule.drain.passed():
            await self._clock.sleep_ms(DRAIN_POLL_MS)
        if self._usage is not None:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CLOSE_TIMEOUT_MS / MS_PER_SECOND):
                    await self._usage.flush()

    async def _close(self):
        timeout_ms, schedule = CLOSE_TIMEOUT_MS, self._in_flight.schedule
        if schedule is not None:
            # Requests that were accepted meanwhile have until then.
            timeout_ms = max(0, schedule.end.remaining_ms())
        async with asyncio.TaskGroup() as stopping:
            for server in self._servers:
                stopping.create_task(server.stop(timeout_ms))
        await self._supervisor.close()
        await self._scheduler.close()
        await self._rewards.close()
        await self._orders.close()
        await self._limits.close()
        await self._crashes.close()
        await self._paths.close()
        await self._host_calls.close()
        await self._stream_versions.close()
        await self._stream_log.close()
        await self._tasks.close()
        await self._http.close()


def _target(request):
    query = request.scope.get("query_string", b"")
    target = request.scope["raw_path"] + (b"?" + query if query else b"")
    return target.decode("latin-1")
