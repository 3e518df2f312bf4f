"""The available upstreams, as the platform lists them."""

import logging

import msgspec

from goldcrestmoor.errors import ErrorKind, ServiceError

log = logging.getLogger("goldcrestmoor.directory")

# Entries that expired while the store was unavailable are listed again within two
# seconds of its recovery if the upstream is alive.
RELIST_GRACE_MS = 2000
# Leaving servers outlive their entry by seconds; bounds the memory for them.
MAX_LEAVING = 1024


class ListedUpstream(msgspec.Struct, frozen=True):
    """One entry of the upstream list.

    :param name: the upstream's id.
    :param service: the service that it belongs to.
    :param address: its IP address.
    :param port: its TCP port.
    :param zone: its availability zone.
    :param slots: how many requests it runs at a time.
    :param is_draining: whether it accepts no new work.
    :param cold_ms: how much longer its cold start lasts, in milliseconds.
    :param version_by_model: the weight version of each model that it has loaded.
    :param started_ms: when this incarnation started; 0 if not reported.
    :param software_version: the version of its software; what two versions write does
        not fit together.
    :param is_reclaimable: whether the platform may reclaim it, with others of its zone.
    """

    name: str
    service: str
    address: str
    port: int
    zone: str
    slots: int
    is_draining: bool = False
    cold_ms: int = 0
    version_by_model: dict[str, int] = {}
    started_ms: int = 0
    software_version: str = ""
    is_reclaimable: bool = False


class UpstreamDirectory:
    """The listed upstreams, by name and by service.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param decode: decodes a row's key and value into a :class:`ListedUpstream`;
        raises :class:`ValueError` if the row describes no upstream.
    :param metrics: the :class:`~goldcrestmoor.process.metrics.Metrics`.
    :param age_ms: returns the time since the store last answered the list's change
        feed, or None before its first answer.
    :param on_change: called after entries have changed.
    """

    __slots__ = (
        "upstream_by_name",
        "_clock",
        "_decode",
        "_metrics",
        "_age_ms",
        "_on_change",
        "_recovered_ms",
        "_expiry_ms_by_name",
        "_leaving_start_by_name",
    )

    def __init__(self, *, clock, decode, metrics, age_ms, on_change=None):
        self.upstream_by_name = {}
        self._clock = clock
        self._decode = decode
        self._metrics = metrics
        self._age_ms = age_ms
        self._on_change = on_change or (lambda: None)
        self._recovered_ms = None
        self._expiry_ms_by_name = {}
        self._leaving_start_by_name = {}

    def usable(self, service):
        """Return a service's upstreams that accept new work, sorted by name.

        :param service: the service's name.
        """
        self._drop_expired()
        return sorted(
            (
                upstream
                for upstream in self.upstream_by_name.values()
                if upstream.service == service and self._accepts_work(upstream)
            ),
            key=lambda upstream: upstream.name,
        )

    def is_usable(self, upstream):
        """Return whether an upstream still accepts new work and has not restarted.

        :param upstream: the :class:`ListedUpstream` as it was when it was chosen.
        """
        self._drop_expired()
        known = self.upstream_by_name.get(upstream.name)
        return (
            known is not None
            and self._accepts_work(known)
            and known.started_ms == upstream.started_ms
        )

    def check_usable(self, upstream):
        """Raise if an upstream accepts no new work, or has restarted.

        :param upstream: the :class:`ListedUpstream` as it was when it was chosen.
        :raises ServiceError: ``DRAINING``; the request has not been sent.
        """
        if not self.is_usable(upstream):
            text = f"{upstream.name} left while the request was about to be sent."
            raise ServiceError(ErrorKind.DRAINING, text)

    def record_leaving(self, name, recipient):
        """Record that an upstream responded that it is leaving.

        The list may still show it as ready, and may show it again after an outage. It
        stays excluded under this name until it has restarted.

        :param name: the upstream's name.
        :param recipient: the :class:`ListedUpstream` that the request was meant for,
            whose address the responder has.
        """
        if name != recipient.name:
            recipient = self.upstream_by_name.get(name)
        if recipient is None or not self._accepts_work(recipient):
            return
        self._leaving_start_by_name[name] = recipient.started_ms
        log.info(
            "%s of %s responded that it is leaving; it gets no more requests.",
            name,
            recipient.service,
        )
        if len(self._leaving_start_by_name) > MAX_LEAVING:
            self._drop_oldest_leaving()
        self._on_change()

    def _accepts_work(self, upstream):
        leaving_start_ms = self._leaving_start_by_name.get(upstream.name, -1)
        return not upstream.is_draining and upstream.started_ms > leaving_start_ms

    def _drop_oldest_leaving(self):
        """Forget the longest known leaving upstream, of those not listed if any."""
        names = self._leaving_start_by_name
        unlisted = (name for name in names if name not in self.upstream_by_name)
        del names[next(unlisted, next(iter(names)))]

    def on_feed_recovered(self):
        """Record that the store is available again after an outage."""
        self._recovered_ms = self._clock.now_ms()
        # Upstreams could not renew their entries while the store was unavailable.
        for name in self._expiry_ms_by_name:
            self._expiry_ms_by_name[name] = self._recovered_ms + RELIST_GRACE_MS

    def apply(self, changes):
        """Apply changes from the list's feed.

        :param changes: a list of :class:`~goldcrestmoor.adapters.table.Change`.
        """
        for change in changes:
            if change.value is None:
                self._remove(change.key)
            else:
                self._put(change.key, change.value)
        self._on_change()

    def _put(self, name, value):
        try:
            upstream = self._decode(name, value)
        except (ValueError, TypeError) as e:
            self._metrics.bad_input.labels("directory").inc()
            if name in self.upstream_by_name:
                log.warning("Entry %s no longer describes an upstream: %s.", name, e)
                self._forget(name)
            return
        known = self.upstream_by_name.get(name)
        self._expiry_ms_by_name.pop(name, None)
        self.upstream_by_name[name] = upstream
        if known is None:
            log.info(
                "%s of %s is listed, software version %s.",
                name,
                upstream.service,
                upstream.software_version or "unknown",
            )
        elif known.is_draining != upstream.is_draining:
            state = "draining" if upstream.is_draining else "no longer draining"
            log.info("%s of %s is %s.", name, upstream.service, state)
        elif known.started_ms != upstream.started_ms:
            log.info("%s of %s has restarted.", name, upstream.service)

    def _remove(self, name):
        upstream = self.upstream_by_name.get(name)
        if upstream is None:
            return
        now_ms = self._clock.now_ms()
        since_ms = None if self._recovered_ms is None else now_ms - self._recovered_ms
        if (
            since_ms is not None
            and since_ms < RELIST_GRACE_MS
            and not upstream.is_draining
        ):
            # The entry may have expired only because the store was unreachable.
            self._expiry_ms_by_name[name] = self._recovered_ms + RELIST_GRACE_MS
            log.info("%s expired while the store was unavailable.", name)
            return
        log.info("%s of %s is no longer listed.", name, upstream.service)
        self._forget(name)

    def _drop_expired(self):
        if not self._expiry_ms_by_name:
            return
        age_ms = self._age_ms()
        if age_ms is None:
            return
        # If the store has not answered since, it may be unavailable again, and renewed
        # entries may not have been read.
        answered_ms = self._clock.now_ms() - age_ms
        for name, until_ms in list(self._expiry_ms_by_name.items()):
            if answered_ms >= until_ms:
                log.info("%s was not listed again after the store recovered.", name)
                self._forget(name)

    def _forget(self, name):
        self._expiry_ms_by_name.pop(name, None)
        self.upstream_by_name.pop(name, None)
