"""Tests of the cut-off terms, under which hosts serve without the platform."""

from test import _common
from test.proofs._fleet import (
    ACCEPTED,
    OK,
    REFUSED,
    FleetCase,
    account,
)

LEASE_EXPIRED = 503
DROP = "DROP ACCOUNT desk"


class TermsTest(FleetCase):
    async def start(self, *args, **kwargs):
        """Start with an account that partitioned hosts also serve."""
        await super().start(account("desk", rest=""), *args, **kwargs)

    async def wait_refused_naming(self, host_id, driver):
        """Repeat the change until it is refused as one host did not acknowledge it."""

        async def refused():
            answer = await self.change(DROP, driver)
            self.assertEqual(answer.code, REFUSED, answer.text)
            return f"not acknowledged by {host_id}." in answer.text

        await _common.eventually(refused)

    async def wait_accepted(self, driver):
        """Repeat the change until it is accepted, acknowledged by every host."""

        async def accepted():
            answer = await self.change(DROP, driver)
            return answer.code == ACCEPTED

        await _common.eventually(accepted)

    async def test_a_silent_host_refuses_and_its_return_accepts(self):
        await self.start(hosts=2)
        silent = self.ids[-1]
        self.fleet.freeze(silent)
        await self.wait_refused_naming(silent, self.ids[0])
        await self.assert_served("desk", self.ids[:-1])
        self.fleet.thaw(silent)
        await self.wait_accepted(self.ids[0])
        self.network.cut("zone-b")
        for _ in range(3):
            await self.assert_never_served("desk")

    async def test_a_lapsed_host_acts_on_the_stricter_terms_in_doubt(self):
        await self.start(hosts=2)
        doubtful, silent = self.ids[2], self.ids[1]
        # The doubtful host acknowledges the change; the silent one prevents it.
        self.fleet.freeze(silent)
        await self.wait_refused_naming(silent, self.ids[0])
        await self.assert_served("desk", [doubtful])
        self.network.cut("zone-b")

        async def is_lease_expired():
            return await self.fetch(doubtful, "desk") == LEASE_EXPIRED

        await _common.eventually(is_lease_expired)
        await self.assert_never_served("desk", [doubtful])
        self.network.mend()
        self.fleet.thaw(silent)
        # The change never took effect, so all hosts serve again.
        await self.assert_served("desk")

    async def test_a_host_that_a_peer_started_is_found(self):
        await self.start()
        peer, new = self.ids[1], "zone-b-2"
        await self.add_host(new, peer)
        await self.outage()
        await self.fleet.start_host(new)
        await self.fleet.wait_ready(new)
        self.assertEqual(await self.fetch(new, "desk"), OK)
        # All consider the host dead and the host list lacks it; only its peer
        # remembers it.
        self.fleet.freeze(new)
        await self.dead(self.ids[0], new)
        await self.dead(peer, new)
        await self.outage("")
        await self.wait_refused_naming(new, self.ids[0])
        self.fleet.thaw(new)
        await self.wait_accepted(self.ids[0])
        await self.assert_never_served("desk", [*self.ids, new])

    async def add_host(self, new, peer):
        """Add a daemon that is not in the host list and is configured with one peer."""
        number = int(self.fleet.endpoint_by_id[peer].address.split(".")[2])
        address = f"127.0.{number}.9"
        ports = _common.free_port(address), _common.free_port(address)
        endpoint = type(self.fleet.platform)(new, "zone-b", address, *ports)
        self.fleet.endpoint_by_id[new] = endpoint
        await self.network.add(new, "zone-b", address, ports[1])
