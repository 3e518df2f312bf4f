"""Orders servers from the platform, at the holder of the duty to call its API.

The row ``capacity`` holds what the next holder needs: the number of servers that each
service had in each zone when it was first seen, and the last targets. It is written
before a changed target is ordered, so it is never behind what the platform was told.
"""

import logging

import msgspec

from goldcrestmoor.adapters.platform_api import (
    STATUS_TOO_MANY,
    Accepted,
    Refused,
    Unanswered,
)
from goldcrestmoor.adapters.table import Check, Committed, Write
from goldcrestmoor.clock import MS_PER_SECOND
from goldcrestmoor.errors import ServiceError
from goldcrestmoor.process.capacity_plan import (
    BaselineDetector,
    JobLoad,
    ServicePlan,
    ZoneServers,
    needed_slots,
)
from goldcrestmoor.util import Backoff

log = logging.getLogger("goldcrestmoor.capacity")

TABLE = "capacity"
KEY = "capacity"
# About the pause of the feed of the server list, and short beside a boot time.
INTERVAL_MS = 250
# Servers that lapsed in an outage of the store are listed again within two seconds;
# twice that, as many hosts and servers call the store at once then.
LIST_SETTLE_MS = 4000
# Usage reports share the rate limit, and are due at a time.
CALL_SHARE = 0.2
# After 429, no response or 5xx. The limit is per second.
RETRY_MIN_MS = 1000
RETRY_MAX_MS = 8000
STATUS_SERVER_ERROR = 500
ACCEPTED = "accepted"
# Outcomes after which all orders wait: the API is the cause, not the order.
RETRIED = frozenset({"too_many", "failed", "unanswered"})


class ServiceRecord(msgspec.Struct, frozen=True):
    """What is stored of one service, by availability zone.

    :param first: the number of servers when the zone was first seen.
    :param targets: the last targets.
    """

    first: dict[str, int]
    targets: dict[str, int]


_row_decoder = msgspec.json.Decoder(dict[str, ServiceRecord])


class CapacityOrders:
    """Keeps the plans of all services that have scaling bounds, and sends the orders.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param duty: the :class:`~goldcrestmoor.process.exclusive_duty.ExclusiveDuty`.
    :param api: the client of the platform's API.
    :param store: the store's client.
    :param directory: the
        :class:`~goldcrestmoor.process.directory.UpstreamDirectory`.
    :param is_list_current: returns whether the feed of the list of servers is current.
    :param routes: returns the ``RouteTable`` in effect, or None.
    :param open_states: returns the states of all jobs that have items to list.
    :param calls_per_s: how many calls a second the API accepts from all hosts.
    :param metrics: the :class:`~goldcrestmoor.process.metrics.Metrics`.
    """

    __slots__ = (
        "_clock",
        "_duty",
        "_api",
        "_store",
        "_directory",
        "_is_list_current",
        "_routes",
        "_open_states",
        "_call_pause_ms",
        "_metrics",
        "_backoff",
        "_retry_ms",
        "_current_since_ms",
        "_fencing",
        "_version",
        "_record_by_service",
        "_plan_by_service",
        "_detector_by_service",
    )

    def __init__(
        self,
        *,
        clock,
        duty,
        api,
        store,
        directory,
        is_list_current,
        routes,
        open_states,
        calls_per_s,
        metrics,
    ):
        self._clock = clock
        self._duty = duty
        self._api = api
        self._store = store
        self._directory = directory
        self._is_list_current = is_list_current
        self._routes = routes
        self._open_states = open_states
        self._call_pause_ms = MS_PER_SECOND / (calls_per_s * CALL_SHARE)
        self._metrics = metrics
        self._backoff = Backoff(RETRY_MIN_MS, RETRY_MAX_MS)
        self._retry_ms = 0
        self._current_since_ms = None
        self._forget()

    async def run(self):
        """Order servers while this host holds the duty, until cancelled."""
        while True:
            has_sent = await self._step()
            await self._clock.sleep_ms(self._call_pause_ms if has_sent else INTERVAL_MS)

    async def _step(self):
        """Adapt the plans and send the next order; return whether one was sent.

        Between two orders everything is checked again.
        """
        is_steady = self._is_list_steady()
        bounds_by_service = self._bounds_by_service()
        if not bounds_by_service or not self._duty.is_held():
            if self._fencing is not None:
                self._forget()
            return False
        if not await self._load():
            return False
        if not is_steady:
            self._pause()
            return False
        self._update(bounds_by_service)
        if not await self._save():
            return False
        if self._bounds_by_service() != bounds_by_service:
            # The bounds changed while the row was written.
            return False
        return await self._send_next()

    def _is_list_steady(self):
        """Return whether the list of servers can be relied on."""
        now_ms = self._clock.now_ms()
        if not self._is_list_current():
            self._current_since_ms = None
            return False
        if self._current_since_ms is None:
            self._current_since_ms = now_ms
        return now_ms - self._current_since_ms >= LIST_SETTLE_MS

    def _bounds_by_service(self):
        table = self._routes()
        if table is None:
            return {}
        return {
            service.name: service.scaling
            for service in table.services_by_name.values()
            if service.scaling is not None
        }

    def _forget(self):
        """Forget what was planned under an earlier lease; others may have gone on."""
        self._fencing = None
        self._version = 0
        self._record_by_service = {}
        self._plan_by_service = {}
        self._detector_by_service = {}
        self._metrics.target_servers.clear()
        self._metrics.listed_servers.clear()

    async def _load(self):
        """Read the row after the duty was claimed; return whether it is known."""
        fencing = self._duty.fencing()
        if fencing == self._fencing:
            return True
        try:
            row = await self._store.get(TABLE, KEY)
        except ServiceError as e:
            log.info("The row of the capacity was not read: %s", e)
            return False
        self._forget()
        self._fencing = fencing
        if row is not None:
            self._version = row.version
            self._record_by_service = self._decode(row)
        return True

    def _decode(self, row):
        try:
            return _row_decoder.decode(row.value)
        except msgspec.MsgspecError as e:
            self._metrics.bad_input.labels("capacity").inc()
            log.error("The row of the capacity is malformed, and begun anew: %s.", e)
            return {}

    def _pause(self):
        for plan in self._plan_by_service.values():
            plan.pause()
        for detector in self._detector_by_service.values():
            detector.reset()

    def _update(self, bounds_by_service):
        jobs_by_service = self._jobs_by_service()
        for service in set(self._plan_by_service) - set(bounds_by_service):
            del self._plan_by_service[service]
        for service, bounds in bounds_by_service.items():
            servers_by_zone = self._servers_by_zone(service)
            plan = self._plan(service, bounds, servers_by_zone)
            if plan is not None:
                slots = needed_slots(jobs_by_service.get(service, ()))
                plan.update(self._clock.now_ms(), bounds, servers_by_zone, slots)
                self._show(service, plan, servers_by_zone)

    def _jobs_by_service(self):
        table, store_ms = self._routes(), self._store.now_ms()
        jobs_by_service = {}
        if store_ms is None:
            return jobs_by_service
        for state in self._open_states():
            route = table.match_job(state.host, state.path)
            if route is None:
                continue
            total = sum(share.weight for share in route.shares)
            for share in route.shares:
                part = share.weight / total if total else 1 / len(route.shares)
                load = JobLoad(
                    (state.total - state.listed) * part,
                    int(store_ms - state.submitted_ms),
                    route.job.due_after_ms,
                )
                jobs_by_service.setdefault(share.service, []).append(load)
        return jobs_by_service

    def _servers_by_zone(self, service):
        usable = {upstream.name for upstream in self._directory.usable(service)}
        servers_by_zone = {}
        for upstream in self._directory.upstream_by_name.values():
            if upstream.service != service:
                continue
            is_usable = upstream.name in usable
            is_reclaimed = upstream.is_reclaimable and upstream.is_draining
            known = servers_by_zone.get(upstream.zone, ZoneServers())
            servers_by_zone[upstream.zone] = ZoneServers(
                accepting=known.accepting + is_usable,
                slots=known.slots + upstream.slots * is_usable,
                listed=known.listed + (not is_reclaimed),
                reclaimed=known.reclaimed + is_reclaimed,
            )
        return servers_by_zone

    def _plan(self, service, bounds, servers_by_zone):
        """Return a service's plan, or None until its servers have been seen."""
        now_ms = self._clock.now_ms()
        plan = self._plan_by_service.get(service)
        record = self._record_by_service.get(service)
        if plan is None and record is not None:
            plan = ServicePlan(
                now_ms=now_ms,
                bounds=bounds,
                first_by_zone=record.first,
                target_by_zone=record.targets,
            )
        count_by_zone = {z: s.listed for z, s in servers_by_zone.items() if s.listed}
        detector = self._detector_by_service.setdefault(service, BaselineDetector())
        if detector.observe(now_ms, count_by_zone, bounds.boot_ms):
            if plan is None:
                plan = ServicePlan(
                    now_ms=now_ms, bounds=bounds, first_by_zone={}, target_by_zone={}
                )
            for zone in count_by_zone.keys() - plan.first_by_zone.keys():
                count = count_by_zone[zone]
                log.info(
                    "%s has %d servers in %s in the baseline.", service, count, zone
                )
                plan.add_zone(zone, count, count)
        if plan is not None:
            self._plan_by_service[service] = plan
        return plan

    def _show(self, service, plan, servers_by_zone):
        for zone, target in plan.target_by_zone.items():
            accepting = servers_by_zone.get(zone, ZoneServers()).accepting
            self._metrics.target_servers.labels(service, zone).set(target)
            self._metrics.listed_servers.labels(service, zone).set(accepting)

    async def _save(self):
        """Write the row if it has changed; return whether it is as planned."""
        record_by_service = self._record_by_service | {
            service: ServiceRecord(plan.first_by_zone, plan.target_by_zone)
            for service, plan in self._plan_by_service.items()
        }
        if record_by_service == self._record_by_service:
            return True
        value = msgspec.json.encode(record_by_service, order="sorted")
        try:
            answer = await self._store.transact(
                [Check(TABLE, KEY, self._version)], [Write(TABLE, KEY, value)]
            )
        except ServiceError as e:
            log.info("The row of the capacity was not written: %s", e)
            return False
        if isinstance(answer, Committed):
            self._version = answer.version_by_key[f"{TABLE}/{KEY}"]
        elif answer.row is not None and answer.row.value == value:
            # An earlier try whose response was lost.
            self._version = answer.row.version
        else:
            log.info("The row of the capacity was changed by another host; read again.")
            self._forget()
            return False
        self._record_by_service = record_by_service
        return True

    async def _send_next(self):
        """Send the order that waited longest; return whether one was sent."""
        now_ms = self._clock.now_ms()
        if now_ms < self._retry_ms or not self._is_list_current():
            return False
        due = [
            (plan.attempted_ms(order.zone), service, order)
            for service, plan in self._plan_by_service.items()
            for order in plan.due(now_ms)
        ]
        if not due or not self._duty.may_act():
            return False
        _, service, order = min(due, key=lambda d: (d[0], d[1], d[2].zone))
        plan = self._plan_by_service[service]
        log.info(
            "Ordering %d servers of %s in %s (%s): %s.",
            order.count,
            service,
            order.zone,
            order.reason,
            plan.figures(order.zone),
        )
        outcome = await self._api.order_servers(
            service, order.zone, order.count, self._duty.fencing()
        )
        self._record(service, plan, order, outcome)
        return True

    def _record(self, service, plan, order, outcome):
        now_ms = self._clock.now_ms()
        name, reason = _describe(outcome)
        if name in RETRIED:
            plan.record_failed(order, now_ms)
            self._retry_ms = now_ms + self._backoff.next_ms()
        else:
            self._backoff.reset()
            if name == ACCEPTED:
                plan.record_accepted(order, now_ms)
            else:
                plan.record_refused(order, now_ms)
        self._metrics.server_orders.labels(service, order.zone, name).inc()
        if name != ACCEPTED:
            log.warning(
                "The order of %d servers of %s in %s was not accepted: %s.",
                order.count,
                service,
                order.zone,
                reason.rstrip("."),
            )


def _describe(outcome):
    """Return an outcome's name in the metrics, and the reason in the log."""
    match outcome:
        case Accepted():
            return ACCEPTED, ""
        case Refused() if outcome.is_unavailable:
            return "unavailable", "no server is available there now"
        case Refused(status) if status == STATUS_TOO_MANY:
            return "too_many", "too many calls"
        case Refused(status) if status >= STATUS_SERVER_ERROR:
            return "failed", f"status {status}"
        case Refused(status):
            return "refused", f"status {status}"
        case Unanswered(reason):
            return "unanswered", reason
