"""In-memory outcomes of the requests that this host sent with keys."""

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
    """Return the digest that identifies a request with a key.

    :param request: an :class:`~goldcrestmoor.request.apps.AppRequest`.
    """
    parts = (request.pool, request.method, request.target)
    head = "\0".join(parts).encode() + b"\0"
    return hashlib.sha256(head + request.body).hexdigest()


class Outcome:
    """The outcome of one request with a key, created before the request is sent.

    :param digest: the request's digest.
    :param expires_ms: the expiry time, on the clock's scale.
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
        """Return whether the response or the failure is recorded."""
        return self._done is None

    def finish(self):
        """Wake up everything that waits for the outcome."""
        # Many outcomes are cached for long, and the event is their largest part.
        done, self._done = self._done, None
        done.set()

    async def wait(self):
        """Wait until the response or the failure is recorded."""
        if self._done is not None:
            await self._done.wait()

    def result(self):
        """Return the recorded response.

        :raises ServiceError: the recorded failure.
        """
        if self.error is not None:
            raise self.error
        return self.answer


class OutcomeCache:
    """Outcomes by key, in bounded memory.

    An outcome is never evicted before it expires: the request of a key that was
    dropped early would be sent again.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param settings: the :class:`~goldcrestmoor.settings.IdempotencySettings`.
    :param in_flight: counts the work that a shutdown waits for, by ``hold()``;
        ``is_open`` is whether new requests are accepted. None for no such count.
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
        """Whether this host accepts new requests."""
        return self._in_flight is None or self._in_flight.is_open

    def hold(self):
        """Return a context manager whose exit a shutdown waits for."""
        if self._in_flight is None:
            return contextlib.nullcontext()
        return self._in_flight.hold()

    def find(self, key, digest):
        """Return the outcome of a key, or None.

        :param key: the key, with its account.
        :param digest: the request's digest.
        :raises ServiceError: ``KEY_REUSED`` when the key belongs to another request.
        """
        outcome = self._outcomes_by_key.get(key)
        if outcome is not None and outcome.digest != digest:
            text = "The key was used with another request."
            raise ServiceError(ErrorKind.KEY_REUSED, text)
        return outcome

    def start(self, key, digest, expires_ms, send):
        """Send a request once, and record its outcome.

        The request continues when its caller disconnects.

        :param key: the key, with its account.
        :param digest: the request's digest.
        :param expires_ms: the outcome's expiry time, on the clock's scale.
        :param send: ``async () -> AppResponse``.
        :return: the :class:`Outcome`.
        :raises ServiceError: ``OVERLOADED`` when the cache is full.
        """
        self._ensure_capacity()
        outcome = Outcome(digest, expires_ms)
        self._outcomes_by_key[key] = outcome
        self._tasks.start(self._run(key, outcome, send), name="keyed request")
        return outcome

    async def wait(self, outcome, deadline):
        """Wait for the outcome and return the recorded response.

        :param outcome: the :class:`Outcome`.
        :param deadline: when to stop waiting.
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
        """Cancel the requests that are being sent."""
        await self._tasks.close()

    async def _run(self, key, outcome, send):
        try:
            with self.hold():
                outcome.answer = await send()
            self._cache_response(outcome)
        except ServiceError as e:
            outcome.error = e
            if e.answer.ran == Ran.NOT_RUN:
                # The request was not run, so the key may be used again.
                self._drop(key)
            elif e.kind.value.startswith("upstream_"):
                text = f"The request may have run, and is not sent again: {e.message}"
                outcome.error = ServiceError(ErrorKind.OUTCOME_UNKNOWN, text)
        except BaseException:
            text = "The request may have run, and is not sent again."
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
        """Drop a response that does not fit the cache, once all waiters have it."""
        if outcome.is_cached or outcome.waiters or outcome.answer is None:
            return
        text = (
            f"It ran with status {outcome.answer.status}; the response is not cached."
        )
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
            text = "Too many outcomes of keys are cached."
            raise ServiceError(ErrorKind.OVERLOADED, text, FULL_RETRY_AFTER_MS)

    def _drop(self, key):
        outcome = self._outcomes_by_key.pop(key, None)
        if outcome is not None and outcome.is_cached and outcome.answer is not None:
            self._cached_bytes -= _size(outcome.answer)


def _size(answer):
    headers = sum(len(name) + len(value) for name, value in answer.headers)
    return len(answer.body) + headers
