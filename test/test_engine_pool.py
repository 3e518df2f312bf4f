"""A host's records of its engines, over a long time."""

import unittest
from types import SimpleNamespace

from goldcrestmoor.job.engine_pool import EnginePool
from test._fleet import ManualClock
from test._request_fakes import upstream_limits


def upstream(name, started_ms):
    return SimpleNamespace(
        name=name, started_ms=started_ms, slots=12, version_by_model={"m": 1}
    )


class EnginePoolTest(unittest.TestCase):
    def setUp(self):
        self.directory = SimpleNamespace(upstream_by_name={})
        self.pool = EnginePool(
            clock=ManualClock(),
            directory=self.directory,
            limits=upstream_limits(ManualClock()),
        )

    def test_engines_that_are_gone_are_forgotten(self):
        """Engines are replaced a few dozen times a day, under new names."""
        long_running = upstream("engine-0", 1)
        self.directory.upstream_by_name = {"engine-0": long_running}
        self.pool.begin(long_running)
        for day in range(100):
            new = upstream(f"new-{day}", day)
            self.directory.upstream_by_name = {new.name: new}
            self.pool.begin(new)
            self.pool.end(new)
        known = {name for name, _ in self.pool._state_by_key}
        # The stream that is still running is counted until its end.
        self.assertEqual(known, {"engine-0", "new-99"})
        self.pool.end(long_running)
        self.assertEqual(self.pool._state(long_running).in_flight, 0)
