"""A configuration change is reported as accepted, refused or unknown, correctly."""

import asyncio
import pathlib
import socket

from test import _common
from test.fault_proxy import DOWN, UP
from test.proofs._fleet import (
    ACCEPTED,
    REFUSED,
    UNKNOWN,
    UNKNOWN_TEXT,
    FleetCase,
    account,
)

CONFLICT = 409
PLATFORM_DOWN = 8
DELAY_MS = 400
ESTABLISHED = "01"


class AnswerTest(FleetCase):
    async def settled(self, host_ids):
        """Wait until SHOW VERSION reports the platform's version on all hosts."""

        async def agreed():
            rows = [r for h in host_ids for r in await self.show(h, "SHOW VERSION")]
            seen = {(r["platform_version"], r["version_here"]) for r in rows}
            head = await self.head_version()
            return seen == {(head, head)} and len(rows) == len(host_ids)

        await _common.eventually(agreed)
        return await self.head_version()

    async def wait_head_version(self, version):
        """Wait until the platform has stored a version, even if its reply is lost."""

        async def has_it():
            return await self.head_version() >= version

        await _common.eventually(has_it)

    async def test_of_racing_operators_one_wins(self):
        await self.start(account("desk"), hosts=2)
        base = await self.head_version()
        self.platform_link.delay(DELAY_MS // 2)
        answers = await asyncio.gather(
            *(
                self.post_command(host_id, f"ALTER ACCOUNT desk SHARE {share}", base)
                for share, host_id in enumerate(self.ids, 2)
            )
        )
        self.platform_link.delay(0)
        won = [body for status, body in answers if status == 200]
        lost = [body for status, body in answers if status == CONFLICT]
        self.assertEqual((len(won), len(lost)), (1, len(answers) - 1), answers)
        self.assertEqual(won[0]["version"], base + 1)
        for body in lost:
            self.assertEqual((body["outcome"], body["version"]), ("refused", base + 1))
        self.assertEqual(await self.settled(self.ids), base + 1)
        # The command line reports the same outcome and sets its exit code.
        answer = await self.change(f"ALTER ACCOUNT desk SHARE 9 AT VERSION {base}")
        self.assertEqual(answer.code, REFUSED)
        self.assertIn(f"refused: {answer_text(base + 1)}", answer.text)

    async def test_the_answer_of_the_write_is_lost(self):
        await self.start(account("desk"))
        base = await self.head_version()
        self.platform_link.delay(DELAY_MS, DOWN)
        asked = self.begin(self.change("ALTER ACCOUNT desk SHARE 2"))
        await self.wait_head_version(base + 1)
        self.platform_link.cut()
        self.platform_link.delay(0)
        answer = await asked
        self.assertEqual(answer.code, ACCEPTED, answer.text)
        self.assertIn(f"accepted: Version {base + 1}", answer.text)
        self.assertEqual(await self.settled(self.ids), base + 1)

    async def test_the_answer_is_lost_and_the_platform_stays_away(self):
        await self.start(account("desk"))
        base = await self.head_version()
        self.platform_link.delay(DELAY_MS, DOWN)
        asked = self.begin(self.change("ALTER ACCOUNT desk SHARE 2"))
        await self.wait_head_version(base + 1)
        await self.platform_link.refuse()
        answer = await asked
        self.assertEqual(answer.code, UNKNOWN, answer.text)
        self.assertIn(UNKNOWN_TEXT, answer.text)
        await self.platform_link.heal()
        self.assertEqual(await self.settled(self.ids), base + 1)

    async def test_the_platform_is_down_before_the_change(self):
        await self.start(account("desk"))
        base = await self.head_version()
        await self.outage()
        answer = await self.change("ALTER ACCOUNT desk SHARE 2")
        self.assertEqual(answer.code, PLATFORM_DOWN, answer.text)
        self.assertIn("refused", answer.text)
        await self.outage("")
        self.assertEqual(await self.settled(self.ids), base)

    async def test_the_driver_is_killed_at_each_point(self):
        await self.start(account("desk"))
        driver, others = self.ids[0], self.ids[1:]
        for point in (self.at_the_read, self.at_the_document, self.at_the_write):
            with self.subTest(point.__name__):
                base = await self.head_version()
                asked = self.begin(self.change("ALTER ACCOUNT desk SHARE 2", driver))
                await point(base)
                self.fleet.kill(driver)
                answer = await asked
                self.platform_link.delay(0)
                await self.outage("")
                self.assertEqual(answer.code, UNKNOWN, answer.text)
                self.assertIn(UNKNOWN_TEXT, answer.text)
                # A write in flight may still be applied, and is then permanent.
                version = await self.settled(others)
                self.assertIn(version, (base, base + 1))
                if point == self.at_the_write:
                    self.assertEqual(version, base + 1)
                await self.fleet.start_host(driver)
                self.assertIn(await self.settled(self.ids), (version, base + 1))

    async def at_the_read(self, base):
        await self.outage("hang")
        await _common.eventually(lambda: _has_caller(self.fleet.hosts[0]))

    async def at_the_document(self, base):
        before = (await self.platform_stats()).get("writes", 0)
        self.platform_link.delay(DELAY_MS, UP)

        async def stored():
            return (await self.platform_stats())["writes"] > before

        await _common.eventually(stored)

    async def at_the_write(self, base):
        self.platform_link.delay(DELAY_MS, DOWN)
        await self.wait_head_version(base + 1)


def _has_caller(host):
    """Return whether /proc/net/tcp lists an established connection to a host."""
    address = int.from_bytes(socket.inet_aton(host.address), "little")
    place = f"{address:08X}:{host.port:04X}"
    lines = pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]
    return any(line.split()[1:4:2] == [place, ESTABLISHED] for line in lines)


def answer_text(version):
    return f"Another change came first; the current version is {version}."
