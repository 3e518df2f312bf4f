"""One item of a batch job on its way: what it has made so far, and one try of it."""

import logging

import msgspec

from goldcrestmoor import tracing
from goldcrestmoor.errors import Ran, ServiceError
from goldcrestmoor.job.job import Partial
from goldcrestmoor.request.event_stream import EventParser

log = logging.getLogger("goldcrestmoor.items")

STATUS_OK = 200
STATUS_FAILED = 500
STATUS_IMPOSSIBLE = 422
# No more is sent to an engine than it has slots, so that it begins at once.
HEAD_TIMEOUT_MS = 1500
# Ten times the pause between events that callers bear with; an engine that is four
# times slower than usual still makes an event in 200 ms.
IDLE_TIMEOUT_MS = 1200
ATTEMPT_TIMEOUT_MS = 60_000


class Finished(msgspec.Struct, frozen=True):
    """The item's text is whole."""


class Failed(msgspec.Struct, frozen=True):
    """The engine ran the item and says that it failed."""


class Impossible(msgspec.Struct, frozen=True):
    """The engine says that the item can never be done."""


class NotRun(msgspec.Struct, frozen=True):
    """The engine did not run the item.

    :param reason: why, as part of a sentence.
    """

    reason: str


class Broken(msgspec.Struct, frozen=True):
    """The try ended before the text did; what it made is kept.

    :param reason: why, as part of a sentence.
    """

    reason: str


class Moved(msgspec.Struct, frozen=True):
    """The try was ended here, to go on at another engine."""


class ItemTerms(msgspec.Struct, frozen=True):
    """What holds for the runs of an item.

    :param host: the host of its route.
    :param min_version: the oldest weight version that may make its events.
    :param single_version: whether one version has to make them all.
    """

    host: str
    min_version: int
    single_version: bool


class ItemRun:
    """An item and what has been made of it.

    :param item: the :class:`~goldcrestmoor.job.job.Item`.
    :param position: its place in the job.
    :ivar events: the data of the events so far.
    :ivar last_id: the id of the last of them.
    :ivar versions: the weight versions that made them, in the order of first use.
    :ivar failures: how often an engine said that it failed.
    :ivar engine: the engine that works on it, or None.
    :ivar generation: grows when it starts over from its prompt.
    :ivar saved_events: how many of the events are kept in the store.
    :ivar started_ms: when its first try began.
    :ivar avoid: the engine that it was last broken off at.
    :ivar is_moving: whether its try is being ended, to go on at another engine.
    """

    __slots__ = (
        "item",
        "position",
        "events",
        "last_id",
        "versions",
        "failures",
        "attempts",
        "generation",
        "saved_events",
        "started_ms",
        "engine",
        "avoid",
        "task",
        "is_moving",
    )

    def __init__(self, item, position):
        self.item = item
        self.position = position
        self.failures = 0
        self.attempts = 0
        self.started_ms = None
        self.engine = None
        self.avoid = ""
        self.task = None
        self.is_moving = False
        self.generation = 0
        self.events = []
        self.last_id = ""
        self.versions = []
        self.saved_events = 0

    @property
    def group(self):
        """The group that the item belongs to."""
        return self.item.group

    @property
    def expected_tokens(self):
        """How long the item's output is expected to be, in tokens."""
        return self.item.expected_tokens

    def restart(self):
        """Start over from the prompt."""
        self.generation += 1
        self.events = []
        self.last_id = ""
        self.versions = []
        self.saved_events = 0

    def unsaved(self):
        """Return the events that are not kept yet, as a partial text."""
        return Partial(
            self.position,
            self.generation,
            self.saved_events,
            tuple(self.events[self.saved_events :]),
            self.last_id,
            tuple(self.versions),
        )

    def resume(self, partials):
        """Take over what an earlier runner has kept of the item.

        :param partials: its :class:`~goldcrestmoor.job.job.Partial` values, in the
            order of their keys.
        """
        newest = max((partial.generation for partial in partials), default=0)
        self.generation = newest
        for partial in partials:
            if partial.generation == newest and partial.first == len(self.events):
                self.events += partial.events
                self.last_id = partial.last_id
                self.versions = list(partial.versions)
        self.saved_events = len(self.events)

    def add(self, event, version):
        """Take in one event.

        :param event: the :class:`~goldcrestmoor.request.event_stream.Event`.
        :param version: the weight version that made it.
        :return: whether it is the one that follows the last.
        """
        if not event.id.isdigit():
            return False
        if self.last_id and int(event.id) != int(self.last_id) + 1:
            return False
        self.events.append(event.data)
        self.last_id = event.id
        if version not in self.versions:
            self.versions.append(version)
        return True


class ItemExecutor:
    """Send items to engines and take in what they make.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param http: the :class:`~goldcrestmoor.connection.http_client.HttpClient`.
    :param dialect: how the engines are spoken to.
    """

    __slots__ = ("_clock", "_http", "_dialect")

    def __init__(self, *, clock, http, dialect):
        self._clock = clock
        self._http = http
        self._dialect = dialect

    async def attempt(self, run, engine, terms, on_events):
        """Run an item at an engine, from the events that are there.

        :param run: the :class:`ItemRun`.
        :param engine: the :class:`~goldcrestmoor.process.directory.ListedUpstream`.
        :param terms: the :class:`ItemTerms`.
        :param on_events: called with the number of events that came together; with
            0 once the engine has begun its answer.
        :return: how it ended, one of the classes above.
        """
        dialect = self._dialect
        headers = dialect.item_headers(run.item, terms.host)
        headers = dialect.request_headers(headers, engine, None)
        if run.last_id:
            headers.append(dialect.resume_header(run.last_id))
        try:
            with tracing.detached_span("item", upstream=engine.name):
                async with self._http.stream(
                    engine.address,
                    engine.port,
                    "POST",
                    run.item.path,
                    headers,
                    run.item.body,
                    ATTEMPT_TIMEOUT_MS,
                    idempotent=True,
                    head_timeout_ms=HEAD_TIMEOUT_MS,
                    progress_timeout_ms=IDLE_TIMEOUT_MS,
                    allow_close_delimited=True,
                ) as response:
                    return await self._read_response(run, response, terms, on_events)
        except ServiceError as e:
            if e.answer.ran is Ran.NOT_RUN:
                return NotRun(e.message)
            return Broken(e.message)

    async def _read_response(self, run, response, terms, on_events):
        dialect = self._dialect
        if dialect.ran(response.status, response.headers) is Ran.NOT_RUN:
            await _drain(response)
            return NotRun(f"answered {response.status}")
        if not dialect.is_genuine(run.item.id, response.status, response.headers):
            return Broken("the answer belongs to another request or is spoilt")
        if response.status != STATUS_OK:
            await _drain(response)
            return _outcome_of(response.status)
        version = dialect.weight_version(response.headers)
        if version is None:
            return Broken("the answer states no weight version")
        on_events(0)
        reader = EventParser(dialect.EVENT_FIELDS)
        async for chunk in response.body():
            count_before = len(run.events)
            for event in reader.feed(chunk):
                version = version if event.version is None else event.version
                error = _add_event(run, event, version, terms)
                if error:
                    return Broken(error)
            on_events(len(run.events) - count_before)
        if reader.has_partial_event or not run.events:
            return Broken("the stream ended within an event")
        return Finished()


def _add_event(run, event, version, terms):
    """Take in an event; return why it cannot be, or an empty string."""
    if version < terms.min_version:
        return f"weight version {version} is too old"
    if terms.single_version and run.versions and version not in run.versions:
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
    return Broken(f"answered {status}")


async def _drain(response):
    """Read the rest of a short answer, so that its connection can be used again."""
    async for _ in response.body():
        pass
