"""Generating the samples of one step: starting, watching and hedging streams."""

import asyncio
import contextlib
import logging

from goldcrestmoor import tracing, util
from goldcrestmoor.clock import MS_PER_SECOND
from goldcrestmoor.errors import ServiceError
from goldcrestmoor.version.configuration.document import VersionChangePolicy
from goldcrestmoor.version.steps import stragglers
from goldcrestmoor.version.steps.partial_outputs import PartialOutputs
from goldcrestmoor.version.steps.step_messages import Partial
from goldcrestmoor.version.steps.step_recorder import StepRecorder
from goldcrestmoor.version.steps.step_stream import Stream
from goldcrestmoor.version.weights.publish_interval import PublishIntervalEstimator

log = logging.getLogger("goldcrestmoor.steps")

TICK_MS = 200
RETRY_MIN_MS = 50
RETRY_MAX_MS = 3000
MAX_STREAMS = 512
PERCENT = 100


class StepRun:
    """Fill a step's slots until its deadline.

    :param state: the :class:`~goldcrestmoor.version.steps.step_state.StepState`.
    :param clock: the clock.
    :param completions: the ``Completions``.
    :param store: the :class:`~goldcrestmoor.version.steps.step_store.StepStore`.
    :param lease: the ``ConfigurationLease``.
    :param decisions: the ``DecisionLog``.
    :param metrics: the ``Metrics``.
    :param hedge_percent: the maximum number of hedges, as a percentage of the slots.
    :param should_continue: returns whether this host should still work on the step.
    :param start_order: a class of :mod:`goldcrestmoor.version.steps.stragglers`.
    :param resumes: whether a slot's next attempt resumes from the tokens received.
    :param drops_early: whether to stop a stream that is expected to be too old by
        the time it ends.
    :param partials: the ``Partial`` outputs of an earlier holder's streams.
    """

    def __init__(
        self,
        *,
        state,
        clock,
        completions,
        store,
        lease,
        decisions,
        metrics,
        hedge_percent,
        should_continue,
        start_order=stragglers.LONGEST_FIRST,
        resumes=True,
        drops_early=False,
        partials=(),
    ):
        self._state = state
        self._clock = clock
        self._completions = completions
        self._lease = lease
        self._decisions = decisions
        self._metrics = metrics
        self._should_continue = should_continue
        self._start_order = start_order
        self._drops_early = drops_early
        self._publish_interval = PublishIntervalEstimator(state.trainer_version)
        self._partial_outputs = PartialOutputs(resumes, partials)
        self._hedges_left = -(-len(state.slots) * hedge_percent // PERCENT)
        self._length_estimator = stragglers.LengthEstimator()
        self._streams_by_slot = {}
        self._retry_by_slot = {}
        self._seen_version = state.trainer_version
        self._tasks = util.TaskGroup()
        self._recorder = StepRecorder(
            state=state, store=store, clock=clock, tasks=self._tasks
        )

    async def run(self):
        """Run until the deadline, a change of holder or cancellation."""
        try:
            while not self._state.deadline.passed() and self._should_continue(
                self._state
            ):
                account = self._account()
                if account is not None:
                    self._drop_stale(account)
                    self._start_streams(account)
                    self._hedge(account)
                    self._recorder.start()
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(TICK_MS / MS_PER_SECOND):
                        await self._state.wait_changed()
        finally:
            await self._tasks.close()

    def partials(self):
        """Yield the longest partial output of each slot's streams."""
        for slot, streams in self._streams_by_slot.items():
            longest = max(streams, key=Stream.tokens)
            if longest.chunks and longest.has_versions():
                yield Partial(slot, longest.segments())

    def _account(self):
        accounts = self._lease.view().configuration.accounts_by_name
        return accounts.get(self._state.spec.account)

    def _drop_stale(self, account):
        for slot in self._state.drop_stale(account.staleness_bound):
            self._count_samples("dropped_stale")
            log.info(
                "Slot %s of step %s became stale; its sample is generated again.",
                slot,
                self._state.spec.step,
            )
        version = self._state.trainer_version
        self._publish_interval.record(version, self._clock.now_ms())
        oldest = self._min_version(account)
        if version != self._seen_version:
            self._seen_version = version
            match account.delivery.on_version_change:
                case VersionChangePolicy.CANCEL:
                    oldest = version
                case VersionChangePolicy.FINISH | VersionChangePolicy.RESUME:
                    # The engine finishes or resumes a stream across its weight swap;
                    # only streams older than the staleness bound are stopped here.
                    pass
        for streams in list(self._streams_by_slot.values()):
            for stream in list(streams):
                if stream.has_older_version(oldest):
                    self._stop(stream, "It is too old for the trainer's version.")
                elif self._will_exceed_staleness(stream, account.staleness_bound):
                    self._count_samples("dropped_early")
                    self._stop(stream, "It will be too old when it ends.")

    def _will_exceed_staleness(self, stream, bound):
        """Return whether a stream, unlike a new one, will be too old when it ends."""
        if not self._drops_early or not stream.chunks:
            return False
        now_ms = self._clock.now_ms()
        oldest = min(chunk.version for chunk in stream.chunks)
        if oldest >= self._state.trainer_version:
            return False
        too_old_ms = self._publish_interval.expires_at_ms(oldest, bound)
        left_ms = self._length_estimator.time_to_finish_ms(
            stream.progress(now_ms), stream.group.index
        )
        if too_old_ms is None or left_ms is None:
            return False
        return now_ms + left_ms > too_old_ms

    def _min_version(self, account):
        return max(0, self._state.trainer_version - account.staleness_bound)

    def _stream_limit(self):
        configuration = self._lease.view().configuration
        upstreams = configuration.upstreams_of(self._state.spec.pool)
        return min(MAX_STREAMS, sum(u.slots for u in upstreams))

    def _running_count(self):
        return sum(len(streams) for streams in self._streams_by_slot.values())

    def _start_streams(self, account):
        missing = self._state.missing_slots()
        for slot in [s for s in self._streams_by_slot if s not in missing]:
            for stream in list(self._streams_by_slot[slot]):
                self._stop(stream, "The slot no longer needs a sample.")
        now_ms = self._clock.now_ms()
        idle_slots = self._stream_limit() - self._running_count()
        startable = [
            slot
            for slot in missing
            if slot not in self._streams_by_slot and self._can_retry(slot, now_ms)
        ]
        max_tokens_by_group = {
            i: g.max_tokens for i, g in self._state.group_by_index.items()
        }
        ordered = stragglers.start_order(
            startable, self._length_estimator, max_tokens_by_group, self._start_order
        )
        for slot in ordered[:idle_slots]:
            group = self._state.group_by_index[slot.group]
            chunks = self._partial_outputs.take(
                slot, group.max_tokens, self._min_version(account)
            )
            self._start(Stream(slot, group, now_ms, chunks), account)

    def _can_retry(self, slot, now_ms):
        retry = self._retry_by_slot.get(slot)
        return retry is None or retry[0] <= now_ms

    def _start(self, stream, account, avoid=()):
        self._streams_by_slot.setdefault(stream.slot, []).append(stream)
        text = f"Sample {stream.slot.group}/{stream.slot.index} of a step."
        self._decisions.record("steps", stream.request_id, text)
        stream.task = self._tasks.start(self._generate(stream, account, avoid))

    def _stop(self, stream, reason):
        self._decisions.record("steps", stream.request_id, f"Cancelled. {reason}")
        self._remove(stream)
        stream.task.cancel()

    def _remove(self, stream):
        streams = self._streams_by_slot.get(stream.slot, [])
        if stream in streams:
            streams.remove(stream)
        if not streams:
            self._streams_by_slot.pop(stream.slot, None)

    async def _generate(self, stream, account, avoid):
        name = f"{stream.slot.group}/{stream.slot.index}"
        try:
            with tracing.span("step.sample", account=account.name, slot=name):
                await self._receive(stream, account, avoid)
        except ServiceError as e:
            self._metrics.retries.labels(e.kind.value).inc()
            self._partial_outputs.save(stream)
            self._retry_later(stream, e.retry_after_ms)
            return
        finally:
            self._remove(stream)
        sample = self._build_sample(stream, account)
        if sample is None:
            self._retry_later(stream)
        else:
            await self._finish(stream, sample, account)

    async def _receive(self, stream, account, avoid):
        spec = self._state.spec
        chunks = self._completions.generate(
            account=account,
            pool=spec.pool,
            prompt=stream.group.prompt,
            max_tokens=stream.remaining_tokens(),
            seed=stream.group.seed + stream.slot.index,
            deadline=self._state.deadline,
            request_id=stream.request_id,
            resume_text=stream.text(),
            min_version=self._min_version(account),
            avoid=avoid,
            prefix_key=f"{spec.account}/{spec.step}/{stream.group.index}",
        )
        async with contextlib.aclosing(chunks):
            async for chunk in chunks:
                stream.chunks.append(chunk)
                if chunk.version < self._min_version(account):
                    return

    def _build_sample(self, stream, account):
        if not stream.is_complete():
            self._count_samples("dropped_cut")
            return None
        if not stream.has_versions():
            self._count_samples("dropped_no_version")
            log.warning(
                "A sample was dropped because its engine reported no weight version."
            )
            return None
        if stream.has_older_version(self._min_version(account)):
            self._count_samples("dropped_stale")
            return None
        return stream.sample()

    def _retry_later(self, stream, after_ms=0):
        # The backoff's jitter prevents all slots of a step from being retried at once
        # after an engine crash.
        _, backoff = self._retry_by_slot.get(stream.slot) or (
            0,
            util.Backoff(RETRY_MIN_MS, RETRY_MAX_MS),
        )
        at_ms = self._clock.now_ms() + max(after_ms, backoff.next_ms())
        self._retry_by_slot[stream.slot] = (at_ms, backoff)

    async def _finish(self, stream, sample, account):
        if not self._state.put(sample):
            self._count_samples("dropped_second")
            return
        self._retry_by_slot.pop(stream.slot, None)
        self._partial_outputs.forget(stream.slot)
        elapsed_ms = self._clock.now_ms() - stream.started_ms
        self._length_estimator.add(stream.group.index, stream.tokens(), elapsed_ms)
        for other in list(self._streams_by_slot.get(stream.slot, ())):
            self._stop(other, "Another stream of the slot finished first.")
        if stream.is_hedge:
            self._count_samples("hedge_won")
        await self._recorder.save(sample, self._min_version(account))

    def _hedge(self, account):
        if not account.delivery.hedge or self._hedges_left <= 0:
            return
        if self._state.missing_slots() - self._streams_by_slot.keys():
            return
        unhedged = [s[0] for s in self._streams_by_slot.values() if len(s) == 1]
        for stream in unhedged:
            idle_slots = self._stream_limit() - self._running_count()
            progress = stream.progress(self._clock.now_ms())
            decision = stragglers.decide_hedge(
                progress,
                stream.group.index,
                self._length_estimator,
                idle_slots,
                self._hedges_left,
            )
            match decision:
                case stragglers.NoHedge():
                    continue
                case stragglers.HedgeFromStart(gain_ms):
                    self._start_hedge(stream, (), gain_ms, account)
                case stragglers.HedgeFromTokens(gain_ms):
                    self._start_hedge(stream, stream.chunks, gain_ms, account)

    def _start_hedge(self, stream, chunks, gain_ms, account):
        self._hedges_left -= 1
        self._count_samples("hedged")
        text = f"A hedge starts; it is expected to save {gain_ms} ms."
        self._decisions.record("steps", stream.request_id, text)
        now_ms = self._clock.now_ms()
        hedge = Stream(stream.slot, stream.group, now_ms, chunks, is_hedge=True)
        avoid = tuple({chunk.upstream for chunk in stream.chunks[-1:]})
        self._start(hedge, account, avoid)

    def _count_samples(self, outcome):
        self._metrics.samples.labels(self._state.spec.account, outcome).inc()
