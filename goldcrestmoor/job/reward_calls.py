"""Sends reward calls, which score the complete texts of items."""

import asyncio
import functools
import logging

import msgspec

from goldcrestmoor import tracing
from goldcrestmoor.clock import MS_PER_SECOND
from goldcrestmoor.errors import ErrorKind, Ran, ServiceError
from goldcrestmoor.job.reward_order import WaitingCall, choose_server, order_calls
from goldcrestmoor.request.forwarding import CONNECT_TIMEOUT_MS, Sender
from goldcrestmoor.util import Backoff, TaskGroup

log = logging.getLogger("goldcrestmoor.rewards")

STATUS_FAILED = 500
SUCCESSES = range(200, 300)
# Pauses of single calls end without an event that wakes the loop.
POLL_INTERVAL_MS = 50
# The pause before a call is sent again; a full server frees a slot in less.
RETRY_MIN_MS = 50
# The end of an outage of the scoring service is noticed within this time.
RETRY_MAX_MS = 800
# An attempt is abandoned after this multiple of the route's target latency, while there
# is another server: a few calls take several times as long as the others.
FIRST_ATTEMPT_TARGETS = 2


class Scored(msgspec.Struct, frozen=True):
    """The server returned a score.

    :param score: the score.
    """

    score: str


class CallFailed(msgspec.Struct, frozen=True):
    """The server ran the call and reported a failure."""


class NoScore(msgspec.Struct, frozen=True):
    """The attempt gave no score, and the call is sent again.

    :param ran: whether the server ran the call.
    :param reason: why, as part of a sentence.
    """

    ran: Ran
    reason: str


class PendingCall:
    """The reward call of one item, until its score is known.

    :param job_run: the :class:`~goldcrestmoor.job.job_run.JobRun`.
    :param run: the :class:`~goldcrestmoor.job.item_run.ItemRun` with its whole text.
    :param now_ms: the time.
    :ivar since_ms: when the text was complete.
    :ivar paused_until_ms: when it may be sent again.
    :ivar ran_at: the names of the servers that may have run it.
    :ivar last_server: the name of the server that it was last sent to.
    :ivar failures: how often a server reported that it failed.
    :ivar attempts: how often it was sent.
    """

    __slots__ = (
        "job_run",
        "run",
        "since_ms",
        "paused_until_ms",
        "ran_at",
        "last_server",
        "failures",
        "attempts",
        "backoff",
    )

    def __init__(self, job_run, run, now_ms):
        self.job_run = job_run
        self.run = run
        self.since_ms = now_ms
        self.paused_until_ms = 0
        self.ran_at = set()
        self.last_server = ""
        self.failures = 0
        self.attempts = 0
        self.backoff = Backoff(RETRY_MIN_MS, RETRY_MAX_MS)

    @property
    def item(self):
        """The item whose text is scored."""
        return self.run.item

    @property
    def is_over(self):
        """Whether the job ended, or was handed over, before there was a score."""
        return self.item.id not in self.job_run.scoring_by_id


class RewardCaller(Sender):
    """Sends the reward calls of all jobs that this process runs.

    Takes the parameters of :class:`Sender`, and:

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param paths: the :class:`~goldcrestmoor.process.server_paths.ServerPaths`.
    :param routes: returns the ``RouteTable`` in effect.
    :param open_models: returns the number of models with open jobs, on all hosts.
    """

    __slots__ = (
        "_clock",
        "_paths",
        "_routes",
        "_open_models",
        "_pending_by_item",
        "_wakeup",
        "_tasks",
    )

    def __init__(self, *, clock, paths, routes, open_models, metrics, **forwarding):
        super().__init__(metrics=metrics, **forwarding)
        self._clock = clock
        self._paths = paths
        self._routes = routes
        self._open_models = open_models
        self._pending_by_item = {}
        self._wakeup = asyncio.Event()
        self._tasks = TaskGroup()
        metrics.reward_calls_waiting.set_function(self._waiting_count)

    def add(self, job_run, run):
        """Obtain the score of an item.

        :param job_run: its :class:`~goldcrestmoor.job.job_run.JobRun`.
        :param run: the :class:`~goldcrestmoor.job.item_run.ItemRun`, with its whole
            text.
        """
        key = job_run.job.id, run.item.id
        self._pending_by_item[key] = PendingCall(job_run, run, self._clock.now_ms())
        self.wake()

    def wake(self):
        """Check again which calls can be sent."""
        self._wakeup.set()

    async def run(self):
        """Send calls until cancelled."""
        while True:
            await self._wait()
            self._wakeup.clear()
            self._send_waiting()

    async def close(self):
        """Cancel all calls."""
        await self._tasks.close()

    async def _wait(self):
        if not self._pending_by_item:
            await self._wakeup.wait()
            return
        try:
            async with asyncio.timeout(POLL_INTERVAL_MS / MS_PER_SECOND):
                await self._wakeup.wait()
        except TimeoutError:
            pass

    def _waiting_count(self):
        return sum(call.run.task is None for call in self._pending_by_item.values())

    def _send_waiting(self):
        table = self._routes()
        if table is None:
            return
        for key, call in list(self._pending_by_item.items()):
            if call.is_over:
                del self._pending_by_item[key]
        now_ms = self._clock.now_ms()
        call_by_key = {
            key: call
            for key, call in self._pending_by_item.items()
            if call.run.task is None and now_ms >= call.paused_until_ms
        }
        own_models = len({c.job_run.job.model for c in self._pending_by_item.values()})
        open_models = self._open_models()
        full_services = set()
        for waiting in order_calls(map(self._waiting_call, call_by_key.values())):
            call = call_by_key[waiting.job_id, waiting.item_id]
            reason = self._abandon_reason(call)
            if reason is not None:
                log.warning(
                    "The reward call %s of item %s has %s; the item is abandoned.",
                    call.item.reward_call.id,
                    call.item.id,
                    reason,
                )
                self._finish(call, "", reason)
                continue
            self._send(call, table, own_models, open_models, full_services)

    def _abandon_reason(self, call):
        """Return why the configuration in effect ends a call without a score, or None.

        :return: what the call has, as part of a sentence.
        """
        reward_call = call.item.reward_call
        route = self._routes().match(reward_call.host, reward_call.path)
        if route is None:
            return "no route"
        if call.failures >= route.attempts:
            return f"failed {call.failures} times"
        return None

    def _waiting_call(self, call):
        job_run = call.job_run
        return WaitingCall(
            job_run.job.id,
            call.item.id,
            job_run.priority,
            job_run.due_ms,
            job_run.missing_in_group(call.item.group),
            call.since_ms,
        )

    def _send(self, call, table, own_models, open_models, full_services):
        """Send a call unless its service has no slot for it.

        :param full_services: the services without a slot, to which one may be added.
        """
        reward_call = call.item.reward_call
        route = table.match(reward_call.host, reward_call.path)
        service = route.service_for(reward_call.id)
        if service in full_services:
            return
        name = choose_server(
            self._loads.candidates(service, size=len(reward_call.body)),
            call.ran_at,
            call.last_server,
            route.attempts,
            own_models,
            open_models,
        )
        if name is None:
            if not call.ran_at:
                full_services.add(service)
            return
        server = self._loads.upstream(name)
        call.attempts += 1
        call.last_server = name
        self._loads.begin(server, len(reward_call.body))
        call.run.task = self._tasks.start(self._attempt(call, server, route))
        # A task that is cancelled before it first runs executes none of its own code.
        call.run.task.add_done_callback(
            functools.partial(self._on_attempt_done, call, server)
        )

    async def _attempt(self, call, server, route):
        pause_ms = await self._loads.admit(server)
        if pause_ms:
            text = f"not admitted for {pause_ms:.0f} ms"
            return NoScore(Ran.NOT_RUN, text)
        reward_call = call.item.reward_call
        remaining_ms = max(1, call.job_run.remaining_ms())
        account = self._routes().sent_account(call.job_run.job.account)
        headers = self._dialect.reward_call_headers(reward_call, account)
        headers = self._dialect.request_headers(headers, server, remaining_ms)
        timeout_ms = min(remaining_ms, route.timeout_ms)
        if not call.ran_at:
            timeout_ms = min(timeout_ms, FIRST_ATTEMPT_TARGETS * route.target_ms)
        try:
            with (
                self._metrics.reward_calls_in_flight.track_inprogress(),
                tracing.detached_span("reward call", upstream=server.name),
            ):
                async with self._paths.stream(
                    server,
                    "POST",
                    reward_call.path,
                    headers,
                    reward_call.body,
                    max(1, timeout_ms),
                    idempotent=True,
                    connect_timeout_ms=CONNECT_TIMEOUT_MS,
                    before_send=lambda: self._loads.check_usable(server),
                ) as response:
                    return await self._read_response(
                        reward_call, server, route, response
                    )
        except ServiceError as e:
            if e.kind is ErrorKind.UPSTREAM_TIMEOUT:
                self._loads.record_timeout(server, route.name)
            elif e.kind is not ErrorKind.DRAINING:
                self._loads.record_failure(server)
            return NoScore(e.answer.ran, e.message)

    async def _read_response(self, reward_call, server, route, response):
        failure = await self._attempt_failure(server, reward_call.id, response)
        if failure is not None:
            if failure.ran is not Ran.NOT_RUN:
                self._loads.record_failure(server)
            return NoScore(failure.ran, failure.reason)
        status, headers = response.status, response.headers
        await self._http.read_body(response)
        self._loads.record_response(server, route.name)
        if status == STATUS_FAILED:
            return CallFailed()
        if status in SUCCESSES:
            return Scored(self._dialect.score(headers))
        return NoScore(Ran.RAN, f"answered {status}")

    def _on_attempt_done(self, call, server, task):
        self._loads.end(server, len(call.item.reward_call.body))
        self.wake()
        if call.run.task is not task:
            # The item was abandoned, and may be scored again by now.
            return
        call.run.task = None
        if call.is_over or task.cancelled():
            return
        failure = task.exception()
        outcome = NoScore(Ran.UNKNOWN, repr(failure)) if failure else task.result()
        self._metrics.reward_calls.labels(type(outcome).__name__.lower()).inc()
        match outcome:
            case Scored(score):
                self._finish(call, score, server.name)
                return
            case CallFailed():
                call.failures += 1
                call.ran_at.add(server.name)
                reason = f"failed, {call.failures} times by now"
                if self._abandon_reason(call) is not None:
                    self._finish(call, "", server.name)
                    return
            case NoScore(ran, reason):
                if ran is not Ran.NOT_RUN:
                    call.ran_at.add(server.name)
        pause_ms = call.backoff.next_ms()
        call.paused_until_ms = self._clock.now_ms() + pause_ms
        log.info(
            "Reward call %s of item %s got no score at %s: %s; sent again in %d ms.",
            call.item.reward_call.id,
            call.item.id,
            server.name,
            reason,
            pause_ms,
        )

    def _finish(self, call, score, where):
        """List the item with its score, or as abandoned without one."""
        del self._pending_by_item[call.job_run.job.id, call.item.id]
        elapsed_ms = self._clock.now_ms() - call.since_ms
        self._metrics.reward_seconds.observe(elapsed_ms / MS_PER_SECOND)
        log.info(
            "Reward call %s of item %s of job %s %s after %d ms in %d attempts, last "
            "at %s.",
            call.item.reward_call.id,
            call.item.id,
            call.job_run.job.id,
            "returned a score" if score else "is abandoned",
            elapsed_ms,
            call.attempts,
            where,
        )
        call.run.score = score
        abandon_reason = None
        if not score and self._abandon_reason(call) is not None:
            abandon_reason = functools.partial(self._abandon_reason, call)
        call.job_run.finish(call.run, bool(score), abandon_reason)
