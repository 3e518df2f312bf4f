"""A fleet recovers from outages and restarts without a thundering herd."""

import asyncio
import time

from test import _common
from test.fleet import http_get
from test.proofs._fleet import APP_POOL, DESK_ACCOUNT, OK, FleetCase, account, engines

# The platform's capacity of 2000 reads/s, shared by 350 hosts.
READS_PER_HOST = 2000 / 350
NOT_READY = 503
OUTAGE_S = 8
FETCHES = 100
RETRY_SHARE = 0.1
# One retry per second is allowed even when the budget is used up.
MIN_RETRIES_PER_S = 1


class RecoveryTest(FleetCase):
    async def ready(self, host_id):
        """Return the readiness status that a host reports to the load balancer."""
        url = self.fleet.endpoint_by_id[host_id].url
        return (await http_get(f"{url}/readyz"))[0]

    async def reads(self):
        """Return the number of reads that the platform has served."""
        stats = await self.platform_stats()
        return stats.get("reads", 0) + stats.get("host_reads", 0)

    async def peak_reads(self, task):
        """Return the maximum reads in one second until a task is done."""
        peak, samples = 0, [(time.monotonic(), await self.reads())]
        end = None
        while end is None or time.monotonic() < end:
            if end is None and task.done():
                end = time.monotonic() + 1
            await asyncio.sleep(0.1)
            now, count = time.monotonic(), await self.reads()
            samples.append((now, count))
            while now - samples[0][0] > 1:
                samples.pop(0)
            peak = max(peak, count - samples[0][1])
        return peak

    async def test_all_hosts_restart_while_the_store_is_down(self):
        await self.start(hosts=4, settings={}, accounts=(DESK_ACCOUNT,))
        await self.outage()
        for host_id in self.ids:
            self.fleet.kill(host_id)
        await asyncio.gather(*(self.fleet.start_host(i) for i in self.ids))
        for host_id in self.ids:
            self.assertEqual(await self.ready(host_id), NOT_READY)
            self.assertEqual(await self.fetch(host_id, "desk"), NOT_READY)
        await asyncio.sleep(2)
        attempts = self.platform_link.accepted
        await asyncio.sleep(OUTAGE_S)
        attempts = self.platform_link.accepted - attempts
        # During the outage, hosts send fewer requests than in normal operation.
        self.assertLess(attempts / OUTAGE_S, READS_PER_HOST * len(self.ids))
        await self.outage("")
        back = self.begin(self.all_ready())
        peak = await self.peak_reads(back)
        await back
        self.assertLess(peak, READS_PER_HOST * len(self.ids))
        await self.assert_served("desk")

    async def all_ready(self):
        """Wait until every host is ready."""
        await asyncio.gather(*(self.fleet.wait_ready(i) for i in self.ids))

    async def test_one_host_restarts_and_serves_what_peers_let_it(self):
        await self.start(account("desk", rest="") + account("strict"), hosts=2)
        await self.outage("hang")
        restarted = self.ids[-1]
        self.fleet.kill(restarted)
        await self.fleet.start_host(restarted)
        await self.fleet.wait_ready(restarted)
        await self.assert_served("desk", [restarted])

        async def is_lease_expired():
            return await self.fetch(restarted, "strict") == NOT_READY

        await _common.eventually(is_lease_expired)
        await self.assert_never_served("strict", [restarted])
        await self.outage("")
        await self.assert_served("strict")

    async def test_the_platform_is_down_for_long(self):
        await self.start(
            account("desk", rest="")
            + account("coach", "trainer", "lm-pool", "ZONE zone-a"),
            hosts=2,
            pools=(APP_POOL, engines()),
        )
        await self.outage()
        end = time.monotonic() + OUTAGE_S
        while time.monotonic() < end:
            for host_id in self.ids:
                self.assertEqual(await self.fetch(host_id, "desk"), OK)
            status, _ = await self.post(
                self.ids[0],
                "coach",
                "/v1/completions",
                model="lm-pool",
                prompt="x",
                max_tokens=2,
            )
            self.assertEqual(status, OK)
        answer = await self.change("ALTER ACCOUNT desk SHARE 2")
        self.assertIn("refused", answer.text)
        await self.outage("")

        async def accepted():
            return not (await self.change("ALTER ACCOUNT desk SHARE 2")).code

        await _common.eventually(accepted)

    async def test_retries_add_a_tenth_at_most(self):
        await self.start(account("desk"))
        for upstream in self.fleet.upstreams:
            await self.fleet.control(upstream, "mode", mode="close_before_run")
        started = time.monotonic()
        answered = [
            await self.fetch(self.ids[i % len(self.ids)], "desk") == OK
            for i in range(FETCHES)
        ]
        seconds = time.monotonic() - started
        self.assertFalse(any(answered))
        received = 0
        for upstream in self.fleet.upstreams:
            counts = await self.fleet.get_json(upstream, "/control/counts")
            received += counts["received"]
        floor = MIN_RETRIES_PER_S * len(self.ids) * (seconds + 1)
        self.assertGreater(received, 0)
        self.assertLessEqual(received, FETCHES * (1 + RETRY_SHARE) + floor)
