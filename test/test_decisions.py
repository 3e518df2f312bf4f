"""Decision functions in isolation, each under the workload it is designed for."""

import unittest

from goldcrestmoor.errors import ErrorKind, Ran
from goldcrestmoor.job.engine_choice import EngineLoad, choose_engine
from goldcrestmoor.job.item_order import order_items, order_jobs
from goldcrestmoor.job.item_run import ItemRun
from goldcrestmoor.job.job import Item
from goldcrestmoor.job.runner_choice import claim_delay_ms
from goldcrestmoor.job.stragglers import RunningItem, choose_moves
from goldcrestmoor.process.readiness import PeerStatus, ReadinessMonitor
from goldcrestmoor.process.relay_choice import choose_relay
from goldcrestmoor.request.retry_decision import (
    GiveUp,
    SendAgain,
    attempt_timeout_ms,
    decide_retry,
)
from goldcrestmoor.request.upstream_choice import Candidate, choose_upstream
from goldcrestmoor.version.configuration.routes import RetryPolicy
from goldcrestmoor.version.weights.load_plan import (
    Demand,
    EngineWeights,
    Load,
    assign_engines,
    plan_loads,
)
from goldcrestmoor.version.weights.order_log import OrderEntry, turn_wait_ms


def engine(name, in_flight=0, **fields):
    """Return an engine with twelve slots that has loaded version 5."""
    fields = {"slots": 12, "version": 5, **fields}
    return EngineLoad(name=name, in_flight=in_flight, **fields)


class RunnerChoiceTest(unittest.TestCase):
    def test_a_dead_runner_is_followed_in_the_zone_of_its_trainer(self):
        shares = [number / 10 for number in range(11)]
        near = [claim_delay_ms(False, False, True, share) for share in shares]
        far = [claim_delay_ms(False, False, False, share) for share in shares]
        self.assertEqual(claim_delay_ms(True, False, True, 1.0), 0)
        self.assertGreater(min(near), 0)
        # A claim takes two store calls; hosts of other zones see it before their own.
        self.assertGreaterEqual(min(far) - max(near), 50)

    def test_hosts_that_are_equally_near_do_not_claim_all_at_once(self):
        shares = [number / 10 for number in range(11)]
        delays = {claim_delay_ms(False, False, False, share) for share in shares}
        self.assertEqual(len(delays), 11)

    def test_a_step_of_thousands_of_events_a_second_is_run_by_a_large_host(self):
        """45 of 195 hosts have two cores, the others half a core."""
        large = [claim_delay_ms(False, False, True, n / 10, 2.15) for n in range(11)]
        accepted = claim_delay_ms(True, False, True, 0.0, 0.516)
        # A claim takes two store calls.
        self.assertGreaterEqual(accepted - max(large), 50)
        small = [claim_delay_ms(False, False, True, n / 10, 0.516) for n in range(11)]
        self.assertGreater(min(small), accepted)
        self.assertEqual(claim_delay_ms(True, False, True, 1.0, 2.15), 0)
        self.assertEqual(claim_delay_ms(False, True, True, 1.0, 0.516), 0)

    def test_when_all_are_restarted_each_runner_goes_on_at_once(self):
        """No other host may claim the duty before the old process's lease expires."""
        self.assertEqual(claim_delay_ms(False, True, False, 1.0), 0)


class EngineChoiceTest(unittest.TestCase):
    def test_a_step_that_comes_at_once_fills_the_engines_evenly(self):
        in_flight = dict.fromkeys("abcdef", 0)
        for _ in range(60):
            loads = [engine(name, count) for name, count in in_flight.items()]
            in_flight[choose_engine(loads, 5)] += 1
        self.assertEqual(set(in_flight.values()), {10})

    def test_work_waits_when_every_slot_is_taken(self):
        loads = [engine("a", 12), engine("b", 12)]
        self.assertIsNone(choose_engine(loads, 5))

    def test_an_engine_whose_weights_are_too_old_gets_nothing(self):
        loads = [engine("a", 11), engine("b", 0, version=4)]
        self.assertEqual(choose_engine(loads, 5), "a")

    def test_a_slow_engine_gets_nothing_while_a_sound_one_has_a_slot(self):
        loads = [
            engine("a", 0, ms_per_event=160.0),
            engine("b", 11, ms_per_event=40.0),
            engine("c", 12, ms_per_event=42.0),
        ]
        self.assertEqual(choose_engine(loads, 5), "b")

    def test_the_longest_items_go_to_the_fastest_engines(self):
        """A third of the engines is permanently slower; long items come first."""
        ms_per_event_by_engine = {"a": 40.0, "b": 52.0, "c": 41.0, "d": 52.0, "e": 40.0}
        in_flight, order = dict.fromkeys(ms_per_event_by_engine, 0), []
        for _ in range(60):
            loads = [
                engine(name, count, ms_per_event=ms_per_event_by_engine[name])
                for name, count in in_flight.items()
            ]
            order.append(choose_engine(loads, 5))
            in_flight[order[-1]] += 1
        self.assertEqual(set(order[:36]), {"a", "c", "e"})
        self.assertEqual(in_flight, dict.fromkeys(ms_per_event_by_engine, 12))
        # Equally fast engines fill evenly, so that none is full before the others.
        self.assertEqual(len({order[:12].count(name) for name in "ace"}), 1)

    def test_an_engine_that_is_not_known_yet_is_tried(self):
        loads = [engine("a", 3, ms_per_event=40.0), engine("b", 0)]
        self.assertEqual(choose_engine(loads, 5), "b")

    def test_a_slow_engine_is_better_than_none(self):
        loads = [engine("a", 0, ms_per_event=160.0), engine("b", 12, ms_per_event=40.0)]
        self.assertEqual(choose_engine(loads, 5), "a")

    def test_an_engine_that_has_just_refused_is_left_alone(self):
        loads = [engine("a", is_blocked=True), engine("b", 8)]
        self.assertEqual(choose_engine(loads, 5), "b")

    def test_a_group_stays_together_while_that_costs_little(self):
        loads = [engine("a", 2), engine("b", 0)]
        self.assertEqual(choose_engine(loads, 5, group_engine="a"), "a")
        loads = [engine("a", 9), engine("b", 0)]
        self.assertEqual(choose_engine(loads, 5, group_engine="a"), "b")

    def test_an_item_leaves_the_engine_that_it_was_broken_off_at(self):
        loads = [engine("a", 0), engine("b", 6)]
        self.assertEqual(choose_engine(loads, 5, avoid=("a",)), "b")
        self.assertEqual(choose_engine(loads[:1], 5, avoid=("a",)), "a")

    def test_an_item_waits_for_a_full_engine_rather_than_fail_again(self):
        """An engine that fails all items at once is the only one with free slots."""
        full, free = engine("b", 12), engine("a", 0)

        def choose(*loads, failed_at=("a",)):
            return choose_engine(loads, 5, failed_at=failed_at)

        self.assertIsNone(choose(free, full))
        self.assertEqual(choose(free, engine("b", 11)), "b")
        self.assertEqual(choose(free, full, failed_at=("b",)), "a")
        # It isn't known when these accept it, if ever.
        self.assertEqual(choose(free, engine("b", is_blocked=True)), "a")
        self.assertEqual(choose(free, engine("b", version=4)), "a")
        self.assertEqual(choose(free, engine("b"), failed_at=("a", "b")), "a")

    def test_an_item_waits_for_no_engine_that_cannot_continue_its_text(self):
        loads = [engine("a", software_version="v1"), engine("b", software_version="v2")]
        name = choose_engine(loads, 5, software_version="v1", failed_at=("a",))
        self.assertEqual(name, "a")


class _Job:
    def __init__(self, name, due_ms, priority=1):
        self.name = name
        self.due_ms = due_ms
        self.priority = priority


class ItemOrderTest(unittest.TestCase):
    def test_the_step_that_is_due_first_goes_first(self):
        jobs = [_Job("late", 9000), _Job("soon", 7000), _Job("urgent", 9500, 0)]
        names = [job.name for job in order_jobs(jobs)]
        self.assertEqual(names, ["urgent", "soon", "late"])

    def test_the_longest_items_of_a_step_go_first(self):
        hints = [60, 900, 60, 300]
        runs = [
            ItemRun(Item(f"i{n}", "/", {}, b"", expected_tokens=hint), n)
            for n, hint in enumerate(hints)
        ]
        names = [run.item.id for run in order_items(runs)]
        self.assertEqual(names, ["i1", "i3", "i0", "i2"])

    def test_items_that_have_begun_go_before_all(self):
        runs = [
            ItemRun(Item(i, "/", {}, b"", expected_tokens=100 - n), n)
            for n, i in enumerate("ab")
        ]
        runs[1].events.append("text")
        self.assertEqual([run.item.id for run in order_items(runs)], ["b", "a"])


class StragglersTest(unittest.TestCase):
    def running(self, count):
        return [RunningItem(f"{e}{n}", e, 10) for e in "abc" for n in range(count)]

    def test_the_streams_of_an_engine_that_turned_slow_move(self):
        ms_per_event_by_engine = {"a": 40.0, "b": 160.0, "c": 42.0}
        found = set(
            choose_moves(
                self.running(3), ms_per_event_by_engine, {"a": 9, "b": 9, "c": 9}
            )
        )
        self.assertEqual(found, {"b0", "b1", "b2"})

    def test_no_more_move_than_the_sound_engines_have_room_for(self):
        ms_per_event_by_engine = {"a": 40.0, "b": 160.0, "c": 42.0}
        found = list(
            choose_moves(
                self.running(8), ms_per_event_by_engine, {"a": 1, "b": 9, "c": 1}
            )
        )
        self.assertEqual(len(found), 2)

    def test_engines_of_like_pace_keep_theirs(self):
        ms_per_event_by_engine = {"a": 40.0, "b": 70.0, "c": 42.0}
        self.assertEqual(
            list(
                choose_moves(self.running(3), ms_per_event_by_engine, {"a": 9, "c": 9})
            ),
            [],
        )

    def test_a_long_item_leaves_an_engine_that_is_a_little_slower(self):
        """An item of 140 events took 7 s on one of the slower third of the engines."""
        ms_per_event_by_engine = {"a": 37.6, "b": 49.0, "c": 39.0}
        running = [RunningItem("long", "b", 40), RunningItem("short", "b", 8)]
        moves = choose_moves(running, ms_per_event_by_engine, {"a": 1, "b": 6, "c": 0})
        self.assertEqual(list(moves), ["long"])
        full = choose_moves(running, ms_per_event_by_engine, {"a": 0, "b": 6, "c": 0})
        self.assertEqual(list(full), [])

    def test_one_engine_alone_is_no_measure(self):
        self.assertEqual(
            list(choose_moves(self.running(3), {"a": 160.0}, {"b": 9})), []
        )


def weights(name, is_loading=False, **version_by_model):
    """Return an engine as input of the load plan."""
    return EngineWeights(name, version_by_model, is_loading=is_loading)


class LoadPlanTest(unittest.TestCase):
    def load_rounds(self, held, named, demand=None, slots=1):
        """Apply planned loads until none is left; return their engines by round."""
        rounds = {model: [] for model in named}
        for model, version in named.items():
            while True:
                engines = [EngineWeights(n, dict(v), slots) for n, v in held.items()]
                loads = list(
                    plan_loads(model, version, engines, named, demand or Demand())
                )
                if not loads:
                    break
                rounds[model].append([load.engine for load in loads])
                for load in loads:
                    held[load.engine][load.model] = load.version
        return rounds

    def test_six_engines_follow_one_model_two_at_a_time(self):
        held = {name: {"m": 1} for name in "abcdef"}
        rounds = self.load_rounds(held, {"m": 2})["m"]
        self.assertEqual([len(engines) for engines in rounds], [2, 2, 2])
        self.assertEqual({name for r in rounds for name in r}, set("abcdef"))

    def test_three_models_share_six_engines_in_parts_that_stay(self):
        models = ["m0", "m1", "m2"]
        held = {name: dict.fromkeys(models, 1) for name in "abcdef"}
        parts = []
        for version in range(2, 6):
            rounds = self.load_rounds(held, dict.fromkeys(models, version))
            parts.append({m: sorted(sum(r, [])) for m, r in rounds.items()})
        self.assertEqual([len(part) for part in parts[0].values()], [2, 2, 2])
        self.assertEqual(parts, parts[:1] * 4)

    def test_the_first_named_model_does_not_take_the_others_engines(self):
        engines = [weights(n, m0=1, m1=1, m2=1) for n in "abcdef"]
        models = ["m0", "m1", "m2"]
        self.assertEqual(len(assign_engines(engines, models)["m0"]), 2)

    def test_engines_that_can_serve_what_waits_are_left_to_it(self):
        engines = [weights(n, m=1) for n in "ab"]
        demand = Demand(waiting=30, min_version=1)
        self.assertEqual(list(plan_loads("m", 2, engines, ["m"], demand)), [])
        drained = list(plan_loads("m", 2, engines, ["m"], Demand()))
        self.assertEqual(len(drained), 1)

    def test_all_load_once_the_step_that_goes_with_the_version_is_under_way(self):
        engines = [weights(n, m=4) for n in "abcdef"]
        loads = list(plan_loads("m", 5, engines, "mno", Demand(newest_step=4)))
        self.assertEqual(len(loads), 2)
        loads = list(plan_loads("m", 5, engines, "mno", Demand(newest_step=3)))
        self.assertEqual(len(loads), 1)

    def test_engines_that_cannot_serve_what_waits_load_at_once(self):
        engines = [weights("a", m=1), weights("b", m=2)]
        demand = Demand(waiting=30, min_version=2)
        loads = list(plan_loads("m", 3, engines, ["m"], demand))
        self.assertEqual(loads, [Load("a", "m", 3)])

    def test_an_engine_that_loads_is_not_ordered_again(self):
        engines = [weights(n, is_loading=n in "ab", m=1) for n in "abcdef"]
        self.assertEqual(list(plan_loads("m", 2, engines, ["m"], Demand())), [])

    def test_an_engine_that_another_host_orders_does_not_hold_up_the_others(self):
        """Two models share one of three engines; steps waited 9 s for a version."""
        shared = EngineWeights("a", {"m": 1, "n": 9}, is_deferred=True)
        engines = [shared, weights("b", m=2, n=1), weights("c", m=1, n=9)]
        demand = Demand(waiting=32, min_version=3)
        loads = list(plan_loads("m", 3, engines, ["m"], demand))
        self.assertEqual(loads, [Load("c", "m", 3)])

    def test_what_lags_most_loads_first(self):
        engines = [weights("a", m=4), weights("b", m=3), weights("c", m=2)]
        loads = list(plan_loads("m", 4, engines, ["m"], Demand()))
        self.assertEqual(loads, [Load("c", "m", 4)])

    def test_models_share_engines_when_some_are_gone(self):
        """Steps of 64 items waited six seconds at a single engine of twelve slots."""
        models = ["m0", "m1", "m2"]
        for count in (3, 4, 5):
            names = "abcdef"[:count]
            engines = [weights(n, m0=1, m1=1, m2=1) for n in names]
            assigned = assign_engines(engines, models)
            parts = [{engine.name for engine in part} for part in assigned.values()]
            self.assertEqual([len(part) for part in parts], [2, 2, 2], count)
            # All engines are assigned, about equally often.
            uses = [sum(name in part for part in parts) for name in names]
            self.assertLessEqual(max(uses) - min(uses), 1, uses)

    def test_only_as_many_engines_follow_as_the_steps_have_use_for(self):
        """Steps of 104 items, at most two at a time, with 300 engines."""
        held = {f"engine-{n:03d}": {"m": 1} for n in range(300)}
        demand = Demand(largest_step=104)
        followers = []
        for version in range(2, 6):
            rounds = self.load_rounds(held, {"m": version}, demand, slots=12)["m"]
            followers.append({name for names in rounds for name in names})
        self.assertEqual(len(followers[0]), 18)
        self.assertEqual(followers, followers[:1] * 4)
        del held[min(followers[0])]
        rounds = self.load_rounds(held, {"m": 5}, demand, slots=12)["m"]
        self.assertEqual([len(names) for names in rounds], [1])

    def test_all_engines_come_to_a_version_that_lasts(self):
        """New weights every six minutes must be on all servers within six seconds."""
        engines = [EngineWeights(f"engine-{n}", {"m": 1}, 12) for n in range(300)]
        demand = Demand(largest_step=104)
        at_once = list(plan_loads("m", 2, engines, ["m"], demand, 4000))
        self.assertEqual(len(at_once), 9)
        loading = {load.engine for load in at_once}
        engines = [
            EngineWeights(e.name, {"m": 2 if e.name in loading else 1}, 12)
            for e in engines
        ]
        later = list(plan_loads("m", 2, engines, ["m"], demand, 5000))
        # Two fifths of the engines at a time, so that loads do not slow one another.
        self.assertEqual(len(later), 120)

    def test_a_model_keeps_an_engine_that_it_shares(self):
        models = ["m0", "m1", "m2"]
        held = {name: dict.fromkeys(models, 1) for name in "abcd"}
        parts = []
        for version in range(2, 6):
            rounds = self.load_rounds(held, dict.fromkeys(models, version))
            parts.append({m: sorted(sum(r, [])) for m, r in rounds.items()})
        self.assertEqual(parts, parts[:1] * 4)

    def test_a_model_gets_another_engine_when_one_of_its_own_goes(self):
        engines = [
            weights("a", m0=5, m1=1),
            weights("b", m0=5, m1=1),
            weights("c", m0=1, m1=5),
        ]
        assigned = assign_engines(engines, ["m0", "m1"])
        names = {m: sorted(e.name for e in part) for m, part in assigned.items()}
        self.assertEqual(names["m0"], ["a", "b"])
        # The engine that has loaded it already, and a shared one.
        self.assertIn("c", names["m1"])
        self.assertEqual(len(names["m1"]), 2)


class ReadinessTest(unittest.TestCase):
    def setUp(self):
        self.readiness = ReadinessMonitor("a")

    def check(self, reaches_store, *statuses, has_other_zones=True):
        statuses = [PeerStatus(zone, reaches) for zone, reaches in statuses]
        return self.readiness.update(reaches_store, statuses, has_other_zones)

    def check_twice(self, reaches_store, *statuses, has_other_zones=True):
        """Return the result after two checks with the same input."""
        self.check(reaches_store, *statuses, has_other_zones=has_other_zones)
        return self.check(reaches_store, *statuses, has_other_zones=has_other_zones)

    def test_a_host_that_hears_the_store_takes_callers(self):
        self.assertTrue(self.check_twice(True))

    def test_a_zone_that_is_cut_off_sends_its_callers_to_the_others(self):
        self.assertFalse(self.check_twice(False, ("a", False), ("a", False)))
        self.assertFalse(self.check_twice(False))

    def test_a_host_that_alone_lost_the_store_sends_its_callers_to_the_rest(self):
        self.assertFalse(self.check_twice(False, ("a", True), ("b", True)))

    def test_nobody_turns_callers_away_when_the_store_is_away_for_all(self):
        self.assertTrue(self.check_twice(False, ("a", False), ("b", False)))
        self.assertTrue(self.check_twice(False, ("a", False), has_other_zones=False))

    def test_one_late_round_of_answers_turns_nobody_away(self):
        """The store is unavailable for all, and this host is busy at times."""
        for _ in range(3):
            self.assertTrue(self.check(False, ("a", False), ("b", False)))
            self.assertTrue(self.check(False))
        self.assertFalse(self.check(False))

    def test_callers_are_wanted_again_as_soon_as_the_store_is_heard(self):
        self.assertFalse(self.check_twice(False, ("b", True)))
        self.assertTrue(self.check(True))
        self.assertTrue(self.check(False, ("b", True)))


class RelayChoiceTest(unittest.TestCase):
    STATUSES = (
        PeerStatus("a", False, "10.1.0.1"),
        PeerStatus("b", True, "10.2.0.1"),
        PeerStatus("a", True, "10.1.0.2"),
    )

    def choose(self, statuses=STATUSES, rejection_age_ms=None):
        status = choose_relay("a", statuses, rejection_age_ms)
        return status and status.address

    def test_calls_go_by_a_host_of_the_same_zone_that_hears_the_store(self):
        self.assertEqual(self.choose(), "10.1.0.2")
        self.assertEqual(self.choose(self.STATUSES[:2]), "10.2.0.1")

    def test_there_is_no_way_round_an_outage_for_all(self):
        self.assertIsNone(self.choose(self.STATUSES[:1]))
        self.assertIsNone(self.choose(()))

    def test_a_host_that_the_store_turns_away_does_not_go_round_it(self):
        self.assertIsNone(self.choose(rejection_age_ms=100))
        self.assertEqual(self.choose(rejection_age_ms=60_000), "10.1.0.2")


class OrderLogTest(unittest.TestCase):
    def test_another_host_waits_until_the_last_order_has_had_its_time(self):
        entry = OrderEntry("host-a", 7, 10_000)
        self.assertEqual(turn_wait_ms(entry, "host-a", 10_001, 3000), 0)
        self.assertEqual(turn_wait_ms(entry, "host-b", 13_000, 3000), 500)
        self.assertEqual(turn_wait_ms(entry, "host-b", 13_500, 3000), 0)
        self.assertEqual(turn_wait_ms(None, "host-b", 0, 3000), 0)


def candidate(name, in_flight=0, **fields):
    """Return an upstream with six slots."""
    fields = {
        "slots": 6,
        "has_connection": False,
        "is_local": False,
        "has_failed": False,
        **fields,
    }
    return Candidate(name=name, in_flight=in_flight, **fields)


class UpstreamChoiceTest(unittest.TestCase):
    def test_a_quiet_host_keeps_to_the_connection_that_it_has(self):
        choices = [candidate("a", is_local=True), candidate("b", has_connection=True)]
        self.assertEqual(choose_upstream(choices), "b")

    def test_a_burst_spreads_over_all(self):
        in_flight = dict.fromkeys("abc", 0)
        for _ in range(15):
            choices = [
                candidate(name, count, has_connection=name == "a")
                for name, count in in_flight.items()
            ]
            in_flight[choose_upstream(choices)] += 1
        self.assertLessEqual(max(in_flight.values()) - min(in_flight.values()), 2)

    def test_what_has_just_failed_is_left_alone(self):
        choices = [
            candidate("a", has_connection=True, has_failed=True),
            candidate("b", 3),
        ]
        self.assertEqual(choose_upstream(choices), "b")

    def test_no_upstream_is_tried_twice(self):
        self.assertIsNone(choose_upstream([candidate("a")], avoid=("a",)))


class RetryDecisionTest(unittest.TestCase):
    def test_a_lost_answer_of_a_repeatable_request_is_tried_elsewhere(self):
        decision = decide_retry(Ran.UNKNOWN, RetryPolicy.IDEMPOTENT, 1, 2, 500, True)
        self.assertEqual(decision, SendAgain())

    def test_a_request_that_may_run_once_ends_with_what_is_known(self):
        decision = decide_retry(Ran.UNKNOWN, RetryPolicy.NEVER, 1, 3, 500, True)
        self.assertEqual(decision, GiveUp(ErrorKind.UPSTREAM_FAILED, 0))

    def test_a_request_that_surely_did_not_run_goes_on(self):
        decision = decide_retry(Ran.NOT_RUN, RetryPolicy.NEVER, 0, 1, 500, True)
        self.assertEqual(decision, SendAgain())

    def test_full_upstreams_are_a_refusal_at_once(self):
        decision = decide_retry(Ran.NOT_RUN, RetryPolicy.IDEMPOTENT, 0, 2, 500, False)
        self.assertEqual(decision.kind, ErrorKind.OVERLOADED)

    def test_no_more_upstreams_run_it_than_the_route_allows(self):
        decision = decide_retry(Ran.UNKNOWN, RetryPolicy.IDEMPOTENT, 2, 2, 500, True)
        self.assertEqual(decision.kind, ErrorKind.UPSTREAM_FAILED)

    def test_the_first_try_leaves_time_for_the_second(self):
        first = attempt_timeout_ms(RetryPolicy.IDEMPOTENT, 0, 2, 800, 192, True)
        self.assertLess(first, 400)
        self.assertGreaterEqual(first, 192)
        self.assertEqual(
            attempt_timeout_ms(RetryPolicy.IDEMPOTENT, 1, 2, 440, 192, True), 440
        )
        self.assertEqual(
            attempt_timeout_ms(RetryPolicy.NEVER, 0, 2, 800, 192, True), 800
        )


if __name__ == "__main__":
    unittest.main()
