"""A jump of a minority of wall clocks moves no edge of a usage window."""

import random
import unittest

from goldcrestmoor.process.true_time import MIN_HOSTS, SAMPLE_MS, TrueTime

HOSTS = [f"host-{n:02}" for n in range(88)]
HOLDER = HOSTS[0]
WALL_MS = 1_790_000_000_000
# What clocks that are kept by a time service differ by.
SPREAD_MS = 20
JUMP_MS = 7000
MAX_ERROR_MS = 2 * SPREAD_MS


class Fleet:
    """Hosts that send the holder messages, each with a monotonic clock of its own."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.now_ms = 0
        self.jump_by_host = dict.fromkeys(HOSTS, 0)
        self.error_by_host = {h: self.spread() for h in HOSTS}
        self.boot_by_host = {h: self.random.randrange(10**9) for h in HOSTS}
        self.time_by_host = {}
        for host in HOSTS:
            self.start(host)

    def spread(self):
        return self.random.randint(-SPREAD_MS, SPREAD_MS)

    def start(self, host):
        self.time_by_host[host] = TrueTime(self.clock_of(host), self.wall(host))

    def clock_of(self, host):
        return self.now_ms + self.boot_by_host[host]

    def wall(self, host):
        error_ms = self.error_by_host[host] + self.jump_by_host[host]
        return WALL_MS + self.now_ms + error_ms

    def run(self, duration_ms):
        """Let each host send a message a second; return the largest error since."""
        max_error_ms = 0
        holder = self.time_by_host[HOLDER]
        for _ in range(duration_ms // 1000):
            for host in HOSTS:
                holder.observe(host, self.clock_of(HOLDER), self.wall(host))
                holder.agree(self.clock_of(HOLDER))
                sent_ms = self.clock_of(host)
                true_ms = holder.at(self.clock_of(HOLDER))
                if host != HOLDER:
                    self.time_by_host[host].adopt(sent_ms, sent_ms, true_ms)
                max_error_ms = max(max_error_ms, abs(self.error(host)))
            self.now_ms += 1000
        return max_error_ms

    def error(self, host):
        true_ms = self.time_by_host[host].at(self.clock_of(host))
        return true_ms - WALL_MS - self.now_ms


class TrueTimeTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet(3)
        self.assertLessEqual(self.fleet.run(5000), MAX_ERROR_MS)

    def jump(self, hosts, jump_ms):
        for host in hosts:
            self.fleet.jump_by_host[host] = jump_ms

    def test_a_quarter_of_the_hosts_jumps_forward_and_back(self):
        for jump_ms in (JUMP_MS, -JUMP_MS):
            # The holder is among them.
            self.jump(HOSTS[: len(HOSTS) // 4], jump_ms)
            self.assertLessEqual(self.fleet.run(2 * SAMPLE_MS), MAX_ERROR_MS)
            self.jump(HOSTS, 0)
            self.assertLessEqual(self.fleet.run(2 * SAMPLE_MS), MAX_ERROR_MS)

    def test_a_host_that_starts_during_the_jump_is_corrected_by_its_first_reply(self):
        self.jump(HOSTS[: len(HOSTS) // 4], JUMP_MS)
        for host in (HOSTS[1], HOLDER):
            self.fleet.start(host)
            self.assertGreater(self.fleet.error(host), JUMP_MS - MAX_ERROR_MS)
            self.fleet.run(1000)
            self.assertLessEqual(abs(self.fleet.error(host)), MAX_ERROR_MS)

    def test_fewer_hosts_than_a_majority_needs_change_nothing(self):
        time = TrueTime(0, WALL_MS)
        for n in range(MIN_HOSTS - 1):
            time.observe(HOSTS[n], 0, WALL_MS + JUMP_MS)
        self.assertEqual(time.agree(0), 0)
        self.assertEqual(time.at(1), WALL_MS + 1)

    def test_a_slow_reply_is_not_taken_for_a_jump(self):
        time = TrueTime(0, WALL_MS)
        self.assertEqual(time.adopt(0, 900, WALL_MS + 890), 0)
        self.assertEqual(time.adopt(0, 10, WALL_MS + 505), 500)
        self.assertEqual(time.at(10), WALL_MS + 510)


if __name__ == "__main__":
    unittest.main()
