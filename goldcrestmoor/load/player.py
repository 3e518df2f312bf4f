"""Play a trace against running daemons and count the outcomes."""

import asyncio
import logging

import msgspec

from goldcrestmoor.client.notes import NotesClient, Outcome
from goldcrestmoor.client.trainer import Step as ClientStep, TrainerClient
from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.load.applications import complete, fetch
from goldcrestmoor.load.tally import Tally
from goldcrestmoor.load.trace import Completion, Fault, Fetch, Note, Publish, Step
from goldcrestmoor.request.completion_format import CompletionResponse
from goldcrestmoor.util import TaskGroup
from goldcrestmoor.version.steps.step_routes import GroupBody, SubmitBody

log = logging.getLogger("goldcrestmoor.replay")

STEP_TIMEOUT_MS = 120_000
PUBLISH_TIMEOUT_MS = 30_000
NOTE_TIMEOUT_MS = 30_000
NOTE_HEADER = b"x-note-id"
FIRST_VERSION = 1


class Player:
    """Plays one trace.

    The load is open-loop: each request starts at its scheduled time, whether or not
    earlier ones have finished, and its latency counts from that time. Steps of one
    trainer run one after another.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param http: the :class:`~goldcrestmoor.connection.http_client.HttpClient`.
    :param urls: the URLs of the hosts.
    :param token_by_account: the accounts' tokens.
    :param model_by_pool: the model of each engine pool, for publishing.
    :param staleness_by_account: each trainer's staleness bound, in versions.
    :param control: the :class:`~goldcrestmoor.load.fleet_control.FleetControl`, or
        None when the fleet has no control server.
    """

    __slots__ = (
        "tally",
        "_clock",
        "_http",
        "_urls",
        "_token_by_account",
        "_model_by_pool",
        "_staleness_by_account",
        "_control",
        "_started_ms",
        "_notes_by_account",
        "_trainer_by_account",
    )

    def __init__(
        self,
        *,
        clock,
        http,
        urls,
        token_by_account,
        model_by_pool,
        staleness_by_account,
        control=None,
    ):
        self.tally = Tally()
        self._clock = clock
        self._http = http
        self._urls = urls
        self._token_by_account = token_by_account
        self._model_by_pool = model_by_pool
        self._staleness_by_account = staleness_by_account
        self._control = control
        self._started_ms = 0
        self._notes_by_account = {}
        self._trainer_by_account = {}

    async def play(self, entries):
        """Play all entries and wait until their work is finished.

        :param entries: a trace's entries, ordered by time.
        :return: the duration in milliseconds.
        """
        self._started_ms = self._clock.now_ms()
        steps = [entry for entry in entries if isinstance(entry, Step)]
        accounts = dict.fromkeys(step.account for step in steps)
        self._trainer_by_account = {name: self._make_trainer(name) for name in accounts}
        trainers = [
            asyncio.create_task(self._run_trainer(account, steps))
            for account in accounts
        ]
        tasks = TaskGroup()
        pending = [
            tasks.start(self._play(entry, number))
            async for number, entry in self._arrivals(entries)
        ]
        await asyncio.gather(*trainers, *pending)
        return self._clock.now_ms() - self._started_ms

    async def close(self):
        """Close the connections of the clients that it has made."""
        clients = (*self._trainer_by_account.values(), *self._notes_by_account.values())
        for client in clients:
            await client.close()

    async def _arrivals(self, entries):
        others = (entry for entry in entries if not isinstance(entry, Step))
        for number, entry in enumerate(others):
            await self._wait_until(entry.at_ms)
            yield number, entry

    async def _wait_until(self, at_ms):
        await self._clock.sleep_ms(self._started_ms + at_ms - self._clock.now_ms())

    def _latency_ms(self, at_ms):
        return self._clock.now_ms() - self._started_ms - at_ms

    async def _play(self, entry, number):
        match entry:
            case Fetch():
                await self._fetch(entry, number)
            case Note():
                await self._save_note(entry)
            case Completion():
                await self._complete(entry, number)
            case Publish():
                await self._publish(entry.account, entry.pool, entry.version)
            case Fault():
                await self._inject(entry)

    async def _fetch(self, entry, number):
        # Stands in for the load balancer that distributes callers over the hosts.
        url = self._urls[number % len(self._urls)]
        token = self._token_by_account[entry.account]
        try:
            await fetch(self._http, url, token, entry.pool, entry.path)
        except ServiceError as e:
            self.tally.fetch_failed += 1
            self.tally.errors_by_kind[e.code] += 1
        self.tally.fetch.record(self._latency_ms(entry.at_ms))

    async def _complete(self, entry, number):
        url = self._urls[number % len(self._urls)]
        token = self._token_by_account[entry.account]
        try:
            body = await complete(self._http, url, token, entry)
            response = msgspec.json.decode(body, type=CompletionResponse)
            self.tally.tokens_delivered += response.usage.completion_tokens
        except ServiceError as e:
            self.tally.completion_failed += 1
            self.tally.errors_by_kind[e.code] += 1
        self.tally.completion.record(self._latency_ms(entry.at_ms))

    async def _save_note(self, entry):
        self.tally.notes_asked += 1
        client = self._notes_by_account.get(entry.account)
        if client is None:
            token = self._token_by_account[entry.account]
            client = NotesClient(self._urls, token, clock=self._clock)
            self._notes_by_account[entry.account] = client
        path = f"/apps/{entry.pool}{entry.path}"
        # The application counts its runs by this id, independently of the daemons.
        headers = [(NOTE_HEADER, entry.body.encode())]
        result = await client.save(path, entry.body.encode(), NOTE_TIMEOUT_MS, headers)
        self.tally.notes_saved += result.outcome == Outcome.SAVED
        self.tally.notes_unknown += result.outcome == Outcome.UNKNOWN
        self.tally.note.record(self._latency_ms(entry.at_ms))

    async def _inject(self, fault):
        if self._control is None:
            raise ServiceError(
                ErrorKind.BAD_REQUEST,
                "The trace has faults, but the fleet's plan has no control server.",
            )
        log.info("Injecting %s on %s.", fault.action, fault.target)
        await self._control.inject(fault)

    def _make_trainer(self, account):
        client = TrainerClient(
            self._urls,
            self._token_by_account[account],
            self._staleness_by_account[account],
            clock=self._clock,
        )
        client.version = FIRST_VERSION
        return client

    async def _run_trainer(self, account, steps):
        client = self._trainer_by_account[account]
        for step in steps:
            if step.account == account:
                await self._wait_until(step.at_ms)
                await self._run_step(client, step)
        self.tally.idle_ms_by_account[account] += client.idle_ms
        self.tally.doubled += client.dropped_held

    async def _run_step(self, client, step):
        started_ms = self._clock.now_ms()
        sample_count = sum(group.samples for group in step.groups)
        self.tally.samples_asked += sample_count
        groups = [
            GroupBody(number, group.prompt, group.samples, group.max_tokens, group.seed)
            for number, group in enumerate(step.groups)
        ]
        submitted = await self._collect(client, step, groups)
        samples = submitted.sample_by_slot
        self.tally.samples_delivered += len(samples)
        self.tally.tokens_delivered += sum(
            segment.tokens for s in samples.values() for segment in s.segments
        )
        self.tally.staleness += submitted.staleness_by_slot.values()
        elapsed_ms = self._clock.now_ms() - started_ms
        self.tally.step_ms_by_account[step.account].append(elapsed_ms)
        log.info("Step %s took %d ms.", step.step, elapsed_ms)
        await self._clock.sleep_ms(step.train_ms)
        if step.publish:
            await self._publish(step.account, step.pool, step.publish)

    async def _collect(self, client, step, groups):
        """Return the step with the samples received, complete or not."""
        body = SubmitBody(step.step, step.pool, client.version, tuple(groups))
        submitted = ClientStep(body)
        try:
            submitted = await client.submit(
                step.step, step.pool, groups, STEP_TIMEOUT_MS, STEP_TIMEOUT_MS
            )
            await client.collect(submitted, STEP_TIMEOUT_MS)
        except ServiceError as e:
            self.tally.errors_by_kind[e.code] += 1
        return submitted

    async def _publish(self, account, pool, version):
        client = self._trainer_by_account[account]
        try:
            await client.publish(self._model_by_pool[pool], version, PUBLISH_TIMEOUT_MS)
        except ServiceError as e:
            self.tally.errors_by_kind[e.code] += 1
