"""The configuration as stored in the platform: a head row and documents."""

import hashlib
import logging

import msgspec

from goldcrestmoor import util
from goldcrestmoor.adapters.table import Check, CheckFailed, Committed, Write
from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.util import Backoff
from goldcrestmoor.version.configuration import document as documents
from goldcrestmoor.version.configuration.cut_off import Proposal
from goldcrestmoor.version.configuration.document import Configuration

log = logging.getLogger("goldcrestmoor.configuration")

TABLE = "configuration"
HEAD_KEY = "head"
PROPOSAL_KEY = "proposal"
MAX_RECENT_TOKENS = 16
RESOLVE_BACKOFF_MIN_MS = 100
RESOLVE_BACKOFF_MAX_MS = 1000


class RecentToken(msgspec.Struct, frozen=True):
    """The token of the write that created a version.

    :param version: the version.
    :param token: the write's token.
    """

    version: int
    token: str


class Head(msgspec.Struct, frozen=True):
    """The content of the head row, which points to the current document.

    :param version: the row's version, which is also the configuration's.
    :param token: the token of the write that created the version.
    :param recent_tokens: the tokens of the last writes, this one included.
    :param document_key: the document's key in the object store.
    :param digest: SHA-256 of the document, in hexadecimal.
    """

    version: int = 0
    token: str = ""
    recent_tokens: tuple[RecentToken, ...] = ()
    document_key: str = ""
    digest: str = ""

    def has_token(self, token):
        """Return whether a write is among the last ones that led to this head.

        :param token: the write's token.
        """
        return any(recent.token == token for recent in self.recent_tokens)


EMPTY_HEAD = Head()


class Written(msgspec.Struct, frozen=True):
    """A write that is known to have taken effect.

    :param version: the version that the write created.
    :param known_at_ms: when this became known, as a time of the clock.
    """

    version: int
    known_at_ms: int


class SupersededWrite(msgspec.Struct, frozen=True):
    """A write that never takes effect, because another one came first.

    :param version: the platform's current version.
    """

    version: int


class ConfigurationStore:
    """Read and write the configuration in the platform.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param table: the table service's client.
    :param objects: the object store's client.
    """

    __slots__ = ("_clock", "_table", "_objects")

    def __init__(self, *, clock, table, objects):
        self._clock = clock
        self._table = table
        self._objects = objects

    async def read_head(self):
        """Return the platform's head; the empty head when none was ever written.

        :raises ServiceError: ``PLATFORM_UNAVAILABLE``.
        """
        return _decode_head(await self._table.get(TABLE, HEAD_KEY))

    async def fetch(self, head):
        """Return the configuration that a head points to.

        :param head: the :class:`Head`.
        :raises ServiceError: ``PLATFORM_UNAVAILABLE`` when the document is missing or
            corrupt.
        """
        if head.version == 0:
            return Configuration()
        data = await self._objects.get(head.document_key)
        if data is None or _digest(data) != head.digest:
            raise ServiceError(
                ErrorKind.PLATFORM_UNAVAILABLE,
                f"The document of version {head.version} is missing or corrupt.",
            )
        return documents.decode(data)

    async def read_proposal(self):
        """Return the last stored proposal of cut-off terms, or None.

        :raises ServiceError: ``PLATFORM_UNAVAILABLE``.
        """
        row = await self._table.get(TABLE, PROPOSAL_KEY)
        return row and _decode(row, Proposal)

    async def save_proposal(self, proposal):
        """Store proposed cut-off terms where a starting host reads them.

        :param proposal: the ``Proposal``.
        :return: the proposal with its number, and the check that no other proposal
            has replaced it, for :meth:`write`.
        :raises ServiceError: ``PLATFORM_UNAVAILABLE``, or ``CONFIG_CONFLICT`` when
            another change is in progress.
        """
        row = await self._table.get(TABLE, PROPOSAL_KEY)
        version = row.version if row else 0
        proposal = msgspec.structs.replace(proposal, number=version + 1)
        write = Write(TABLE, PROPOSAL_KEY, msgspec.json.encode(proposal))
        # While the head is still at the base, no earlier proposal for this base has
        # been written, and replacing the row ensures that none ever can be.
        checks = [
            Check(TABLE, PROPOSAL_KEY, version),
            Check(TABLE, HEAD_KEY, proposal.base),
        ]
        try:
            answer = await self._table.transact(checks, [write])
        except ServiceError as e:
            # A proposal alone changes nothing, so the operator's change was
            # certainly not made.
            raise ServiceError(
                ErrorKind.PLATFORM_UNAVAILABLE,
                f"The cut-off terms could not be proposed: {e}",
            ) from e
        if isinstance(answer, CheckFailed):
            raise ServiceError(
                ErrorKind.CONFIG_CONFLICT, "Another change is in progress."
            )
        return proposal, Check(TABLE, PROPOSAL_KEY, version + 1)

    async def write(self, base, configuration, token, deadline, preconditions=()):
        """Write a configuration as the version after a head.

        :param base: the :class:`Head` that the configuration is based on.
        :param configuration: the new configuration.
        :param token: the write's unique token.
        :param deadline: the time by which the outcome must be known.
        :param preconditions: further checks that must hold.
        :return: :class:`Written` or :class:`SupersededWrite`.
        :raises ServiceError: ``PLATFORM_UNAVAILABLE`` when it certainly was not
            written, ``CONFIG_UNKNOWN`` when the outcome is not known in time.
        """
        version = base.version + 1
        numbered = msgspec.structs.replace(configuration, version=version)
        data = documents.encode(numbered)
        key = f"configuration/{version}-{token}"
        await self._put_document(key, data)
        recent = (*base.recent_tokens, RecentToken(version, token))
        head = Head(version, token, recent[-MAX_RECENT_TOKENS:], key, _digest(data))
        try:
            return await self._write_head(base, head, preconditions)
        except ServiceError as e:
            if e.kind != ErrorKind.OUTCOME_UNKNOWN:
                raise
        log.warning(
            "The write of version %d got no reply; reading the head for its outcome.",
            version,
        )
        return await self._resolve_outcome(base, head, deadline, preconditions)

    async def _put_document(self, key, data):
        try:
            await self._objects.put(key, data)
        except ServiceError as e:
            # No head points to the document yet, so the configuration is unchanged
            # even if the document was stored and only the reply was lost.
            raise ServiceError(
                ErrorKind.PLATFORM_UNAVAILABLE, f"The document was not stored: {e}"
            ) from e

    async def _write_head(self, base, head, preconditions):
        checks = [Check(TABLE, HEAD_KEY, base.version), *preconditions]
        writes = [Write(TABLE, HEAD_KEY, msgspec.json.encode(head))]
        answer = await self._table.transact(checks, writes)
        match answer:
            case Committed():
                return Written(head.version, self._clock.now_ms())
            case CheckFailed():
                return self._outcome_of(await self.read_head(), head)
        raise ServiceError(
            ErrorKind.INTERNAL, "The table client returned an unexpected result."
        )

    async def _resolve_outcome(self, base, head, deadline, preconditions):
        # A head that is still at the base does not prove that the write failed, as it
        # may still be in flight. Sending it again is safe, because at most one of two
        # writes with the same base takes effect, and it makes the outcome certain.
        backoff = Backoff(RESOLVE_BACKOFF_MIN_MS, RESOLVE_BACKOFF_MAX_MS)
        while not deadline.passed():
            try:
                current = await self.read_head()
                if current.version >= head.version:
                    return self._outcome_of(current, head)
                return await self._write_head(base, head, preconditions)
            except ServiceError as e:
                if e.kind == ErrorKind.CONFIG_UNKNOWN:
                    raise
                # A failed resend says nothing about the first write, so only the
                # platform's head can give the outcome.
                log.info("Outcome of version %d is not known yet: %s", head.version, e)
            delay_ms = min(backoff.next_ms(), deadline.remaining_ms())
            await self._clock.sleep_ms(delay_ms)
        raise _unknown_outcome(head.version)

    def _outcome_of(self, current, head):
        if current.has_token(head.token):
            return Written(head.version, self._clock.now_ms())
        oldest = current.recent_tokens[0].version if current.recent_tokens else 0
        if oldest > head.version:
            raise _unknown_outcome(head.version)
        return SupersededWrite(current.version)


def new_token():
    """Return the token of a new write."""
    return util.new_id()


def _unknown_outcome(version):
    return ServiceError(
        ErrorKind.CONFIG_UNKNOWN,
        f"It is unknown whether version {version} was written; ask SHOW VERSION.",
    )


def _decode_head(row):
    if row is None:
        return EMPTY_HEAD
    return msgspec.structs.replace(_decode(row, Head), version=row.version)


def _decode(row, cls):
    try:
        return msgspec.json.decode(row.value, type=cls)
    except msgspec.MsgspecError as e:
        raise ServiceError(
            ErrorKind.PLATFORM_UNAVAILABLE, f"The row {row.key} is malformed."
        ) from e


def _digest(data):
    return hashlib.sha256(data).hexdigest()
