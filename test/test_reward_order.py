"""Which reward calls go next, and where, under the load that the module states."""

import unittest

from goldcrestmoor.job.reward_order import (
    RESERVED_SLOTS,
    WaitingCall,
    choose_server,
    max_in_flight,
    order_calls,
)
from goldcrestmoor.request.upstream_choice import Candidate, choose_upstream

SLOTS = 6
NAMES = ("s1", "s2", "s3", "s4")
CALL_MS = 300
LOOKUP_MS = 40
STEP_MS = 10


def call(item_id, due_ms=8000, group_missing=8, since_ms=0, priority=1):
    return WaitingCall("j", item_id, priority, due_ms, group_missing, since_ms)


def candidate(name, in_flight=0, has_failed=False):
    return Candidate(name, in_flight, SLOTS, True, True, has_failed)


class OrderTest(unittest.TestCase):
    def test_the_step_that_is_due_first_goes_first_over_all_models(self):
        calls = [call("late", 9000), call("soon", 7000), call("urgent", 9500, 8, 0, 0)]
        ids = [c.item_id for c in order_calls(calls)]
        self.assertEqual(ids, ["urgent", "soon", "late"])

    def test_a_group_that_lacks_one_score_goes_before_one_that_lacks_all(self):
        calls = [call("a", group_missing=8), call("b", group_missing=1, since_ms=90)]
        self.assertEqual([c.item_id for c in order_calls(calls)], ["b", "a"])


class ServerTest(unittest.TestCase):
    def test_a_slot_of_every_server_is_left_to_others(self):
        self.assertEqual(max_in_flight(SLOTS, 1, 1), SLOTS - RESERVED_SLOTS)
        full = [candidate(name, SLOTS - RESERVED_SLOTS) for name in NAMES]
        self.assertIsNone(choose_server(full, set(), "", 4, 1, 1))

    def test_runners_of_different_models_divide_the_slots(self):
        for models in range(1, 5):
            of_all = models * max_in_flight(SLOTS, 1, models)
            self.assertLessEqual(of_all, SLOTS - RESERVED_SLOTS)
        self.assertEqual(max_in_flight(SLOTS, 4, 4), SLOTS - RESERVED_SLOTS)
        self.assertEqual(max_in_flight(1, 1, 4), 1)

    def test_it_is_sent_again_elsewhere(self):
        candidates = [candidate(name) for name in NAMES]
        self.assertNotIn(choose_server(candidates, {"s1"}, "s2", 4, 1, 1), ("s1", "s2"))

    def test_it_is_run_by_no_more_servers_than_its_route_allows(self):
        candidates = [candidate(name) for name in NAMES]
        for last in ("s1", "s2"):
            name = choose_server(candidates, {"s1", "s2"}, last, 2, 1, 1)
            self.assertIn(name, {"s1", "s2"} - {last})
        # Those that have run it are gone, and no longer count.
        left = [candidate("s3"), candidate("s4")]
        self.assertIn(choose_server(left, {"s1", "s2"}, "s2", 2, 1, 1), ("s3", "s4"))


class BurstTest(unittest.TestCase):
    """Two models' texts complete at once after an outage; lookups come all the time."""

    def replay(self, models, calls_per_model):
        """Return how long the calls take, and the most requests on one server."""
        ends_by_server = {name: [] for name in NAMES}
        own = [{name: [] for name in NAMES} for _ in range(models)]
        waiting = [calls_per_model] * models
        now_ms, most = 0, 0
        while any(waiting) or any(ends for o in own for ends in o.values()):
            for ends in (
                *ends_by_server.values(),
                *(e for o in own for e in o.values()),
            ):
                ends[:] = [end for end in ends if end > now_ms]
            for model in range(models):
                while waiting[model]:
                    seen = [candidate(n, len(own[model][n])) for n in NAMES]
                    name = choose_server(seen, set(), "", 4, 1, models)
                    if name is None:
                        break
                    waiting[model] -= 1
                    own[model][name].append(now_ms + CALL_MS)
                    ends_by_server[name].append(now_ms + CALL_MS)
            if now_ms % 100 == 0:
                # Each lookup comes to a host that sees no other host's requests.
                name = choose_upstream([candidate(n) for n in NAMES])
                ends_by_server[name].append(now_ms + LOOKUP_MS)
            most = max(most, *map(len, ends_by_server.values()))
            now_ms += STEP_MS
        return now_ms, most

    def test_lookups_find_a_free_slot_while_the_backlog_drains(self):
        duration_ms, most = self.replay(models=2, calls_per_model=64)
        self.assertLessEqual(most, SLOTS)
        # 128 calls on the shared slots; the last ones of a step are due seconds later.
        shared = len(NAMES) * 2 * max_in_flight(SLOTS, 1, 2)
        self.assertLessEqual(duration_ms, (128 / shared + 1) * CALL_MS + 100)


if __name__ == "__main__":
    unittest.main()
