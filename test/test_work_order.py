"""Replays an overload: the order of work by need against the present order."""

import heapq
import math
import random
import types
import unittest

import msgspec

from goldcrestmoor.job.item_order import order_items, order_jobs
from goldcrestmoor.job.work_order import (
    HintScale,
    OpenJob,
    PoolCapacity,
    ServedAccounts,
    WorkClass,
    gives_up_in_ms,
    order_work,
)

EVENT_MS = 20
MAX_EVENTS = 140
SLOTS = 40
DUE_MS = 7500
GRACE_MS = 700
GIVE_UP_MS = 12_000
# Value of a group that is whole before its trainer gives up.
LATE_VALUE = 3 / 8
SEEDS = range(6)


class Step:
    """A step of one trainer, which is both a job run and what the replay measures."""

    priority = 1

    def __init__(self, rng, trainer, number, submitted_ms, groups=20, size=8):
        self.id = f"{trainer}/{number}"
        self.account = trainer
        self.submitted_ms = submitted_ms
        self.due_ms = submitted_ms + DUE_MS
        self.target = groups * 9 // 10
        self.items = [
            _item(rng, f"{self.id}/{group}", group * size + i)
            for group in range(groups)
            for i in range(size)
        ]
        self.whole_ms_by_group = {}
        self.kept = frozenset()

    def ended_ms(self):
        """Return when the trainer stops waiting."""
        whole_ms = sorted(self.whole_ms_by_group.values())
        gives_up_ms = self.submitted_ms + GIVE_UP_MS
        if len(whole_ms) < self.target:
            return gives_up_ms
        return min(gives_up_ms, whole_ms[self.target - 1])


def _item(rng, group, position):
    length = min(MAX_EVENTS, max(4, round(rng.lognormvariate(3.5, 0.7))))
    return types.SimpleNamespace(
        item=types.SimpleNamespace(id=f"{group}/{position}"),
        group=group,
        position=position,
        length=length,
        # Right at the median, and off by a factor of two for one in three.
        expected_tokens=max(1, round(length * rng.lognormvariate(0, 0.7))),
        events=range(0),
        is_complete=False,
        started_ms=None,
        ended_ms=None,
    )


class PresentOrder:
    """The order of deployments without accounts."""

    def next_items(self, steps, now_ms):
        for step in order_jobs(steps):
            waiting = [item for item in step.items if item.started_ms is None]
            yield from ((step, item, None) for item in order_items(waiting))

    def record_start(self, step, now_ms):
        """Only the order by need records starts and ends."""

    record_end = record_start


class OrderByNeed:
    """The order under test, called as the scheduler calls it."""

    def __init__(self):
        self.scale = HintScale()
        self.served = ServedAccounts()

    def next_items(self, steps, now_ms):
        jobs = [_open_job(step, now_ms) for step in steps]
        capacity = {"pool": PoolCapacity(SLOTS, EVENT_MS)}
        starved = self.served.starved(jobs, now_ms)
        order, needed = order_work(jobs, capacity, self.scale, starved)
        for step in steps:
            step.kept = needed[step.id]
        return ((work.run, work.item, work.work_class) for work in order)

    def record_start(self, step, now_ms):
        self.served.record(step.account, now_ms)

    def record_end(self, item, now_ms):
        self.scale.record(item.length, item.expected_tokens)


POLICIES = PresentOrder, OrderByNeed


def _open_job(step, now_ms):
    unfinished = [item for item in step.items if item.ended_ms is None]
    due_in_ms = step.due_ms - now_ms
    return OpenJob(
        run=step,
        id=step.id,
        account=step.account,
        priority=1,
        pool="pool",
        due_in_ms=due_in_ms,
        gives_up_in_ms=gives_up_in_ms(due_in_ms, DUE_MS),
        target_groups=step.target,
        whole_groups=len(step.whole_ms_by_group),
        lost_groups=frozenset(),
        resubmitted_groups=frozenset(),
        kept_groups=step.kept,
        waiting=[item for item in unfinished if item.started_ms is None],
        running=[item for item in unfinished if item.started_ms is not None],
        waited_ms=now_ms - step.submitted_ms,
    )


def replay(policy, seed, trainers=3, on_start=lambda *started: None):
    """Run two steps of each trainer; return the steps.

    A trainer submits its second step when the first has ended for it, and then ends
    the job of the first.

    :param seed: of the lengths, which are the same for every order.
    :param on_start: called with the time, the order and the number of free slots.
    """
    rng = random.Random(seed)
    steps = [
        Step(rng, f"trainer-{n}", number, 700 * n if number == 0 else math.inf)
        for number in range(2)
        for n in range(trainers)
    ]
    first, second = steps[:trainers], steps[trainers:]
    running, now_ms, free = [], 0, SLOTS
    while any(step.submitted_ms + GIVE_UP_MS > now_ms for step in steps):
        for before, after in zip(first, second, strict=True):
            if after.submitted_ms > now_ms >= before.ended_ms():
                after.submitted_ms, after.due_ms = now_ms, now_ms + DUE_MS
        while running and running[0][0] <= now_ms:
            _, _, step, item = heapq.heappop(running)
            item.ended_ms, free = now_ms, free + 1
            policy.record_end(item, now_ms)
            members = [other for other in step.items if other.group == item.group]
            if all(other.ended_ms is not None for other in members):
                step.whole_ms_by_group[item.group] = now_ms
        open_steps = [s for s in steps if s.submitted_ms <= now_ms < s.ended_ms()]
        # Engines cancel the items of a job that has ended.
        free += sum(step not in open_steps for _, _, step, _ in running)
        running = [entry for entry in running if entry[2] in open_steps]
        heapq.heapify(running)
        for _, _, _, item in running:
            item.events = range((now_ms - item.started_ms) // EVENT_MS)
        order = list(policy.next_items(open_steps, now_ms)) if free else ()
        on_start(now_ms, order, free)
        for step, item, _ in order[:free]:
            item.started_ms = now_ms
            end_ms = now_ms + item.length * EVENT_MS
            heapq.heappush(running, (end_ms, item.item.id, step, item))
            policy.record_start(step, now_ms)
            free -= 1
        now_ms += EVENT_MS
    return steps


def tally(steps):
    """Return the groups whole in time, those late, and the times of the steps."""
    in_time = [
        whole_ms <= step.due_ms + GRACE_MS
        for step in steps
        for whole_ms in step.whole_ms_by_group.values()
    ]
    waits_ms = [step.ended_ms() - step.submitted_ms for step in steps]
    return sum(in_time), len(in_time) - sum(in_time), waits_ms


class ReplayTest(unittest.TestCase):
    def test_never_fewer_groups_in_time_nor_less_value(self):
        for seed in SEEDS:
            present, by_need = (tally(replay(policy(), seed)) for policy in POLICIES)
            self.assertGreaterEqual(by_need[0], present[0])
            values = [t[0] + LATE_VALUE * t[1] for t in (present, by_need)]
            self.assertGreaterEqual(values[1], values[0])

    def test_two_trainers_wait_less(self):
        """Items of groups that nobody waits for held the slots of the others."""
        waits_ms = [
            sum(sum(tally(replay(policy(), seed, trainers=2))[2]) for seed in SEEDS)
            for policy in POLICIES
        ]
        self.assertLess(waits_ms[1], waits_ms[0])

    def test_no_needed_item_waits_while_a_surplus_one_starts(self):
        surplus_waits = 0

        def check(now_ms, order, free):
            nonlocal surplus_waits
            self.assertEqual(len(order), len({work[1].item.id for work in order}))
            surplus = [w for *_, w in order[:free] if w >= WorkClass.SURPLUS]
            needed_left = [w for *_, w in order[free:] if w <= WorkClass.LATE]
            surplus_waits += sum(w >= WorkClass.SURPLUS for *_, w in order[free:])
            self.assertFalse(surplus and needed_left, now_ms)

        for seed in SEEDS[:2]:
            replay(OrderByNeed(), seed, on_start=check)
        self.assertGreater(surplus_waits, 0)

    def test_no_account_is_starved(self):
        """Another account always has work that is due sooner."""
        policy, rng = OrderByNeed(), random.Random(1)
        small = Step(rng, "small", 0, 0, groups=100)
        small.due_ms = 1_000_000
        big, starts = None, []
        for now_ms in range(0, 30_000, 25):
            if not big or all(item.started_ms is not None for item in big.items):
                big = Step(rng, "big", now_ms, now_ms)
                big.target = 0
            step, item, _ = next(iter(policy.next_items([small, big], now_ms)))
            item.started_ms = item.ended_ms = now_ms
            policy.record_start(step, now_ms)
            starts.append((now_ms, step is small))
            if now_ms < 10_000:
                continue
            recent = [is_small for ms, is_small in starts if now_ms - ms <= 10_000]
            waiting = [sum(i.started_ms is None for i in s.items) for s in (small, big)]
            own_share = (sum(recent) + 1) / (sum(recent) + 1 + waiting[0])
            share = len(recent) / (len(recent) + sum(waiting))
            # The count is judged in steps of one item.
            self.assertGreaterEqual(own_share, share / 4, now_ms)


class OrderTest(unittest.TestCase):
    def job(self, lengths, target=2, **changes):
        """Return a job with an item of each length, by the name of its group."""
        step = Step(random.Random(1), "t", 0, 0, groups=len(lengths), size=1)
        step.target = target
        for item, (group, length) in zip(step.items, lengths.items(), strict=True):
            item.group, item.expected_tokens = group, length
            item.events = range(int(group in changes.get("kept_groups", ())))
        return msgspec.structs.replace(_open_job(step, 0), **changes)

    def order(self, *jobs, slots=SLOTS, starved=()):
        """Return the names of the groups in order, those not needed after a dash."""
        capacity = {"pool": PoolCapacity(slots, EVENT_MS)}
        work, _ = order_work(jobs, capacity, HintScale(), starved)
        needed = [w.item.group for w in work if w.work_class <= WorkClass.LATE]
        others = [w.item.group for w in work if w.work_class > WorkClass.LATE]
        self.assertEqual([w.item.group for w in work], needed + others)
        return "".join((*needed, "-", *others))

    def test_the_cheapest_are_needed_and_those_submitted_again(self):
        lengths = {"a": 200, "b": 100, "c": 40}
        for changes, expected in (
            ({}, "bc-a"),
            ({"resubmitted_groups": "a"}, "ac-b"),
            ({"lost_groups": "c"}, "ab-c"),
        ):
            order = self.order(self.job(lengths, **changes), slots=1)
            self.assertEqual(order, expected)

    def test_nothing_is_put_off_while_the_slots_finish_all_in_time(self):
        """What is put off comes again in the next step, which then waits for it."""
        self.assertEqual(self.order(self.job({"a": 200, "b": 100, "c": 40})), "abc-")

    def test_a_group_with_output_is_replaced_only_by_a_much_shorter_one(self):
        for length, order in ((153, "ab-c"), (300, "bc-a")):
            job = self.job({"a": length, "b": 60, "c": 135}, kept_groups="ab")
            self.assertEqual(set(self.order(job, slots=1)[:2]), set(order[:2]))

    def test_nobodys_work_comes_last_whatever_its_priority_or_account(self):
        urgent = self.job({"a": 30, "b": 60}, target=1, id="u", priority=0)
        starved = self.job({"c": 30, "d": 60}, target=1, id="s", account="s")
        other = self.job({"e": 30, "f": 60}, id="o", due_in_ms=DUE_MS - 1)
        order = self.order(other, starved, urgent, slots=1, starved={"s"})
        self.assertEqual(order, "acfe-bd")

    def test_the_group_with_most_work_is_late_when_not_all_can_be_in_time(self):
        """Longest first, the one that takes the others' time makes them all late."""
        job = self.job({"a": 300, "b": 100, "c": 50}, target=3)
        self.assertEqual(self.order(job, slots=1), "bca-")
        self.assertEqual(self.order(job, slots=2), "abc-")


def main():
    """Print groups in time, groups late and waits in total, by number of trainers."""
    for trainers in (1, 2, 3):
        waits = []
        for policy in POLICIES:
            tallies = [tally(replay(policy(), seed, trainers)) for seed in SEEDS]
            waits.append([wait for *_, ended_ms in tallies for wait in ended_ms])
            sums = [sum(found[n] for found in tallies) for n in (0, 1)]
            print(trainers, policy.__name__, *sums, sum(waits[-1]))
        sooner = sum(new < old for old, new in zip(*waits, strict=True))
        print("steps that end sooner:", sooner, "of", len(waits[0]))


if __name__ == "__main__":
    main()
    unittest.main()
