"""The published weight version of each model, which its engines should run."""

import asyncio
import contextlib
import logging
import random
import secrets

import msgspec

from goldcrestmoor.adapters.table import Check, Committed, Write
from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.util import Backoff
from goldcrestmoor.version.weights.weight_messages import VersionPublished

log = logging.getLogger("goldcrestmoor.weights")

TABLE = "versions"
POLL_MS = 1000
IDLE_POLL_MS = 15_000
POLL_JITTER = 0.2
POLL_BACKOFF_MAX_MS = 10_000
PUBLISH_ATTEMPTS = 5
MAX_MODELS = 1000
TOKEN_BYTES = 12


class VersionRow(msgspec.Struct, frozen=True):
    """A model's published version as stored in the table service.

    :param version: the version.
    :param published_by: the account that published it.
    :param token: identifies the publish call that wrote the row.
    """

    version: int
    published_by: str
    token: str


_decoder = msgspec.json.Decoder(VersionRow)


class PublishedVersions:
    """Publishes weight versions and tracks the current one of each model.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param table: the :class:`~goldcrestmoor.adapters.table.TableClient`.
    :param links: the :class:`~goldcrestmoor.connection.peers.PeerLinks`.
    :param broadcast: the :class:`~goldcrestmoor.process.broadcast.TreeBroadcast`.
    :param weight_store: the
        :class:`~goldcrestmoor.adapters.weights.WeightStoreClient`, or None.
    """

    __slots__ = (
        "_clock",
        "_table",
        "_broadcast",
        "_weight_store",
        "_versions_by_model",
        "_versions_by_publisher",
        "_callbacks",
        "_fast_poll_count",
        "_fast_poll_started",
    )

    def __init__(self, *, clock, table, links, broadcast, weight_store=None):
        self._clock = clock
        self._table = table
        self._broadcast = broadcast
        self._weight_store = weight_store
        self._versions_by_model = {}
        self._versions_by_publisher = {}
        self._callbacks = []
        self._fast_poll_count = 0
        self._fast_poll_started = asyncio.Event()
        links.register(VersionPublished, self._on_published)

    def current(self, model):
        """Return the newest version of a model known to this host, or 0.

        :param model: the model.
        """
        return self._versions_by_model.get(model, 0)

    def published_by(self, account, model):
        """Return the newest version known to be published by an account, or 0.

        :param account: the account's name.
        :param model: the model.
        """
        return self._versions_by_publisher.get((account, model), 0)

    def on_change(self, callback):
        """Register a callback for models whose version has increased.

        :param callback: called with the model's name.
        """
        self._callbacks.append(callback)

    async def publish(self, model, version, account):
        """Publish a version, so that the model's engines load it.

        Publishing the same version again has no effect.

        :param model: the model.
        :param version: the version, which must be newer than the current one.
        :param account: the publishing account's name.
        :raises ServiceError: ``NOT_FOUND`` when the weight store does not have it,
            ``VERSION_CONFLICT`` when it is not newer than the current one,
            ``PLATFORM_UNAVAILABLE`` when nothing was written and
            ``OUTCOME_UNKNOWN`` when something may have been.
        """
        await self._check_exists(model, version)
        new = VersionRow(version, account, secrets.token_hex(TOKEN_BYTES))
        is_unknown = False
        for _ in range(PUBLISH_ATTEMPTS):
            try:
                if await self._publish_once(model, new):
                    break
            except ServiceError as e:
                # After a lost response, the version may have been published.
                if e.kind is ErrorKind.OUTCOME_UNKNOWN:
                    is_unknown = True
                elif is_unknown and e.kind is ErrorKind.PLATFORM_UNAVAILABLE:
                    raise ServiceError(ErrorKind.OUTCOME_UNKNOWN) from e
                else:
                    raise
        else:
            kind = ErrorKind.OUTCOME_UNKNOWN if is_unknown else ErrorKind.OVERLOADED
            raise ServiceError(kind, "Writing the version's row failed repeatedly.")
        log.info("Version %d of %s was published by %s.", version, model, account)
        self._apply(model, version, account)
        self._broadcast.broadcast(VersionPublished(model, version, account))

    @contextlib.asynccontextmanager
    async def fast_polling(self):
        """Poll the versions at the short interval within the context, and on entry.

        Only the host that orders engines must receive each version quickly even when
        the message about it is lost.
        """
        self._fast_poll_count += 1
        try:
            await self._read()
            self._fast_poll_started.set()
            yield
        finally:
            self._fast_poll_count -= 1

    async def run(self):
        """Read the current versions until cancelled."""
        backoff = Backoff(POLL_MS, POLL_BACKOFF_MAX_MS)
        while True:
            if await self._read():
                backoff.reset()
                await self._wait_for_next_poll()
            else:
                await self._clock.sleep_ms(backoff.next_ms())

    async def _read(self):
        try:
            for row in await self._table.scan(TABLE, ""):
                self._apply_row(row)
        except ServiceError as e:
            log.warning("Reading the published versions failed: %s.", e)
            return False
        return True

    async def _wait_for_next_poll(self):
        interval_ms = POLL_MS if self._fast_poll_count else IDLE_POLL_MS
        interval_ms *= random.uniform(1 - POLL_JITTER, 1)
        self._fast_poll_started.clear()
        sleep = asyncio.ensure_future(self._clock.sleep_ms(interval_ms))
        woken = asyncio.ensure_future(self._fast_poll_started.wait())
        try:
            await asyncio.wait((sleep, woken), return_when=asyncio.FIRST_COMPLETED)
        finally:
            sleep.cancel()
            woken.cancel()

    async def _check_exists(self, model, version):
        if self._weight_store is None:
            return
        try:
            exists = await self._weight_store.exists(model, version)
        except ServiceError as e:
            # Publish anyway: engines also handle the store's limit, as their orders are
            # retried.
            log.warning("Checking for the version in the weight store failed: %s.", e)
            return
        if not exists:
            raise ServiceError(
                ErrorKind.NOT_FOUND, "The weight store does not have the version."
            )

    async def _publish_once(self, model, new):
        row = await self._table.get(TABLE, model)
        if row is not None and _is_published(_decode(row.value), new):
            return True
        check = Check(TABLE, model, row.version if row else 0)
        write = Write(TABLE, model, msgspec.json.encode(new))
        # After a lost response, the next attempt reads the row to learn the outcome.
        return isinstance(await self._table.transact([check], [write]), Committed)

    async def _on_published(self, sender, message):
        self._apply(message.model, message.version, message.account)
        self._broadcast.forward(message, message.targets)

    def _apply_row(self, row):
        try:
            found = _decode(row.value)
            self._apply(row.key, found.version, found.published_by)
        except ServiceError as e:
            log.error("Version row of %s ignored: %s", row.key, e)

    def _apply(self, model, version, account):
        if version > self.published_by(account, model):
            published = self._versions_by_publisher
            if (account, model) in published or len(published) < MAX_MODELS:
                published[account, model] = version
        known = self._versions_by_model
        is_full = model not in known and len(known) >= MAX_MODELS
        if version <= self.current(model) or is_full:
            return
        known[model] = version
        for callback in self._callbacks:
            callback(model)


def _is_published(known, new):
    """Return whether a row already contains the version to publish.

    :raises ServiceError: ``VERSION_CONFLICT`` when it contains a different entry that
        is not older.
    """
    if known.token == new.token:
        return True
    same = known.version == new.version and known.published_by == new.published_by
    if same:
        return True
    if known.version >= new.version:
        text = f"The current version is already {known.version}."
        raise ServiceError(ErrorKind.VERSION_CONFLICT, text)
    return False


def _decode(value):
    try:
        return _decoder.decode(value)
    except msgspec.MsgspecError as e:
        raise ServiceError(ErrorKind.INTERNAL, "A version row is malformed.") from e
