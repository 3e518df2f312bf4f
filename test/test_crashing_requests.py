"""Requests under which servers end, sent again and again by their callers.

A host that knows only of its own attempts sends such a request on to each server that
has just started, and every other caller of the service finds none.
"""

import asyncio
import time
import unittest

from test import _common
from test._front import FETCH_PATH, FrontFleet
from test.standins.users_server import UsersServer

CRASHING = b"crash"
REPEATED = b"the same for all callers"


class FleetTest(unittest.IsolatedAsyncioTestCase):
    """Daemons before servers that start again after each crash."""

    # From the users' rule: so long after the third server ended, the request may reach
    # servers in so many more retries.
    SETTLE_S = 3.0
    MOST_RETRIES = 3
    HOSTS = ("front-a", "front-b", "front-c")
    RESTART_S = 1.0
    INTERVAL_S = 0.15

    async def asyncSetUp(self):
        self.fleet = FrontFleet()
        self.addAsyncCleanup(self.fleet.close)
        self.fleet.apps = [UsersServer(f"app-{n}", "app") for n in range(3)]
        self.all_apps = list(self.fleet.apps)
        self.keeps_ids = False
        for app in self.fleet.apps:
            app.crash_bodies = {CRASHING}
        await self.fleet.start(names=self.HOSTS)
        for name in self.HOSTS:
            await _common.eventually(lambda name=name: self.is_answered(name))
        restarts = asyncio.create_task(self.restart_crashed())
        self.addCleanup(restarts.cancel)

    async def is_answered(self, name):
        answer = await self.ask(name, b"probe", f"probe-{name}")
        return answer.status == 200

    async def ask(self, name, body, request_id):
        return await self.fleet.ask(name, "POST", FETCH_PATH, body, request_id)

    async def restart_crashed(self):
        """Start each crashed server again at its address, usually under a new id."""
        while True:
            for app in list(self.fleet.apps):
                if app.crashed_s is None or time.monotonic() < (
                    app.crashed_s + self.RESTART_S
                ):
                    continue
                name = app.name if self.keeps_ids else f"app-{len(self.all_apps)}"
                started = UsersServer(name, "app")
                started.crash_bodies = app.crash_bodies
                await started.start(app.port)
                self.all_apps.append(started)
                self.fleet.apps[self.fleet.apps.index(app)] = started
                if not self.keeps_ids:
                    self.fleet.store.remove("servers", app.name)
            await asyncio.sleep(0.02)

    def runs_of(self, body):
        """Return when servers got a request, by its body."""
        return sorted(
            seen_s
            for app in self.all_apps
            for seen_s, (_, _, seen) in zip(app.seen_s, app.seen, strict=True)
            if seen == body
        )

    async def press(self, duration_s):
        """Send the crashing request and others in turn; return all answers by body."""

        async def ask(name, body, number):
            started_s = time.monotonic()
            answer = await self.ask(name, body, f"{name}-{number}")
            return body, answer, started_s, time.monotonic() - started_s

        tasks = []
        for number in range(int(duration_s / self.INTERVAL_S)):
            name = self.HOSTS[number % len(self.HOSTS)]
            bodies = (b"other-%d" % number, REPEATED)
            bodies += (CRASHING,) if number % 2 else ()
            for n, body in enumerate(bodies):
                tasks.append(asyncio.create_task(ask(name, body, f"{number}-{n}")))
            await asyncio.sleep(self.INTERVAL_S)
        return await asyncio.gather(*tasks)

    def check_retries(self):
        """Check the users' bound; return from when on it holds."""
        crashed_s = sorted(app.crashed_s for app in self.all_apps if app.crashed_s)
        self.assertGreaterEqual(len(crashed_s), 3)
        since_s = crashed_s[2] + self.SETTLE_S
        late = [seen_s for seen_s in self.runs_of(CRASHING) if seen_s > since_s]
        self.assertLessEqual(len(late), self.MOST_RETRIES, f"{len(crashed_s)} crashes")
        return since_s

    async def test_a_request_that_crashes_servers_is_sent_no_more(self):
        answers = await self.press(10)
        since_s = self.check_retries()
        for body, answer, started_s, took_s in answers:
            if started_s < since_s + self.RESTART_S:
                continue
            if body == CRASHING:
                self.assertEqual(answer.status, 503)
                self.assertIn(b"retry-after", dict(answer.headers))
                self.assertLess(took_s, 0.5)
            else:
                self.assertEqual((answer.status, body), (200, body))

    async def test_hosts_that_start_later_know_of_it(self):
        await self.press(5)
        for name in self.HOSTS:
            self.fleet.fronts[name].kill()
            await self.fleet.fronts[name].wait()
        for name in self.HOSTS:
            self.fleet.start_front(name)
            await self.fleet.wait_ready(name)
        await self.press(6)
        self.check_retries()

    async def test_hosts_tell_each_other_without_the_store(self):
        self.keeps_ids = True
        self.fleet.store.turned_away = set(self.HOSTS)
        await self.press(10)
        self.check_retries()


if __name__ == "__main__":
    unittest.main()
