"""What this host remembers of the requests that it sent with keys."""

import asyncio
import contextlib
import hashlib

from goldcrestmoor import util
from goldcrestmoor.clock import MS_PER_SECOND
from goldcrestmoor.errors import ErrorKind, Ran, ServiceError

MAX_CACHED_BODY_BYTES = 1 << 16
MAX_CACHED_TOTAL_BYTES = 8 << 20
FULL_RETRY_AFTER_MS = 5000
CLEANUP_INTERVAL_MS = 5000


def request_digest(request):
    """Return what tells one request from another under the same key.

    :param request: an :class:`~goldcrestmoor.request.apps.AppRequest`.
    """
    parts = (request.pool, request.method, request.target)
    head = "\0".join(parts).encode() + b"\0"
    return hashlib.sha256(head + request.body).hexdigest()


class Outcome:
    """One request with a key, from before it is sent.

    :param digest: its digest.
    :param expires_ms: how long it is remembered, on the clock's scale.
    """

    __slots__ = ("digest", "expires_ms", "answer", "error", "is_cached")
    __slots__ += ("waiters", "_done")

    def __init__(self, digest, expires_ms):
        self.digest = digest
        self.expires_ms = expires_ms
        self.answer = None
        self.error = None
        self.waiters = 0
        self.is_cached = True
        self._done = asyncio.Event()

    def is_done(self):
        """Tell whether the answer or the failure is recorded."""
        return self._done is None

    def finish(self):
        """Let everybody go on who waits for the answer."""
        # Many outcomes are kept for long, and an event is larger than the rest.
        done, self._done = self._done, None
        done.set()

    async def wait(self):
        """Wait until the answer or the failure is recorded."""
        if self._done is not None:
            await self._done.wait()

    def result(self):
        """Return the recorded answer.

        :raises ServiceError: the recorded failure.
        """
        if self.error is not None:
            raise self.error
        return self.answer


class OutcomeCache:
    """Outcomes by key, in bounded memory.

    An outcome that could still be asked for is never dropped to make room: a key
    that was forgotten early would be sent again.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param settings: the :class:`~goldcrestmoor.settings.IdempotencySettings`.
    :param in_flight: counts what a shutdown waits for, by ``hold()``, and tells by
        ``is_open`` whether new work is taken; None when there is no such count.
    """

    __slots__ = (
        "_clock",
        "_settings",
        "_outcomes_by_key",
        "_cached_bytes",
        "_tasks",
    ) + (
        "_last_cleanup_ms",
        "_in_flight",
    )

    def __init__(self, *, clock, settings, in_flight=None):
        self._in_flight = in_flight
        self._clock = clock
        self._settings = settings
        self._outcomes_by_key = {}
        self._cached_bytes = 0
        self._last_cleanup_ms = clock.now_ms()
        self._tasks = util.TaskGroup()

    def __len__(self):
        return len(self._outcomes_by_key)

    @property
    def is_open(self):
        """Whether this host takes new work."""
        return self._in_flight is None or self._in_flight.is_open

    def hold(self):
        """Return a context manager that a shutdown waits for."""
        if self._in_flight is None:
            return contextlib.nullcontext()
        return self._in_flight.hold()

    def find(self, key, digest):
        """Return the outcome of a key, or None.

        :param key: the key, with its account.
        :param digest: the request's digest.
        :raises ServiceError: ``KEY_REUSED`` when it belongs to another request.
        """
        outcome = self._outcomes_by_key.get(key)
        if outcome is not None and outcome.digest != digest:
            text = "The key was used with another request."
            raise ServiceError(ErrorKind.KEY_REUSED, text)
        return outcome

    def start(self, key, digest, expires_ms, send):
        """Send a request once, and record what comes of it.

        The sending goes on when its caller has gone.

        :param key: the key, with its account.
        :param digest: the request's digest.
        :param expires_ms: how long to remember it, on the clock's scale.
        :param send: ``async () -> AppResponse``.
        :return: the :class:`Outcome`.
        :raises ServiceError: ``OVERLOADED`` when too many are remembered.
        """
        self._ensure_capacity()
        outcome = Outcome(digest, expires_ms)
        self._outcomes_by_key[key] = outcome
        self._tasks.start(self._run(key, outcome, send), name="keyed request")
        return outcome

    async def wait(self, outcome, deadline):
        """Return a recorded answer, once it is there.

        :param outcome: the :class:`Outcome`.
        :param deadline: when to give up waiting.
        :raises ServiceError: the recorded failure, or ``IN_PROGRESS``.
        """
        outcome.waiters += 1
        try:
            async with asyncio.timeout(deadline.remaining_ms() / MS_PER_SECOND):
                await outcome.wait()
            return outcome.result()
        except TimeoutError:
            text = "The request with this key is still running."
            raise ServiceError(ErrorKind.IN_PROGRESS, text) from None
        finally:
            outcome.waiters -= 1
            self._discard_uncached(outcome)

    def forget(self, key):
        """Drop a key whose request was not run.

        :param key: the key, with its account.
        """
        self._drop(key)

    async def close(self):
        """Cancel what is being sent."""
        await self._tasks.close()

    async def _run(self, key, outcome, send):
        try:
            with self.hold():
                outcome.answer = await send()
            self._cache_response(outcome)
        except ServiceError as e:
            outcome.error = e
            if e.answer.ran == Ran.NOT_RUN:
                # Nothing was sent, so the key may be tried again.
                self._drop(key)
            elif e.kind.value.startswith("upstream_"):
                text = f"It may have run, and will not be sent again: {e.message}"
                outcome.error = ServiceError(ErrorKind.OUTCOME_UNKNOWN, text)
        except BaseException:
            text = "It may have run, and will not be sent again."
            outcome.error = ServiceError(ErrorKind.OUTCOME_UNKNOWN, text)
            raise
        finally:
            outcome.finish()

    def _cache_response(self, outcome):
        size = _size(outcome.answer)
        has_capacity = self._cached_bytes + size <= MAX_CACHED_TOTAL_BYTES
        if size <= MAX_CACHED_BODY_BYTES and has_capacity:
            self._cached_bytes += size
            return
        outcome.is_cached = False
        self._discard_uncached(outcome)

    def _discard_uncached(self, outcome):
        """Drop an answer that is too large to keep, once nobody waits for it."""
        if outcome.is_cached or outcome.waiters or outcome.answer is None:
            return
        text = f"It ran with status {outcome.answer.status}; the answer was not kept."
        outcome.answer = None
        outcome.error = ServiceError(ErrorKind.ANSWER_NOT_KEPT, text)

    def _ensure_capacity(self):
        now_ms = self._clock.now_ms()
        if now_ms >= self._last_cleanup_ms + CLEANUP_INTERVAL_MS:
            self._last_cleanup_ms = now_ms
            for key, outcome in list(self._outcomes_by_key.items()):
                if outcome.expires_ms <= now_ms and outcome.is_done():
                    self._drop(key)
        if len(self._outcomes_by_key) >= self._settings.max_remembered:
            text = "Too many keys are remembered."
            raise ServiceError(ErrorKind.OVERLOADED, text, FULL_RETRY_AFTER_MS)

    def _drop(self, key):
        outcome = self._outcomes_by_key.pop(key, None)
        if outcome is not None and outcome.is_cached and outcome.answer is not None:
            self._cached_bytes -= _size(outcome.answer)


def _size(answer):
    headers = sum(len(name) + len(value) for name, value in answer.headers)
    return len(answer.body) + headers
