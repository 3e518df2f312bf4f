"""Usage reports of real daemons: each window once, whichever host holds the duty."""

import time
import unittest

from test._common import eventually
from test._front import FrontFleet
from test.standins.users_api import UsersApi

NAMES = ("front-a", "front-b", "front-c")
WINDOW_S = 2
# A takeover of the lease, the turn, and the windows that come due meanwhile.
TAKEOVER_S = 30


class UsageDaemonsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.api = UsersApi()
        await self.api.start()
        self.addAsyncCleanup(self.api.close)
        self.fleet = FrontFleet()
        self.addAsyncCleanup(self.fleet.close)
        self.fleet.sections = {
            "api": {
                "endpoint": f"127.0.0.1:{self.api.port}",
                "calls_per_s": 50,
                "duties": ["usage_report"],
            },
            "usage": {"window_s": WINDOW_S, "due_s": 2 * WINDOW_S},
        }
        self.started_s = time.time()
        await self.fleet.start(NAMES)

    async def reports(self, count):
        """Wait for a number of reports more than there are."""
        count += len(self.api.calls)
        await eventually(lambda: len(self.api.calls) >= count, TAKEOVER_S)

    def holder(self):
        return self.api.calls[-1][1]

    def check_rules(self):
        """Check the rules of the calls, and return the windows in order of arrival."""
        numbers = [fencing for _, _, fencing, _ in self.api.calls]
        self.assertEqual(numbers, sorted(numbers))
        holders = {(fencing, host) for _, host, fencing, _ in self.api.calls}
        self.assertEqual(len(holders), len(set(numbers)))
        counts_by_window = {}
        for window, counts in self.api.usage():
            self.assertEqual(counts_by_window.setdefault(window, counts), counts)
        return [window for window, _ in self.api.usage()]

    async def test_each_window_arrives_once_and_in_time(self):
        await self.reports(5)
        windows = self.check_rules()
        self.assertEqual(windows, list(range(windows[0], windows[0] + len(windows))))
        self.assertGreaterEqual(windows[0], self.started_s // WINDOW_S)
        due_s = (windows[-1] + 1) * WINDOW_S + 2 * WINDOW_S
        self.assertLess(time.time(), due_s + 1)
        values = await self.fleet.metrics(self.holder())
        self.assertEqual(values['usage_windows_total{outcome="in_time"}'], len(windows))

    async def test_the_holder_is_killed_before_it_reads_a_response(self):
        await self.reports(2)
        self.api.lost_answers = 1
        await eventually(lambda: not self.api.lost_answers, TAKEOVER_S)
        old = self.holder()
        self.fleet.fronts[old].kill()
        count = len(self.api.calls)
        await eventually(
            lambda: len(self.api.calls) >= count + 4 and self.holder() != old,
            TAKEOVER_S,
        )
        windows = self.check_rules()
        # The last report is repeated, and no window is left out.
        self.assertEqual(windows.count(windows[count - 1]), 2)
        distinct = sorted(set(windows))
        self.assertEqual(distinct, list(range(distinct[0], distinct[-1] + 1)))

    async def test_hosts_that_leave_in_turn(self):
        await self.reports(2)
        for _ in range(2):
            old = self.holder()
            self.fleet.fronts[old].terminate()
            await self.fleet.fronts[old].wait()
            self.fleet.start_front(old)
            await eventually(lambda old=old: self.holder() != old, TAKEOVER_S)
        await self.reports(3)
        windows = sorted(set(self.check_rules()))
        self.assertEqual(windows, list(range(windows[0], windows[-1] + 1)))


if __name__ == "__main__":
    unittest.main()
