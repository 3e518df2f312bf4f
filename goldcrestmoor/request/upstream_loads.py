"""Requests in flight and recent failures of each upstream, as seen by this host."""

import contextlib

import xxhash

from goldcrestmoor.request.upstream_choice import Candidate, choose_upstream

# An upstream that failed is avoided for this time while there is another, and for twice
# as long after each further failure: a partitioned server stays listed for seconds.
FAILURE_COOLDOWN_MS = 1000
# A dead server has been removed from the list by then.
FAILURE_COOLDOWN_MAX_MS = 8000
# Further consecutive failures do not lengthen the cool-down.
MAX_FAILURE_COUNT = 8


class _Failure:
    """The consecutive failures of an upstream, and the end of its cool-down."""

    __slots__ = ("count", "until_ms")

    def __init__(self):
        self.count = 0
        self.until_ms = 0


class UpstreamLoads:
    """Choose upstreams for requests, and count the requests in flight on each.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param http: the ``HttpClient``, which has the open connections.
    :param directory: the :class:`~goldcrestmoor.process.directory.UpstreamDirectory`.
    :param limits: the
        :class:`~goldcrestmoor.process.upstream_limits.UpstreamLimits`.
    :param zone: this host's availability zone.
    :param host_id: this host, whose order of the upstreams differs from other hosts'.
    :param bodies: the :class:`~goldcrestmoor.request.server_bodies.ServerBodies`; None
        for no bound on what is in flight at an upstream.
    """

    __slots__ = (
        "_clock",
        "_http",
        "_directory",
        "_limits",
        "_zone",
        "_host_id",
        "_bodies",
        "_in_flight_by_name",
        "_failure_by_name",
        "_answering_routes",
    )

    def __init__(self, *, clock, http, directory, limits, zone, host_id, bodies=None):
        self._clock = clock
        self._http = http
        self._directory = directory
        self._limits = limits
        self._zone = zone
        self._host_id = host_id
        self._bodies = bodies
        self._in_flight_by_name = {}
        self._failure_by_name = {}
        self._answering_routes = set()

    def choose(self, service, sent_to, software_version=None, size=0):
        """Return the upstream that a request goes to, or None.

        :param service: the service's name.
        :param sent_to: the names of the upstreams that the request was sent to.
        :param software_version: the only software version that may serve it, if any.
        :param size: the size of the request's body.
        """
        candidates = self.candidates(service, software_version, size)
        name = choose_upstream(candidates, sent_to)
        return None if name is None else self.upstream(name)

    async def admit_one(self, service, sent_to, software_version=None, size=0):
        """Return the upstream that a request goes to and that admits it, or None.

        The parameters are those of :meth:`choose`.
        """
        denied = set()
        while True:
            avoided = {*sent_to, *denied}
            upstream = self.choose(service, avoided, software_version, size)
            if upstream is None:
                return None
            is_admitted = not await self.admit(upstream)
            # Others may have been sent there while this one was being admitted.
            if is_admitted and self.has_room(upstream, size):
                return upstream
            denied.add(upstream.name)

    async def admit(self, upstream):
        """Admit a request to an upstream; see ``UpstreamLimits.admit``.

        :param upstream: the upstream.
        :return: 0 when it is admitted, else the time to wait, in milliseconds.
        """
        return await self._limits.admit(upstream)

    def pause_ms(self, service):
        """Return when a request to a service may next be admitted, in milliseconds.

        :param service: the service's name.
        :return: the shortest pause of its upstreams that limit their requests; None
            when no upstream is paused.
        """
        pauses_ms = map(self._limits.pause_ms, self._directory.usable(service))
        return min(filter(None, pauses_ms), default=None)

    def has_room(self, upstream, size):
        """Return whether a request fits among those in flight at an upstream.

        :param upstream: the upstream.
        :param size: the size of the request's body.
        """
        return self._bodies is None or self._bodies.fits(upstream, size)

    def is_full(self, service, size):
        """Return whether a service has an upstream, but one without room for a request.

        :param service: the service's name.
        :param size: the size of the request's body.
        """
        usable = self._directory.usable(service)
        return any(not self.has_room(upstream, size) for upstream in usable)

    def candidates(self, service, software_version=None, size=0):
        """Return the :class:`Candidate` of each upstream that may get a request.

        :param service: the service's name.
        :param software_version: as for :meth:`choose`.
        :param size: as for :meth:`choose`.
        """
        now_ms = self._clock.now_ms()
        return [
            self._candidate(upstream, now_ms)
            for upstream in self._directory.usable(service)
            if software_version in (None, upstream.software_version)
            and not self._limits.pause_ms(upstream)
            and self.has_room(upstream, size)
        ]

    def upstream(self, name):
        """Return a listed upstream.

        :param name: its name, from :meth:`candidates`.
        """
        return self._directory.upstream_by_name[name]

    def check_usable(self, upstream):
        """Raise if an upstream accepts no new work, right before a request is sent.

        :param upstream: the upstream.
        :raises ServiceError: ``DRAINING``.
        """
        self._directory.check_usable(upstream)

    def record_leaving(self, name, recipient):
        """Record that an upstream responded that it is leaving.

        :param name: the upstream's name.
        :param recipient: the upstream that the request was meant for.
        """
        self._directory.record_leaving(name, recipient)

    def record_limit(self, upstream, per_second):
        """Record the limit on requests that an upstream's own response states.

        :param upstream: the upstream.
        :param per_second: as for ``UpstreamLimits.record``.
        """
        self._limits.record(upstream, per_second)

    def _candidate(self, upstream, now_ms):
        failure = self._failure_by_name.get(upstream.name)
        return Candidate(
            name=upstream.name,
            in_flight=self._in_flight_by_name.get(upstream.name, 0),
            slots=upstream.slots,
            has_connection=self._http.has_idle(upstream.address, upstream.port),
            is_local=upstream.zone == self._zone,
            has_failed=failure is not None and now_ms < failure.until_ms,
            is_limited=self._limits.is_limited(upstream),
            rank=xxhash.xxh64_intdigest(f"{self._host_id}/{upstream.name}".encode()),
        )

    @contextlib.contextmanager
    def track_request(self, upstream, size=0):
        """Count a request as in flight for as long as the block runs.

        :param upstream: the :class:`~goldcrestmoor.process.directory.ListedUpstream`.
        :param size: the size of the request's body.
        """
        self.begin(upstream, size)
        try:
            yield
        finally:
            self.end(upstream, size)

    def begin(self, upstream, size=0):
        """Count a request as in flight, before the task that sends it has started.

        :param upstream: the :class:`~goldcrestmoor.process.directory.ListedUpstream`.
        :param size: the size of the request's body.
        """
        name = upstream.name
        self._in_flight_by_name[name] = self._in_flight_by_name.get(name, 0) + 1
        if self._bodies is not None:
            self._bodies.begin(upstream, size)

    def end(self, upstream, size=0):
        """Count a request as ended.

        :param upstream: the upstream.
        :param size: as for :meth:`begin`.
        """
        if self._bodies is not None:
            self._bodies.end(upstream, size)
        name = upstream.name
        self._in_flight_by_name[name] -= 1
        if not self._in_flight_by_name[name]:
            del self._in_flight_by_name[name]

    def record_response(self, upstream, route):
        """Record that an upstream has responded.

        :param upstream: the upstream.
        :param route: the name of the request's route.
        """
        self._failure_by_name.pop(upstream.name, None)
        self._answering_routes.add(route)

    def record_timeout(self, upstream, route):
        """Record that an attempt on an upstream timed out.

        Some routes allow less time than their requests take. A timeout on such a route
        is no sign of a failed upstream, and must not divert other routes' requests from
        its open connections. So it counts only on a route that has had a response.

        :param upstream: the upstream.
        :param route: the name of the request's route.
        """
        if route in self._answering_routes:
            self.record_failure(upstream)

    def record_failure(self, upstream):
        """Record that an upstream gave no response, or a corrupted one.

        :param upstream: the upstream.
        """
        now_ms = self._clock.now_ms()
        failure = self._failure_by_name.setdefault(upstream.name, _Failure())
        cooldown_ms = min(FAILURE_COOLDOWN_MAX_MS, FAILURE_COOLDOWN_MS << failure.count)
        failure.count = min(failure.count + 1, MAX_FAILURE_COUNT)
        failure.until_ms = now_ms + cooldown_ms
        for name, known in list(self._failure_by_name.items()):
            if now_ms - known.until_ms > FAILURE_COOLDOWN_MAX_MS:
                del self._failure_by_name[name]
