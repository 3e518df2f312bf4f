"""Membership: traffic, process freezes, a wrong host list and partitions."""

import asyncio
import itertools
import re
import time

from test import _common
from test.fleet import http_get
from test.proofs._fleet import FleetCase

MAX_BYTES_PER_S = 7000
# More than two rounds of probes in the largest fleet here: the 7 other hosts of a zone
# get three of four probes, at 2 probes/s. In less than one round, some hosts are
# probed more often by chance, and the busiest host deviates more in a larger fleet.
WINDOW_S = 12
# From 4 to 16 hosts, an all-to-all exchange would grow fivefold.
MAX_GROWTH = 1.5
LIST_READ_TWICE_S = 5
FREEZES = 3
FROZEN_S = 2.5
RUNNING_S = 1
PROBES = re.compile(r'control_bytes_total{.*message="(Probe|Sync)\w*"} (\S+)')


class MembershipCase(FleetCase):
    async def metrics(self, host_id):
        """Return the metrics page of a host as text."""
        url = self.fleet.endpoint_by_id[host_id].url
        return (await http_get(f"{url}/metrics"))[1].decode()

    async def alive_hosts_seen_by(self, host_id):
        """Return the hosts that a host lists as alive."""
        rows = await self.show(host_id, "SHOW HOSTS")
        return {row["id"] for row in rows if row["state"] == "alive"}

    async def live_count_seen_by(self, host_id):
        """Return the number of hosts that a host gives work to."""
        text = await self.metrics(host_id)
        counts = re.findall(r"^goldcrestmoor_live_hosts{.*} (\S+)$", text, re.M)
        return sum(float(count) for count in counts)

    async def wait_agreed(self, alive, host_ids=None):
        """Wait until the hosts agree on which hosts are alive."""
        for host_id in host_ids or alive:

            async def agrees(host_id=host_id):
                return await self.alive_hosts_seen_by(host_id) == set(alive)

            await _common.eventually(agrees)


class BytesTest(MembershipCase):
    async def test_bytes_of_a_host_do_not_grow_with_the_fleet(self):
        rates = {}
        for hosts in (2, 4, 8):
            await self.start(hosts=hosts, settings={})
            await self.wait_agreed(self.ids)
            rates[2 * hosts] = await self.rate()
            await self.fleet.close()
        self.assertGreater(min(rates.values()), 0)
        self.assertLess(max(rates.values()), MAX_BYTES_PER_S, rates)
        self.assertLess(rates[16], MAX_GROWTH * rates[4], rates)

    async def rate(self):
        """Return the membership traffic of the busiest host in bytes/s."""
        before, started = await self.bytes_by_host(), time.monotonic()
        await asyncio.sleep(WINDOW_S)
        after, seconds = await self.bytes_by_host(), time.monotonic() - started
        return max((after[i] - before[i]) / seconds for i in self.ids)

    async def bytes_by_host(self):
        """Return the bytes of membership messages by host so far."""
        texts = await asyncio.gather(*(self.metrics(i) for i in self.ids))
        return {
            host_id: sum(float(value) for _, value in PROBES.findall(text))
            for host_id, text in zip(self.ids, texts, strict=True)
        }


class FreezeTest(MembershipCase):
    async def test_a_host_that_freezes_again_and_again_is_held_back(self):
        await self.start(hosts=2)
        observer, frozen = self.ids[0], self.ids[-1]
        await self.wait_agreed(self.ids)
        returns, was_live = 0, True
        for _ in range(FREEZES):
            for freeze, seconds in ((True, FROZEN_S), (False, RUNNING_S)):
                (self.fleet.freeze if freeze else self.fleet.thaw)(frozen)
                end = time.monotonic() + seconds
                while time.monotonic() < end:
                    is_live = await self.live_count_seen_by(observer) == len(self.ids)
                    returns += is_live and not was_live
                    was_live = is_live
                    await asyncio.sleep(0.05)
        # The host gets work again once; then flap damping holds it down for longer
        # each time.
        self.assertLessEqual(returns, 1)
        await self.wait_agreed(self.ids)

        async def all_live():
            return await self.live_count_seen_by(observer) == len(self.ids)

        await _common.eventually(all_live)

    async def test_a_host_that_wakes_calls_nobody_dead(self):
        await self.start(hosts=2)
        frozen = self.ids[-1]
        await self.wait_agreed(self.ids)
        self.fleet.freeze(frozen)
        for host_id in self.ids[:-1]:
            await self.dead(host_id, frozen)
        self.fleet.thaw(frozen)
        await self.wait_agreed(self.ids)
        log = self.fleet.process_by_id[frozen].log()
        self.assertIn("stood still", log)
        self.assertNotIn("is dead", log)


class ListTest(MembershipCase):
    async def test_a_wrong_list_is_only_an_input(self):
        await self.start(hosts=2, settings={})
        # The list names a host that never existed, and only the first of the others.
        first, killed = self.ids[0], self.ids[-1]
        entry = next(e for e in self.fleet.listed_hosts() if e["id"] == first)
        ghost = entry | {"id": "ghost", "peer_port": _common.free_port("127.0.1.7")}
        ghost["address"] = "127.0.1.7"
        await self.list_hosts([entry, ghost])
        await asyncio.sleep(LIST_READ_TWICE_S)
        await self.wait_agreed(self.ids)
        for host_id in self.ids:
            log = self.fleet.process_by_id[host_id].log()
            self.assertFalse("is dead" in log, host_id)
        # The list still names a dead host.
        dead = next(e for e in self.fleet.listed_hosts() if e["id"] == killed)
        await self.list_hosts([entry, ghost, dead])
        self.fleet.kill(killed)
        await self.wait_agreed(self.ids[:-1])
        # An unlisted host restarts and is discovered by all.
        await self.list_hosts([entry, ghost])
        await self.fleet.start_host(killed)
        await self.wait_agreed(self.ids)

    async def list_hosts(self, entries):
        """Set the entries of the platform's host list."""
        control = self.fleet.platform_control
        await self.fleet.control(control, "hosts", hosts=entries)

    async def test_zones_part_and_meet_again(self):
        await self.start(hosts=2)
        near, far = self.ids[:2], self.ids[2:]
        await self.wait_agreed(self.ids)
        self.network.cut("zone-b")
        for one, other in itertools.product(near, far):
            await self.dead(one, other)
            await self.dead(other, one)
        await self.wait_agreed(near)
        await self.wait_agreed(far)
        self.network.mend()
        await self.wait_agreed(self.ids)
