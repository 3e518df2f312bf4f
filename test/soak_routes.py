"""The soak's faults while the operator changes the route of open batch jobs.

``python -m test.soak_routes FIRST LAST`` runs a range of seeds like ``test.soak``. An
item may only be listed as terminated if the configuration that the store has at that
moment allows it, whatever the host had heard of it.
"""

import asyncio
import time

import msgspec

from goldcrestmoor.job.job_store import RESULT_TABLE
from test import soak
from test._front import configuration
from test.soak import EVENTS, SLACK_S
from test.standins.users_server import whole_text

# Items take two seconds, and all of them a dozen.
EVENT_MS = 100
# The time of the items when their jobs are submitted, and soon after.
FIRST_S, LONG_S = 6.0, 60.0
ATTEMPTS = 3
FAILING = {"i3", "i11"}


class InForce(msgspec.Struct):
    """The route of the jobs during one version of the configuration.

    :param from_s: when it was written, by the monotonic clock.
    :param keep_s: the time of the items.
    :param attempts: the attempts of an item.
    :param has_route: whether the route exists.
    """

    from_s: float
    keep_s: float = LONG_S
    attempts: int = ATTEMPTS
    has_route: bool = True


class RouteSoak(soak.Soak):
    """One seed with changes of the jobs' route.

    :ivar history: the :class:`InForce` of each version so far.
    """

    def __init__(self, seed):
        super().__init__(seed)
        self.history = [InForce(0.0, FIRST_S)]
        self._submitted_s = None
        # When each result was written, by job and position.
        self._listed_s = {}
        self._may_remove = seed % 3 == 0

    async def _start(self):
        for engine in self.fleet.engines:
            engine.event_ms = EVENT_MS
            engine.failing_ids = FAILING
        self.fleet.configured = {"job": {"keepS": FIRST_S}}
        self._record_results()
        self._submitted_s = time.monotonic()
        await super()._start()

    def _record_results(self):
        """Record when results are written to the store."""
        write = self.fleet.store._write

        def record(table, part, key, value):
            if table == RESULT_TABLE:
                job_id, position, _ = key.split("/")
                self._listed_s[job_id, int(position)] = time.monotonic()
            return write(table, part, key, value)

        self.fleet.store._write = record

    async def _inject(self, end_s):
        await asyncio.gather(super()._inject(end_s), self._change_routes(end_s))

    async def _change_routes(self, end_s):
        self._put()
        while time.monotonic() < end_s:
            await asyncio.sleep(self.random.uniform(0.1, 1.0))
            age_s = time.monotonic() - self._submitted_s
            near_s = age_s + self.random.uniform(0.2, 3.0)
            self._put(
                keep_s=self.random.choice((near_s, near_s, LONG_S)),
                attempts=self.random.choice((1, ATTEMPTS, 6)),
                has_route=not (self._may_remove and self.random.random() < 0.2),
            )
            await asyncio.sleep(self.random.uniform(0.1, 2.5))
            self._put()

    def _put(self, **fields):
        """Write the next version of the configuration."""
        version = InForce(time.monotonic(), **fields)
        self.history.append(version)
        changes = {"keepS": version.keep_s, "attempts": version.attempts}
        document = configuration(3 + len(self.history), job=changes)
        if not version.has_route:
            document["routes"] = [r for r in document["routes"] if r["name"] != "job"]
        self.fleet.store.put("op", "config", document)
        self.faults.append((version.from_s, "operator", "change"))

    def _check_results(self, job_id, results, count):
        for position, result in enumerate(results):
            is_whole = result["text"] == whole_text(result["id"], EVENTS)
            if result["state"] == "completed" and not is_whole:
                self.problems.append(f"{job_id}: {result['id']} isn't whole")
            if result["state"] == "terminated":
                listed_s = self._listed_s[job_id, position]
                if not self._allows_end(result["id"], listed_s):
                    self.problems.append(f"{job_id}: {result['id']} ended too early")
            self.outcomes[result["state"]] += 1
        if len({result["id"] for result in results}) != count:
            self.problems.append(f"{job_id}: items twice")

    def _allows_end(self, item_id, listed_s):
        """Return whether the version in force at a moment allows an item's end."""
        version = max(
            (version for version in self.history if version.from_s <= listed_s),
            key=lambda version: version.from_s,
        )
        failures = 0
        if item_id in FAILING:
            failures = sum(e.runs.count(item_id) for e in self.fleet.engines)
        return (
            not version.has_route
            or self._submitted_s + version.keep_s <= listed_s + SLACK_S
            or failures >= version.attempts
        )


if __name__ == "__main__":
    soak.main(RouteSoak)
