"""The state of a running item of a batch job, and single attempts to run it."""

import contextlib
import logging
import sys

import msgspec

from goldcrestmoor import tracing
from goldcrestmoor.connection.response_memory import ResponseMemory
from goldcrestmoor.decoding import parse_integer
from goldcrestmoor.errors import ErrorKind, Ran, ServiceError
from goldcrestmoor.job.job import Partial
from goldcrestmoor.job.output_limit import OutputLimit
from goldcrestmoor.request.event_stream import EventParser

log = logging.getLogger("goldcrestmoor.items")

STATUS_OK = 200
STATUS_FAILED = 500
STATUS_IMPOSSIBLE = 422
# An engine never gets more requests than it has slots, so it responds at once.
HEAD_TIMEOUT_MS = 1500
# Ten times the gap between events that callers tolerate; an engine four times slower
# than usual still sends an event every 200 ms.
IDLE_TIMEOUT_MS = 1200
ATTEMPT_TIMEOUT_MS = 60_000


class Finished(msgspec.Struct, frozen=True):
    """The item's output is complete."""


class Failed(msgspec.Struct, frozen=True):
    """The engine ran the item and reported a failure."""


class Impossible(msgspec.Struct, frozen=True):
    """The engine reported that the item can never succeed."""


class NotRun(msgspec.Struct, frozen=True):
    """The engine did not run the item.

    :param reason: why, as part of a sentence.
    """

    reason: str


class Broken(msgspec.Struct, frozen=True):
    """The attempt was interrupted; the output so far is kept.

    :param reason: why, as part of a sentence.
    """

    reason: str


class Overlong(msgspec.Struct, frozen=True):
    """The engine sent more than the item's output; nothing of it is kept.

    :param reason: what it exceeds, as part of a sentence.
    """

    reason: str


class Moved(msgspec.Struct, frozen=True):
    """This host cancelled the attempt, to continue at another engine."""


class Denied(msgspec.Struct, frozen=True):
    """The engine's limit on requests left no room for the item, which was not sent."""


class ItemTerms(msgspec.Struct, frozen=True):
    """The constraints on the attempts of an item.

    :param host: the host of the item's route.
    :param min_version: the oldest weight version accepted for its events.
    :param single_version: whether all events must come from one weight version.
    :param account: the client account that the engine is told, empty for none; None
        where callers have no accounts.
    :param services: the services that may run the item; None for any.
    """

    host: str
    min_version: int
    single_version: bool
    account: str | None = None
    services: tuple[str, ...] | None = None

    def allows(self, versions):
        """Return whether one output may come from these weight versions.

        :param versions: a collection of versions.
        """
        return not self.single_version or len(versions) <= 1

    def check_service(self, service):
        """Raise if a service no longer runs the item, just before it is sent.

        :param service: the service's name.
        :raises ServiceError: ``NO_UPSTREAM``; the item has not been sent.
        """
        if self.services is not None and service not in self.services:
            text = f"The route no longer leads to {service}."
            raise ServiceError(ErrorKind.NO_UPSTREAM, text)


class ItemRun:
    """An item with its output so far.

    :param item: the :class:`~goldcrestmoor.job.job.Item`.
    :param position: its index in the job.
    :param now_ms: the time.
    :ivar events: the data of the events so far.
    :ivar text_bytes: their size, encoded.
    :ivar held_bytes: their size in memory.
    :ivar last_id: the id of the last of them.
    :ivar versions: the weight versions that generated them, in order of first use.
    :ivar software_version: the software version of the engine that began them.
    :ivar failures: how often an engine reported that the item failed.
    :ivar failed_at: the names of these engines.
    :ivar attempts: how often it was started.
    :ivar engine: the engine that runs it, or None.
    :ivar generation: increases when it restarts from its prompt.
    :ivar saved_events: the number of events in the store.
    :ivar started_ms: when its first attempt began.
    :ivar progress_ms: when it got its last event, or was created.
    :ivar avoided_engine: the engine of its last unsuccessful attempt.
    :ivar is_moving: whether its attempt is being cancelled, to continue at another
        engine.
    :ivar moved_ms: when it was last moved away from an engine, or None.
    :ivar is_complete: whether its text is complete.
    :ivar is_completion_saved: whether the store shows that it is.
    :ivar score: the score of its text; empty while it has none.
    """

    __slots__ = (
        "item",
        "position",
        "events",
        "text_bytes",
        "held_bytes",
        "last_id",
        "versions",
        "software_version",
        "failures",
        "failed_at",
        "attempts",
        "generation",
        "saved_events",
        "started_ms",
        "progress_ms",
        "engine",
        "avoided_engine",
        "task",
        "is_moving",
        "moved_ms",
        "is_complete",
        "is_completion_saved",
        "score",
    )

    def __init__(self, item, position, now_ms=0):
        self.item = item
        self.position = position
        self.failures = 0
        self.failed_at = set()
        self.attempts = 0
        self.started_ms = None
        self.progress_ms = now_ms
        self.engine = None
        self.avoided_engine = ""
        self.task = None
        self.is_moving = False
        self.moved_ms = None
        self.generation = 0
        self._set_events(())
        self.last_id = ""
        self.versions = []
        self.software_version = ""
        self.saved_events = 0
        self.is_complete = False
        self.is_completion_saved = False
        self.score = ""

    @property
    def group(self):
        """The group that the item belongs to."""
        return self.item.group

    @property
    def expected_tokens(self):
        """How long the item's output is expected to be, in tokens."""
        return self.item.expected_tokens

    def restart(self):
        """Discard the output and restart from the prompt."""
        self.generation += 1
        self._set_events(())
        self.last_id = ""
        self.versions = []
        self.software_version = ""
        self.saved_events = 0
        self.is_complete = False
        self.is_completion_saved = False

    def unsaved(self):
        """Return the events that are not in the store yet, as a :class:`Partial`."""
        return Partial(
            self.position,
            self.generation,
            self.saved_events,
            tuple(self.events[self.saved_events :]),
            self.last_id,
            tuple(self.versions),
            self.is_complete,
            self.software_version,
        )

    def resume(self, partials):
        """Restore the output that an earlier runner has stored.

        :param partials: its :class:`~goldcrestmoor.job.job.Partial` values, in the
            order of their keys.
        """
        newest = max((partial.generation for partial in partials), default=0)
        self.generation = newest
        for partial in partials:
            if partial.generation == newest and partial.first == len(self.events):
                for data in partial.events:
                    self._append(data)
                self.last_id = partial.last_id
                self.versions = list(partial.versions)
                self.software_version = partial.software_version
                self.is_complete = partial.is_complete
        self.saved_events = len(self.events)
        self.is_completion_saved = self.is_complete

    def take_over(self, output, now_ms):
        """Go on from output that an ended job left, which this job has not stored.

        :param output: the :class:`~goldcrestmoor.job.partial_cache.KeptOutput`.
        :param now_ms: the time.
        """
        self._set_events(output.events)
        self.last_id = output.last_id
        self.versions = list(output.versions)
        self.software_version = output.software_version
        self.is_complete = output.is_complete
        self.progress_ms = now_ms

    def add(self, event, version):
        """Append one event.

        :param event: the :class:`~goldcrestmoor.request.event_stream.Event`.
        :param version: the weight version that generated it.
        :return: whether its id directly follows that of the last event.
        """
        number = parse_integer(event.id)
        if number is None or (self.last_id and number != int(self.last_id) + 1):
            return False
        self._append(event.data)
        self.last_id = event.id
        if version not in self.versions:
            self.versions.append(version)
        return True

    def _set_events(self, events):
        self.events = []
        self.text_bytes = self.held_bytes = 0
        for data in events:
            self._append(data)

    def _append(self, data):
        self.events.append(data)
        self.text_bytes += encoded_size(data)
        self.held_bytes += sys.getsizeof(data)


def encoded_size(text):
    """Return the bytes that a text takes when it is encoded."""
    return len(text) if text.isascii() else len(text.encode())


class ItemExecutor:
    """Sends items to engines and collects their output.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param paths: the :class:`~goldcrestmoor.process.server_paths.ServerPaths`.
    :param directory: the :class:`~goldcrestmoor.process.directory.UpstreamDirectory`.
    :param limits: the
        :class:`~goldcrestmoor.process.upstream_limits.UpstreamLimits`.
    :param dialect: the request and response format of the engines.
    :param memory: the
        :class:`~goldcrestmoor.connection.response_memory.ResponseMemory` of the
        process; one of its own when left out.
    :param bodies: the :class:`~goldcrestmoor.request.server_bodies.ServerBodies`; None
        for no bound on what is in flight at an engine.
    """

    __slots__ = (
        "_clock",
        "_paths",
        "_directory",
        "_limits",
        "_dialect",
        "_output_limit",
        "_bodies",
    )

    def __init__(
        self, *, clock, paths, directory, limits, dialect, memory=None, bodies=None
    ):
        self._clock = clock
        self._paths = paths
        self._directory = directory
        self._limits = limits
        self._dialect = dialect
        self._output_limit = OutputLimit(memory or ResponseMemory())
        self._bodies = bodies

    async def attempt(self, run, engine, terms, on_events):
        """Run an item at an engine, continuing after the events that it has.

        :param run: the :class:`ItemRun`.
        :param engine: the :class:`~goldcrestmoor.process.directory.ListedUpstream`.
        :param terms: returns the :class:`ItemTerms` in effect.
        :param on_events: called with the number of events received together, and with
            0 once the engine has begun its response.
        :return: the outcome, one of the classes above.
        """
        dialect = self._dialect
        size = len(run.item.body)

        def before_send():
            self._directory.check_usable(engine)
            # The item may have waited for a grant or a connection.
            terms().check_service(engine.service)

        if self._bodies is not None and not self._bodies.fits(engine, size):
            return NotRun("this host has as much in flight there as it may")
        current = terms()
        if self._output_limit.excess(run) or not current.allows(run.versions):
            # An earlier runner may have stored output of any length, and output of
            # several versions may have been allowed.
            run.restart()
        headers = dialect.item_headers(run.item, current.host, current.account)
        headers = dialect.request_headers(headers, engine, None)
        if run.last_id:
            headers.append(dialect.resume_header(run.last_id))
            log.info(
                "Item %s of software version %s resumes after %d events at %s of %s.",
                run.item.id,
                run.software_version or "unknown",
                len(run.events),
                engine.name,
                engine.software_version or "unknown",
            )
        else:
            run.software_version = engine.software_version
        try:
            with (
                self._tracked(engine, size),
                tracing.detached_span("item", upstream=engine.name),
            ):
                async with self._paths.stream(
                    engine,
                    "POST",
                    run.item.path,
                    headers,
                    run.item.body,
                    ATTEMPT_TIMEOUT_MS,
                    idempotent=True,
                    head_timeout_ms=HEAD_TIMEOUT_MS,
                    progress_timeout_ms=IDLE_TIMEOUT_MS,
                    allow_close_delimited=True,
                    before_send=before_send,
                ) as response:
                    self._record_engine_state(run, engine, response)
                    outcome = await self._read_response(run, response, terms, on_events)
        except ServiceError as e:
            if e.answer.ran is Ran.NOT_RUN:
                return NotRun(e.message)
            outcome = Broken(e.message)
        if self._has_changed_software(engine):
            run.restart()
            return Broken("the engine had restarted with another software version")
        return outcome

    def _tracked(self, engine, size):
        if self._bodies is None:
            return contextlib.nullcontext()
        return self._bodies.track(engine, size)

    def _has_changed_software(self, engine):
        """Return whether an engine restarted, unlisted, before it got the item."""
        listed = self._directory.upstream_by_name.get(engine.name)
        return (
            listed is not None
            and listed.started_ms != engine.started_ms
            and listed.software_version != engine.software_version
        )

    def _record_engine_state(self, run, engine, response):
        """Record what an engine's genuine response says of the engine itself."""
        status, headers = response.status, response.headers
        if not self._dialect.is_genuine(run.item.id, status, headers):
            return
        name = self._dialect.leaving_server(engine.name, status, headers)
        if name is not None:
            self._directory.record_leaving(name, engine)
        self._limits.record(engine, self._dialect.stated_limit(status, headers))

    async def _read_response(self, run, response, terms, on_events):
        dialect = self._dialect
        match dialect.ran(run.item.id, response.status, response.headers):
            case Ran.NOT_RUN:
                await response.discard()
                return NotRun(f"status {response.status}")
            case Ran.UNKNOWN:
                return Broken("the response is corrupt or belongs to another request")
        if response.status != STATUS_OK:
            await response.discard()
            return _outcome_of(response.status)
        version = dialect.weight_version(response.headers)
        if version is None:
            return Broken("the response has no weight version")
        on_events(0)
        reader = EventParser(dialect.EVENT_FIELDS, self._clock, IDLE_TIMEOUT_MS)
        count_at_start = len(run.events)
        async for chunk in response.body():
            count_before = len(run.events)
            for event in reader.feed(chunk):
                version = version if event.version is None else event.version
                error = _add_event(run, event, version, terms())
                if error:
                    return Broken(error)
                # Within one read of many events as well.
                excess = self._output_limit.excess(run)
                if excess:
                    run.restart()
                    return Overlong(excess)
            on_events(len(run.events) - count_before)
            response.hold(reader.buffered_bytes)
        is_cut = response.ends_by_close and len(run.events) == count_at_start
        if reader.has_partial_event or is_cut or not run.events:
            return Broken("the stream ended within an event, or before the first")
        return Finished()


def _add_event(run, event, version, terms):
    """Append an event; return why it is invalid, or an empty string."""
    if version < terms.min_version:
        return f"weight version {version} is older than {terms.min_version}"
    if not terms.allows({*run.versions, version}):
        run.restart()
        return "the weight version changed"
    if not run.add(event, version):
        return f"event {event.id!r} does not follow {run.last_id!r}"
    return ""


def _outcome_of(status):
    if status == STATUS_FAILED:
        return Failed()
    if status == STATUS_IMPOSSIBLE:
        return Impossible()
    return Broken(f"status {status}")
