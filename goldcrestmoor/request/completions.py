"""Completions by a pool of engines, with failover to another engine mid-stream."""

import contextlib
import logging

from goldcrestmoor import util
from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.request.authentication import check_access
from goldcrestmoor.request.failures import error_to_report
from goldcrestmoor.request.token_chunk import TokenChunk

log = logging.getLogger("goldcrestmoor.completions")

CHARACTERS_PER_TOKEN = 4
MAX_FAILURES = 4
MAX_REJECTIONS = 3
CANCEL_TIMEOUT_MS = 2000
FINISH_LENGTH = "length"
FAILOVER_ERRORS = frozenset(
    {
        ErrorKind.UPSTREAM_UNREACHABLE,
        ErrorKind.UPSTREAM_FAILED,
        ErrorKind.UPSTREAM_TIMEOUT,
    }
)
ACCESS_ERRORS = frozenset(
    {ErrorKind.UNAUTHORIZED, ErrorKind.CONFIG_LAPSED, ErrorKind.FORBIDDEN}
)
# The engine was sent nothing, or its weights are outdated and it gave no usable token:
# going to another one repeats no work, so it costs no retry.
UNCOUNTED_ERRORS = frozenset({ErrorKind.NO_UPSTREAM, ErrorKind.VERSION_CONFLICT})
REJECTION_ERRORS = frozenset({ErrorKind.NO_UPSTREAM, ErrorKind.OVERLOADED})


class _Progress:
    """The progress of one completion across all engines used for it."""

    __slots__ = ("text", "tokens_left", "version", "upstream", "finished", "avoid") + (
        "failures",
        "rejections",
    )

    def __init__(self, text, tokens_left, avoid):
        self.text = text
        self.tokens_left = tokens_left
        self.version = 0
        self.upstream = ""
        self.finished = False
        self.avoid = set(avoid)
        self.failures = []
        self.rejections = 0

    def add(self, chunk):
        self.text += chunk.text
        self.tokens_left -= chunk.tokens
        self.version = chunk.version
        self.upstream = chunk.upstream
        self.finished = bool(chunk.finish_reason)


class Completions:
    """Generate completions.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param engines: the :class:`~goldcrestmoor.adapters.engine.EngineClient`.
    :param admission: the :class:`~goldcrestmoor.request.admission.AdmissionClient`.
    :param placement: the :class:`~goldcrestmoor.request.placement.Placement`.
    :param lease: provides the
        :class:`~goldcrestmoor.version.configuration.document.ConfigurationView`.
    :param budget: the ``RetryBudget``, which counts by pool.
    :param settings: the :class:`~goldcrestmoor.settings.LimitSettings`.
    :param metrics: the :class:`~goldcrestmoor.process.metrics.Metrics`.
    :param decisions: the :class:`~goldcrestmoor.process.decision_log.DecisionLog`.
    :param health: an ``UpstreamHealth``, or None.
    :param resumes: whether a failed stream resumes on another engine after the tokens
        generated so far; if not, it fails.
    """

    __slots__ = (
        "_clock",
        "_engines",
        "_admission",
        "_placement",
        "_lease",
        "_budget",
        "_settings",
        "_metrics",
        "_decisions",
        "_health",
        "_resumes",
        "_tasks",
    )

    def __init__(
        self,
        *,
        clock,
        engines,
        admission,
        placement,
        lease,
        budget,
        settings,
        metrics,
        decisions,
        health=None,
        resumes=True,
    ):
        self._clock = clock
        self._engines = engines
        self._admission = admission
        self._placement = placement
        self._lease = lease
        self._budget = budget
        self._settings = settings
        self._metrics = metrics
        self._decisions = decisions
        self._health = health
        self._resumes = resumes
        self._tasks = util.TaskGroup()

    async def generate(
        self,
        *,
        account,
        pool,
        prompt,
        max_tokens,
        seed,
        deadline,
        request_id,
        resume_text="",
        min_version=0,
        avoid=(),
        prefix_key="",
    ):
        """Yield the token chunks of one completion; closing it cancels the stream.

        :param account: the ``Account``.
        :param pool: the pool's name.
        :param prompt: the prompt's text.
        :param max_tokens: the most tokens still to generate, in tokens.
        :param seed: the sampling seed.
        :param deadline: the time by which the completion must have ended.
        :param request_id: the request's id.
        :param resume_text: the output generated so far.
        :param min_version: the oldest weight version accepted.
        :param avoid: names of engines to skip.
        :param prefix_key: a key common to prompts that share a prefix.
        :raises ServiceError: ``VERSION_CONFLICT`` when the engines' tokens are older
            than ``min_version``; else the error of admission or of the engines.
        """
        self._budget.record_request(pool)
        progress = _Progress(resume_text, max_tokens, avoid)
        while not progress.finished:
            if progress.tokens_left <= 0:
                # The engine failed between the last token and its end-of-stream marker.
                version, upstream = progress.version, progress.upstream
                yield TokenChunk("", 0, version, upstream, FINISH_LENGTH)
                return
            upstream = self._choose(pool, prefix_key, progress)
            cost = len(prompt + progress.text) // CHARACTERS_PER_TOKEN
            cost += progress.tokens_left
            # Queued requests count as load too, so that requests that start at the
            # same time are distributed.
            self._placement.begin(upstream)
            try:
                grant = await self._admission.acquire(
                    account,
                    upstream,
                    cost,
                    deadline,
                    request_id,
                    lambda: self._placement.alternatives(pool, progress.avoid),
                )
            except ServiceError as e:
                self._skip_upstream(e, upstream, progress, request_id)
                continue
            finally:
                self._placement.end(upstream)
            upstream = grant.upstream
            stream = self._stream_from(
                grant, account, pool, prompt, seed, deadline, progress
            )
            try:
                async with contextlib.aclosing(stream):
                    async for chunk in stream:
                        if chunk.version < min_version:
                            text = f"{chunk.upstream} runs version {chunk.version}."
                            raise ServiceError(ErrorKind.VERSION_CONFLICT, text)
                        progress.add(chunk)
                        yield chunk
                progress.finished = True
            except ServiceError as e:
                self._fail_over(e, pool, upstream, progress, deadline, request_id)

    async def close(self):
        """Cancel the background tasks."""
        await self._tasks.close()

    def _choose(self, pool, prefix_key, progress):
        try:
            return self._placement.choose(pool, prefix_key, progress.avoid)
        except ServiceError:
            if not progress.failures:
                raise
            # A request that may have run is never reported as not run.
            raise error_to_report(progress.failures) from None

    def _skip_upstream(self, error, upstream, progress, request_id):
        """Skip an engine that rejected the request, or raise its error."""
        # An upstream that accepts no new requests is no sign of load on the others.
        progress.rejections += error.kind != ErrorKind.NO_UPSTREAM
        if error.kind not in REJECTION_ERRORS or progress.rejections >= MAX_REJECTIONS:
            raise error_to_report([*progress.failures, error])
        progress.failures.append(error)
        progress.avoid.add(upstream.name)
        text = f"Skipped {upstream.name}: {error.message}"
        self._decisions.record("completions", request_id, text)

    def _fail_over(self, error, pool, upstream, progress, deadline, request_id):
        """Prepare the failover to another engine, or raise the error."""
        progress.failures.append(error)
        if error.kind in ACCESS_ERRORS:
            raise error_to_report(progress.failures)
        if error.kind not in FAILOVER_ERRORS | REJECTION_ERRORS | {
            ErrorKind.VERSION_CONFLICT
        }:
            raise error
        if progress.text and not self._resumes:
            raise error_to_report(progress.failures)
        if len(progress.failures) > MAX_FAILURES or deadline.passed():
            raise error_to_report(progress.failures)
        if error.kind not in UNCOUNTED_ERRORS and not self._budget.try_retry(pool):
            raise error_to_report(progress.failures)
        self._metrics.retries.labels(error.code).inc()
        progress.avoid.add(upstream.name)
        text = f"Failed over from {upstream.name} after {len(progress.text)} characters"
        self._decisions.record("completions", request_id, f"{text}: {error.message}")

    async def _stream_from(
        self, grant, account, pool, prompt, seed, deadline, progress
    ):
        """Yield the token chunks of one engine's stream, with a granted slot."""
        upstream = grant.upstream
        stream_id = util.new_id()
        model = self._lease.view().configuration.pools_by_name[pool].model
        started_ms = self._clock.now_ms()
        first_ms = None
        used_tokens = chunk_count = 0
        max_tokens = progress.tokens_left
        in_flight = False
        self._placement.begin(upstream)
        stream = self._engines.stream(
            upstream,
            model=model,
            prompt=prompt,
            max_tokens=progress.tokens_left,
            seed=seed,
            request_id=stream_id,
            timeout_ms=max(1, deadline.remaining_ms()),
            resume_text=progress.text,
            idle_timeout_ms=self._settings.progress_timeout_ms,
        )
        try:
            if not self._placement.accepts_requests(upstream.name):
                text = f"{upstream.name} accepts no new requests."
                raise ServiceError(ErrorKind.NO_UPSTREAM, text)
            check_access(self._lease.view(), account, pool)
            in_flight = True
            async with contextlib.aclosing(stream):
                async for chunk in stream:
                    if first_ms is None:
                        first_ms = self._clock.now_ms() - started_ms
                    used_tokens += chunk.tokens
                    chunk_count += 1
                    if max(used_tokens, chunk_count - 1) > max_tokens:
                        # The last chunk may have the finish reason alone.
                        text = f"{upstream.name} sent more than {max_tokens} tokens."
                        raise ServiceError(ErrorKind.UPSTREAM_FAILED, text)
                    yield chunk
            in_flight = False
            self._record(upstream, True, first_ms)
        except ServiceError as e:
            if e.kind in FAILOVER_ERRORS:
                self._record(upstream, False)
            raise
        finally:
            self._placement.end(upstream)
            self._admission.release(grant, used_tokens)
            if in_flight:
                self._tasks.start(self._cancel(upstream, stream_id), name="cancel")

    async def _cancel(self, upstream, stream_id):
        try:
            await self._engines.cancel(
                upstream, stream_id, timeout_ms=CANCEL_TIMEOUT_MS
            )
        except ServiceError as e:
            log.info("Stream on %s not cancelled: %s", upstream.name, e)

    def _record(self, upstream, succeeded, first_ms=None):
        if self._health is not None:
            self._health.record(upstream.name, succeeded, first_ms)
