"""Learns the operator's rows from other hosts while the store does not answer."""

import asyncio
import logging

import msgspec

from goldcrestmoor.adapters.table import Row
from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.process.configuration_age import (
    FROZEN_MS,
    MAX_ASKED,
    MAX_REPLACEMENTS,
    REPLY_VALID_MS,
    SILENT_MS,
    PeerReply,
    choose_peers,
    choose_successor,
    is_silent,
    may_trust,
)

log = logging.getLogger("goldcrestmoor.exchange")

PATH = "/configuration"
# From the start of a round of requests to that of the next.
ASK_INTERVAL_MS = 1000
# A reply may hold the whole configuration. Two replacements of hosts that give none fit
# into a round.
ASK_TIMEOUT_MS = 300
# A predecessor introduces itself to the same host every third time, so that a host that
# starts without the store is found within 9 s, the time that a change may take.
INTRODUCE_INTERVAL_MS = 2000
# A slow store answers now and then; that is not logged each time.
RECOVERED_AFTER_MS = 3000
# Bounds the checks while the feed is about to count as silent.
MIN_CHECK_INTERVAL_MS = 100
# How long requests wait for recent rows after a freeze; a reply of another host takes
# some milliseconds, and the feed's first answer its whole wait if there is no change.
RESUME_WAIT_MS = 600
RESUME_POLL_MS = 10
# The next round may bring a younger configuration.
REFUSED_RETRY_MS = ASK_INTERVAL_MS


class RowsRequest(msgspec.Struct, frozen=True):
    """Asks a host for newer rows of the operator's table, or introduces the sender.

    :param version_by_key: the versions of the rows that the sender knows.
    :param introduction: the sender's row in the table of hosts, for a receiver that
        has not read that table yet; None in other requests.
    """

    version_by_key: dict[str, int]
    introduction: Row | None = None


class RowsReply(msgspec.Struct, frozen=True):
    """The reply to a :class:`RowsRequest`.

    :param rows: all rows that are newer than the sender's.
    :param age_ms: the time since the replying host surely had the newest rows, by its
        own feed or by other hosts; None if it never had.
    :param feed_age_ms: the time since the store answered the replying host's own feed;
        None if it never has.
    """

    rows: tuple[Row, ...]
    age_ms: int | None
    feed_age_ms: int | None


request_decoder = msgspec.json.Decoder(RowsRequest)
_reply_decoder = msgspec.json.Decoder(RowsReply)


class ConfigurationExchange:
    """Asks other hosts for newer rows, replies to them, and knows the rows' age.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param calls: the :class:`~goldcrestmoor.process.host_calls.HostCalls`.
    :param host_id: this host.
    :param rows: the :class:`~goldcrestmoor.process.follower.TableFollower` of the
        operator's table.
    :param hosts: that of the table of hosts.
    :param routing: the :class:`~goldcrestmoor.process.routing.Routing`.
    :param settings: the :class:`~goldcrestmoor.front_settings.AccountSettings`, or
        None.
    :param metrics: the :class:`~goldcrestmoor.process.metrics.Metrics`.
    """

    __slots__ = (
        "_clock",
        "_calls",
        "_host_id",
        "_rows",
        "_hosts",
        "_routing",
        "_has_section",
        "_max_age_ms",
        "_metrics",
        "_started_ms",
        "_complete_ms",
        "_in_scope",
        "_reply_by_host",
        "_asked",
        "_asking_since_ms",
        "_asked_ms",
        "_learned_count",
        "_introduced_ms",
        "_turn",
        "_last_run_ms",
        "_resumed_ms",
    )

    def __init__(
        self, *, clock, calls, host_id, rows, hosts, routing, settings, metrics
    ):
        self._clock = clock
        self._calls = calls
        self._host_id = host_id
        self._rows = rows
        self._hosts = hosts
        self._routing = routing
        self._has_section = settings is not None
        is_strict = self._has_section and settings.strict_revocation
        self._max_age_ms = settings.revoke_ms if is_strict else None
        self._metrics = metrics
        self._started_ms = self._introduced_ms = clock.now_ms()
        # When the rows were the newest, by the replies of other hosts.
        self._complete_ms = None
        self._in_scope = asyncio.Event()
        self._reply_by_host = {}
        self._asked = ()
        self._asking_since_ms = self._asked_ms = None
        self._learned_count = 0
        self._turn = 0
        # When this process last ran, and when it resumed after a freeze.
        self._last_run_ms, self._resumed_ms = self._started_ms, None
        self.update_scope()
        metrics.configuration_age_ms.set_function(self._age_for_metrics)

    def update_scope(self):
        """Begin or end the exchange, after the configuration may have changed."""
        table = self._routing.table
        if self._has_section if table is None else table.accounts is not None:
            self._in_scope.set()
        else:
            self._in_scope.clear()

    def age_ms(self):
        """Return the time since the rows were surely the newest, or None if never."""
        ages_ms = [self._rows.rows_age_ms()]
        if self._complete_ms is not None:
            ages_ms.append(self._clock.now_ms() - self._complete_ms)
        return min((age_ms for age_ms in ages_ms if age_ms is not None), default=None)

    def trusts_keys(self):
        """Return whether the configuration is recent enough to trust its API keys."""
        # Without a bound, requests don't cost a reading of the clock.
        return self._max_age_ms is None or may_trust(self.age_ms(), self._max_age_ms)

    def check_current(self):
        """Raise if the configuration is too old for its keys to be trusted.

        :raises ServiceError: ``CONFIG_LAPSED``.
        """
        if self.trusts_keys():
            return
        self._metrics.outdated_refusals.inc()
        text = "This host may not know which API keys have been withdrawn."
        raise ServiceError(ErrorKind.CONFIG_LAPSED, text, REFUSED_RETRY_MS)

    async def wait_after_freeze(self):
        """Wait until the rows are recent, for a short time after a freeze at most.

        Requests that arrived during the freeze would else be checked by keys that may
        have been withdrawn long ago.
        """
        if not self._in_scope.is_set():
            return
        self._detect_freeze()
        while self._is_resuming():
            await self._clock.sleep_ms(RESUME_POLL_MS)

    def accepts_callers(self):
        """Return whether new callers may be sent to this host."""
        if self._rows.age_ms() is None:
            # Other tables, such as the list of servers, have not been read either.
            return False
        table = self._routing.table
        return table is None or table.accounts is None or self.trusts_keys()

    def reply(self, request):
        """Reply to another host.

        :param request: the :class:`RowsRequest`.
        :return: the :class:`RowsReply`.
        """
        if request.introduction is not None and self._hosts.age_ms() is None:
            self._hosts.learn([request.introduction])
        known = request.version_by_key
        newer = tuple(
            row
            for row in self._rows.row_by_key.values()
            if row.key not in known or known[row.key] < row.version
        )
        return RowsReply(newer, self.age_ms(), self._rows.age_ms())

    async def run(self):
        """Ask other hosts while the feed is silent, and introduce this host to them."""
        while True:
            await self._in_scope.wait()
            started_ms = self._clock.now_ms()
            self._detect_freeze()
            if is_silent(self._feed_age_ms(), self._rows.rows_age_ms()):
                await asyncio.gather(
                    self._ask_round(started_ms), self._introduce(started_ms)
                )
                next_ms = started_ms + ASK_INTERVAL_MS
            else:
                self._record_recovery(started_ms)
                await self._introduce(started_ms)
                next_ms = self._clock.now_ms() + SILENT_MS - self._feed_age_ms()
            self._detect_freeze()
            wait_ms = next_ms - self._clock.now_ms()
            await self._clock.sleep_ms(max(wait_ms, MIN_CHECK_INTERVAL_MS))

    def _feed_age_ms(self):
        """Return the time since the feed's last answer, or since the start."""
        age_ms = self._rows.age_ms()
        return self._clock.now_ms() - self._started_ms if age_ms is None else age_ms

    def _detect_freeze(self):
        now_ms = self._clock.now_ms()
        if now_ms - self._last_run_ms >= FROZEN_MS:
            self._resumed_ms = now_ms
        self._last_run_ms = now_ms

    def _is_resuming(self):
        if self._resumed_ms is None:
            return False
        if self._clock.now_ms() - self._resumed_ms >= RESUME_WAIT_MS:
            self._resumed_ms = None
            return False
        age_ms = self.age_ms()
        return age_ms is None or age_ms >= FROZEN_MS

    async def _ask_round(self, now_ms):
        zones = self._calls.zone_by_host()
        self._reply_by_host = {
            host: reply
            for host, reply in self._reply_by_host.items()
            if now_ms - reply.at_ms < REPLY_VALID_MS
        }
        self._asked_ms = now_ms
        previous, self._asked, replied = self._asked, [], 0
        for _ in range(1 + MAX_REPLACEMENTS):
            chosen = choose_peers(
                zones,
                self._host_id,
                self._reply_by_host,
                [*previous, *self._asked],
                now_ms,
                count=MAX_ASKED - replied,
            )
            chosen = [host for host in chosen if host not in self._asked]
            if not chosen:
                return
            self._record_round(now_ms)
            self._asked += chosen
            replied += sum(await asyncio.gather(*map(self._ask, chosen)))
            if replied >= MAX_ASKED:
                return

    def _record_round(self, now_ms):
        if self._asking_since_ms is None:
            self._asking_since_ms = now_ms
            self._learned_count = 0
            log.info(
                "The configuration is learned from other hosts: the store has not "
                "answered for %d ms.",
                self._feed_age_ms(),
            )

    async def _ask(self, host):
        """Ask a host for newer rows; return whether it replied."""
        sent_ms = self._clock.now_ms()
        reply = await self._call(host)
        if reply is None:
            self._reply_by_host[host] = PeerReply(sent_ms, False, False)
            return False
        feed_age_ms = reply.feed_age_ms
        is_current = feed_age_ms is not None and feed_age_ms < SILENT_MS
        self._reply_by_host[host] = PeerReply(sent_ms, True, is_current)
        count = self._rows.learn(reply.rows)
        self._learned_count += count
        self._metrics.learned_rows.inc(count)
        if reply.age_ms is not None:
            complete_ms = sent_ms - reply.age_ms
            self._complete_ms = max(self._complete_ms or complete_ms, complete_ms)
        return True

    async def _introduce(self, now_ms):
        """Tell another host this one's address, in turns, every few seconds.

        A host that starts without the store knows no host that it could ask. Nor is
        the store silent to this host alone then, perhaps, so that introductions don't
        depend on the feed.
        """
        own_row = self._hosts.row_by_key.get(self._host_id)
        if now_ms - self._introduced_ms < INTRODUCE_INTERVAL_MS or own_row is None:
            return
        self._introduced_ms = now_ms
        self._turn += 1
        hosts = self._calls.zone_by_host()
        successor = choose_successor(hosts, self._host_id, self._turn)
        if successor is not None:
            await self._call(successor, own_row)

    async def _call(self, host, introduction=None):
        versions = {row.key: row.version for row in self._rows.row_by_key.values()}
        request = RowsRequest(versions, introduction)
        return await self._calls.call(
            host, PATH, request, _reply_decoder, ASK_TIMEOUT_MS
        )

    def _record_recovery(self, now_ms):
        if self._asking_since_ms is None:
            return
        if now_ms - self._asked_ms < RECOVERED_AFTER_MS:
            return
        log.info(
            "The configuration comes from the store again after %d ms; %d rows were "
            "learned from other hosts.",
            self._asked_ms - self._asking_since_ms,
            self._learned_count,
        )
        self._asking_since_ms = None

    def _age_for_metrics(self):
        age_ms = self.age_ms()
        return -1 if age_ms is None else age_ms
