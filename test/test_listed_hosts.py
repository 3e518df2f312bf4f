"""A few hosts of a zone read the host list; the whole zone is updated in time."""

from goldcrestmoor.process.listed_hosts import READERS
from goldcrestmoor.process.membership_messages import ListRead
from test.test_membership import MembershipTestCase

LEARNT_MS = 5000
HOSTS = 12
POLLS = 20
ZONES = ("zone-a", "zone-b")


class ListedHostsTest(MembershipTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.reads_by_host = {}
        fetch = self.host_list.fetch

        async def count(host_id):
            self.reads_by_host[host_id] = self.reads_by_host.get(host_id, 0) + 1
            return await fetch(host_id)

        self.host_list.fetch = count

    async def start_settled(self, zones=ZONES):
        await self.start_fleet(HOSTS, zones)
        await self.clock.advance(10_000)
        self.reads_by_host.clear()

    def readers(self):
        return [i for i, m in self.members_by_id.items() if m._list_rank < READERS]

    def all_know(self, name, members=None):
        members = members or self.members_by_id.values()
        return all(name in m.leaving_upstreams() for m in members)

    async def learn(self, name="engine-1"):
        self.host_list.add("upstream", name, "leaving")
        learnt = await self.clock.advance(LEARNT_MS, lambda: self.all_know(name))
        self.assertTrue(learnt)

    async def test_only_the_readers_of_each_zone_read(self):
        await self.start_settled()
        poll_ms = self.settings.membership.host_list_poll_ms
        await self.clock.advance(POLLS * poll_ms)
        self.assertEqual(len(self.reads_by_host), READERS * len(ZONES))
        # Readings are rounded to checks, of which there are eight per poll.
        self.assertLess(max(self.reads_by_host.values()), POLLS * 1.2)
        await self.learn()

    async def test_all_learn_in_time_when_every_reader_dies(self):
        await self.start_settled()
        for host_id in self.readers():
            self.kill(host_id)
        await self.learn()

    async def test_all_learn_in_time_when_messages_about_it_are_lost(self):
        await self.start_settled()
        for host_id, links in self.network.links_by_id.items():
            self.drop(links, host_id)
        await self.learn()

    def drop(self, links, host_id):
        send = links.send

        def send_others(target, message):
            if not isinstance(message, ListRead):
                send(target, message)

        links.send = send_others

    async def test_all_learn_in_time_when_readers_cannot_read(self):
        await self.start_settled()
        self.host_list.cut_off.update(self.readers())
        await self.learn()

    async def test_an_old_reading_brings_no_upstream_back(self):
        await self.start_settled()
        await self.learn()
        member = self.members_by_id["host-5"]
        await member._on_list_read("host-1", ListRead())
        self.assertIn("engine-1", member.leaving_upstreams())

    async def test_an_upstream_that_is_live_again_is_used_again(self):
        await self.start_settled()
        await self.learn()
        self.host_list.entries = []
        await self.wait_until(
            lambda: not any(m.leaving_upstreams() for m in self.members_by_id.values())
        )
