"""The read lease: the configuration in effect on this host, and its expiry."""

import collections
import logging
import random

import msgspec

from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.util import Backoff
from goldcrestmoor.version.configuration import document as documents
from goldcrestmoor.version.configuration.cut_off import expired_lease_configuration
from goldcrestmoor.version.configuration.document import (
    Configuration,
    ConfigurationView,
)
from goldcrestmoor.version.configuration.messages import (
    ConfigurationOffer,
    CutOffPrepared,
    FetchConfiguration,
    GivenHost,
    PrepareCutOff,
)
from goldcrestmoor.version.configuration.store import ConfigurationStore

log = logging.getLogger("goldcrestmoor.configuration")

POLL_JITTER = 0.2
PEER_TIMEOUT_MS = 500
MAX_PEERS_QUERIED = 3
MAX_PROPOSALS = 64
MAX_RECIPIENTS = 1024
RECIPIENT_LIFETIME_MS = 600_000
NO_VERSION = -1


class ConfigurationLease:
    """Hold the newest configuration and the time until which it is valid.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param table: the table service's client.
    :param objects: the object store's client.
    :param settings: the configuration section of the settings.
    :param links: the peer links, for calls to and from peers; none by default.
    :param peers: returns the ids of the hosts to query at start, nearest first.
    :param host_id: this host's id.
    :param incarnation: returns this host's incarnation, which grows while it runs.
    """

    __slots__ = (
        "_clock",
        "_store",
        "_settings",
        "_links",
        "_peers",
        "_host_id",
        "_incarnation",
        "_configuration",
        "_expired_lease_configuration",
        "_version",
        "_lease_end_ms",
        "_read_sent_ms",
        "_proposals_by_token",
        "_recipient_by_host",
        "_callbacks",
    )

    def __init__(
        self,
        *,
        clock,
        table,
        objects,
        settings,
        links=None,
        peers=None,
        host_id="",
        incarnation=lambda: 0,
    ):
        self._clock = clock
        self._store = ConfigurationStore(clock=clock, table=table, objects=objects)
        self._settings = settings
        self._links = links
        self._peers = peers
        self._host_id = host_id
        self._incarnation = incarnation
        self._configuration = Configuration()
        self._expired_lease_configuration = self._configuration
        self._version = NO_VERSION
        self._lease_end_ms = clock.now_ms()
        self._read_sent_ms = clock.now_ms()
        self._proposals_by_token = {}
        self._recipient_by_host = collections.OrderedDict()
        self._callbacks = []
        if links is not None:
            links.register(FetchConfiguration, self._on_fetch)
            links.register(PrepareCutOff, self._on_prepare)

    @property
    def version(self):
        """The version of the adopted configuration; 0 when there is none."""
        return self._configuration.version

    @property
    def configuration(self):
        """The newest adopted configuration, whether or not its lease has expired."""
        return self._configuration

    def ready(self):
        """Return whether this host has adopted any configuration."""
        return self._version != NO_VERSION

    def view(self):
        """Return the configuration that currently applies on this host.

        The lease is checked at each call, as the process may have been paused
        since the last call.

        :return: a
            :class:`~goldcrestmoor.version.configuration.document.ConfigurationView`.
        """
        if self._clock.now_ms() < self._lease_end_ms:
            return ConfigurationView(self._configuration, lease_expired=False)
        return ConfigurationView(self._expired_lease_configuration, lease_expired=True)

    def lease_age_ms(self):
        """Return the time since the last successful read was sent, in milliseconds."""
        return self._clock.now_ms() - self._read_sent_ms

    def add_callback(self, callback):
        """Register a function that is called with each adopted configuration.

        :param callback: takes the configuration; must not block.
        """
        self._callbacks.append(callback)

    async def run(self):
        """Poll the head until cancelled."""
        backoff = Backoff(self._settings.poll_ms, self._settings.lease_ms)
        while True:
            if await self.poll():
                backoff.reset()
                jitter = random.uniform(1 - POLL_JITTER, 1 + POLL_JITTER)
                await self._clock.sleep_ms(self._settings.poll_ms * jitter)
                continue
            if not self.ready():
                await self.fetch_from_peers()
            await self._clock.sleep_ms(backoff.next_ms())

    async def poll(self):
        """Read the head once, adopt a newer version and renew the lease.

        :return: whether the read succeeded.
        """
        sent_ms = self._clock.now_ms()
        try:
            if not await self._read():
                return False
        except (ServiceError, msgspec.MsgspecError) as e:
            log.warning("The configuration's head could not be read: %s", e)
            return False
        # The lease counts from before the document's fetch: the head may have changed
        # at any time after its read was sent.
        self._renew(sent_ms + self._settings.lease_ms)
        self._read_sent_ms = max(self._read_sent_ms, sent_ms)
        return True

    async def fetch_from_peers(self):
        """Fetch the configuration from peers, with the rest of their leases."""
        if self._links is None or self._peers is None:
            return
        others = [host_id for host_id in self._peers() if host_id != self._host_id]
        for host_id in others[:MAX_PEERS_QUERIED]:
            sent_ms = self._clock.now_ms()
            try:
                offer = await self._links.call(
                    host_id, FetchConfiguration(self._incarnation()), PEER_TIMEOUT_MS
                )
                self._apply_offer(offer, sent_ms)
            except (ServiceError, msgspec.MsgspecError) as e:
                log.info("Configuration was not fetched from peer %s: %s", host_id, e)

    def prepare(self, proposal):
        """Apply the stricter of the current and the proposed cut-off terms from now on.

        :param proposal: a ``Proposal``.
        :return: the :class:`CutOffPrepared` acknowledgement.
        :raises ServiceError: ``CONFIG_CONFLICT`` when this host has a newer version,
            ``OVERLOADED`` when too many proposals are pending.
        """
        if proposal.base < self._version:
            raise ServiceError(
                ErrorKind.CONFIG_CONFLICT,
                f"This host already has version {self._version}.",
            )
        is_known = proposal.token in self._proposals_by_token
        if not is_known and len(self._proposals_by_token) >= MAX_PROPOSALS:
            raise ServiceError(ErrorKind.OVERLOADED, "Too many proposals are pending.")
        self._add_proposals([proposal])
        self._drop_old_recipients()
        recipients = tuple(
            recipient for recipient, _ in self._recipient_by_host.values()
        )
        return CutOffPrepared(self._host_id, self._incarnation(), recipients)

    def offer(self, host_id, incarnation):
        """Return this host's configuration for a peer, and record the peer.

        :param host_id: the peer.
        :param incarnation: the peer's incarnation.
        :raises ServiceError: ``CONFIG_LAPSED`` when this host has no configuration,
            ``OVERLOADED`` when too many peers were served recently.
        """
        if not self.ready():
            raise ServiceError(
                ErrorKind.CONFIG_LAPSED, "This host has no configuration yet."
            )
        self._record_recipient(GivenHost(host_id, incarnation))
        left_ms = max(0, self._lease_end_ms - self._clock.now_ms())
        return ConfigurationOffer(
            documents.encode(self._configuration),
            self._configuration.version,
            left_ms,
            tuple(self._proposals_by_token.values()),
        )

    async def _on_fetch(self, sender_id, message):
        return self.offer(sender_id, message.incarnation)

    async def _on_prepare(self, sender_id, message):
        return self.prepare(message.proposal)

    async def _read(self):
        # The proposal is read before the head: once the head that results from a
        # proposal is written, a later proposal may have replaced it.
        proposal = None if self.ready() else await self._store.read_proposal()
        head = await self._store.read_head()
        if head.version > self._version:
            fetched = await self._store.fetch(head)
            # A newer version may have been adopted during the fetch.
            if head.version > self._version:
                self._adopt(msgspec.structs.replace(fetched, version=head.version))
                self._add_proposals([proposal] if proposal else [])
        if head.version < self._version:
            log.error(
                "Platform version %d is older than adopted version %d; ignored.",
                head.version,
                self._version,
            )
        return head.version == self._version

    def _apply_offer(self, offer, sent_ms):
        if offer.version < self._version:
            return
        if offer.version > self._version:
            self._adopt(documents.decode(offer.document))
        self._add_proposals(offer.proposals)
        # The remaining lease counts from when the call was sent, so that it never
        # ends after the peer's own lease, however long the reply took.
        self._renew(sent_ms + offer.lease_left_ms)

    def _adopt(self, configuration):
        self._configuration = configuration
        self._version = configuration.version
        # A proposal based on an older version can no longer take effect.
        self._proposals_by_token = {
            token: proposal
            for token, proposal in self._proposals_by_token.items()
            if proposal.base >= self._version
        }
        self._update_expired_lease_configuration()
        log.info("Configuration version %d adopted.", self._version)
        for callback in self._callbacks:
            callback(configuration)

    def _add_proposals(self, proposals):
        for proposal in proposals:
            if proposal.base >= self._version:
                self._proposals_by_token[proposal.token] = proposal
        # A later proposal with the same base prevents earlier ones from being written.
        newest = {}
        for proposal in self._proposals_by_token.values():
            number = newest.get(proposal.base, 0)
            newest[proposal.base] = max(number, proposal.number)
        self._proposals_by_token = {
            token: proposal
            for token, proposal in self._proposals_by_token.items()
            if proposal.number >= newest[proposal.base]
        }
        self._update_expired_lease_configuration()

    def _update_expired_lease_configuration(self):
        self._expired_lease_configuration = expired_lease_configuration(
            self._configuration, self._proposals_by_token.values()
        )

    def _renew(self, end_ms):
        self._lease_end_ms = max(self._lease_end_ms, end_ms)

    def _record_recipient(self, recipient):
        self._recipient_by_host.pop(recipient.host_id, None)
        self._drop_old_recipients()
        if len(self._recipient_by_host) >= MAX_RECIPIENTS:
            raise ServiceError(
                ErrorKind.OVERLOADED, "Too many peers were served recently."
            )
        self._recipient_by_host[recipient.host_id] = recipient, self._clock.now_ms()

    def _drop_old_recipients(self):
        oldest_ms = self._clock.now_ms() - RECIPIENT_LIFETIME_MS
        while self._recipient_by_host:
            host_id, (_, at_ms) = next(iter(self._recipient_by_host.items()))
            if at_ms > oldest_ms:
                return
            del self._recipient_by_host[host_id]
