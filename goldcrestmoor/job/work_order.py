"""The order in which waiting items are started where callers have accounts.

Workload: three trainers each submit a step of some hundred items, together more work
than the slots finish before the steps are due. A trainer waits for nine groups in ten,
each of which counts in full when it is whole in time, for three eighths until the
trainer gives up, and not at all later. Lengths are heavy-tailed and the hints are right
only at the median. So items are classed by what a delay costs: the groups that a step
needs and that can be in time go first, by deadline, and when they are more than the
slots finish, the groups with the most work are left for later, as each of them takes
the time of several others. Groups that no trainer waits for fill the slots that are
left over. While the slots finish all groups well in time, none is put off: work that is
put off comes again, and delays the steps after it.
"""

import collections
import enum
import heapq
import statistics

import msgspec

# A group counts in full when it is read this long after it was due.
GRACE_MS = 700
# From the last event of a group until its trainer has read it: two batched writes and
# the reader's round trip.
LISTING_MS = 200
# Trainers wait 12 s for results that are due after 7.5 s.
GIVE_UP_FACTOR = 1.6
# The events of an item without a hint, about as many as items have on average.
UNKNOWN_EVENTS = 20
# An item is expected to go on for at least this share of the events that it has. With
# heavy-tailed lengths, one that exceeds its hint is likely to exceed it by far.
OVERRUN_SHARE = 0.3
# A group that was needed and has output is replaced only by one that is expected to
# finish in less than this share of its time, so that the choice doesn't flip.
REPLACE_SHARE = 0.7
# Slots are short once the open work exceeds this share of what they do in its time.
# Lengths are underestimated by hints, and a step's last long items leave slots idle.
FULL_SHARE = 0.6
# The window over which accounts are compared.
SERVED_WINDOW_MS = 10_000
# Below this share of the average, an account goes first at its priority.
STARVED_SHARE = 0.25
# Work that has just arrived is not starved. An account that is served a quarter as
# often as all has had its share within a quarter of the window.
STARVED_AFTER_MS = 2500
# Finished items whose lengths correct the hints; one step has some hundred.
LENGTH_SAMPLES = 200
# With fewer finished items, hints are used as they are.
MIN_LENGTH_SAMPLES = 20


class WorkClass(enum.IntEnum):
    """What a delay of an item costs, the most first."""

    NEEDED = 0
    LATE = 1
    SURPLUS = 2
    INFEASIBLE = 3


class OpenJob(msgspec.Struct, frozen=True):
    """A job with unfinished items.

    :param run: identifies the job to the caller, such as a job run.
    :param id: the job's id.
    :param account: the client account that it belongs to.
    :param priority: 0 is the most urgent.
    :param pool: identifies the engines that run its items.
    :param due_in_ms: the time until its results are due; negative when it has passed.
    :param gives_up_in_ms: the time until its trainer gives up.
    :param target_groups: the number of whole groups that its trainer waits for; 0 for
        all.
    :param whole_groups: the number of groups without an unfinished item.
    :param lost_groups: the groups that can't become whole.
    :param resubmitted_groups: the groups that an ended job had left unfinished.
    :param kept_groups: the groups that were needed at the previous decision.
    :param waiting: the items that wait for an engine, with ``group``, ``item``,
        ``events``, ``expected_tokens``, ``position`` and ``is_complete``.
    :param running: the other unfinished items.
    :param waited_ms: how long the job has waited for its items.
    """

    run: object
    id: str
    account: str
    priority: int
    pool: object
    due_in_ms: float
    gives_up_in_ms: float
    target_groups: int
    whole_groups: int
    lost_groups: frozenset
    resubmitted_groups: frozenset
    kept_groups: frozenset
    waiting: list
    running: list
    waited_ms: float = 0


class PoolCapacity(msgspec.Struct, frozen=True):
    """The engines that run a set of jobs.

    :param slots: the number of items that they run at a time.
    :param ms_per_event: the usual time per event.
    """

    slots: int
    ms_per_event: float


class Work(msgspec.Struct, frozen=True):
    """A waiting item in its place of the order.

    :param run: that of its :class:`OpenJob`.
    :param item: the item.
    :param work_class: its :class:`WorkClass`.
    """

    run: object
    item: object
    work_class: WorkClass


class _Group:
    """An unfinished group.

    :ivar longest_ms: the expected time until its longest item is complete.
    :ivar total_ms: the expected slot time of all its items.
    :ivar has_output: whether any item has begun.
    """

    __slots__ = ("key", "job", "longest_ms", "total_ms", "has_output", "work_class")

    def __init__(self, key, job):
        self.key = key
        self.job = job
        self.longest_ms = 0
        self.total_ms = 0
        self.has_output = False
        self.work_class = WorkClass.SURPLUS

    @property
    def is_resubmitted(self):
        """Whether an ended job had left it unfinished."""
        return self.key in self.job.resubmitted_groups

    @property
    def time_ms(self):
        """The time until its last event must be there for the group to be in time."""
        return self.job.due_in_ms + GRACE_MS - LISTING_MS

    @property
    def give_up_ms(self):
        """The time until its last event must be there before the trainer gives up."""
        return self.job.gives_up_in_ms - LISTING_MS

    @property
    def cost(self):
        """The sort key of how soon it is expected to be whole."""
        is_kept = self.has_output and self.key in self.job.kept_groups
        factor = REPLACE_SHARE if is_kept else 1
        return self.longest_ms * factor, self.total_ms * factor


class HintScale:
    """How many events items have in proportion to their length hints.

    Hints count tokens, of which an event may hold several, and they are right at the
    median, while the mean decides how much work there is.
    """

    __slots__ = ("_samples", "_factor")

    def __init__(self):
        self._samples = collections.deque(maxlen=LENGTH_SAMPLES)
        self._factor = 1.0

    def record(self, events, expected_tokens):
        """Record the length of a finished item.

        :param events: the number of its events.
        :param expected_tokens: its hint; 0 for none.
        """
        if not expected_tokens:
            return
        self._samples.append((events, expected_tokens))
        if len(self._samples) >= MIN_LENGTH_SAMPLES:
            made = sum(events for events, _ in self._samples)
            self._factor = made / sum(expected for _, expected in self._samples)

    def remaining_events(self, item):
        """Return how many events an item is expected to make from now on.

        :param item: as in :class:`OpenJob`.
        """
        if item.is_complete:
            return 0
        made = len(item.events)
        expected = item.expected_tokens * self._factor or UNKNOWN_EVENTS
        return max(1, expected - made, made * OVERRUN_SHARE)


class ServedAccounts:
    """The starts of items by account in the last seconds."""

    __slots__ = ("_starts", "_count_by_account")

    def __init__(self):
        self._starts = collections.deque()
        self._count_by_account = collections.Counter()

    def record(self, account, now_ms):
        """Record that an item was started.

        :param account: the account of its job.
        :param now_ms: the time.
        """
        self._starts.append((now_ms, account))
        self._count_by_account[account] += 1

    def starved(self, jobs, now_ms):
        """Return the accounts that were served much less often than all together.

        An account is compared by the share of its items that were started, so that one
        with few items is not starved because it needs few slots.

        :param jobs: a list of :class:`OpenJob`.
        :param now_ms: the time.
        """
        while self._starts and now_ms - self._starts[0][0] > SERVED_WINDOW_MS:
            _, account = self._starts.popleft()
            self._count_by_account[account] -= 1
        waiting = collections.Counter()
        waited_ms = collections.Counter()
        for job in jobs:
            if job.waiting:
                waiting[job.account] += len(job.waiting)
                waited_ms[job.account] = max(waited_ms[job.account], job.waited_ms)
        started = len(self._starts)
        if not started:
            return frozenset()
        bound = STARVED_SHARE * started / (started + waiting.total())
        return frozenset(
            account
            for account, count in waiting.items()
            if waited_ms[account] >= STARVED_AFTER_MS
            and self._count_by_account[account]
            < bound * (self._count_by_account[account] + count)
        )


def gives_up_in_ms(due_in_ms, due_after_ms):
    """Return the time until a trainer gives up, which no configuration states.

    :param due_in_ms: the time until the results are due.
    :param due_after_ms: the time from submission until then.
    """
    return due_in_ms + due_after_ms * (GIVE_UP_FACTOR - 1)


def pool_capacity(loads, unknown_ms_per_event):
    """Return the :class:`PoolCapacity` of engines.

    The slots that other hosts use are not known. An engine that rejects work has no
    more of them for this host than it uses now.

    :param loads: a list of :class:`~goldcrestmoor.job.engine_choice.EngineLoad`.
    :param unknown_ms_per_event: the time per event while no engine was measured.
    """
    known_ms = [load.ms_per_event for load in loads if load.ms_per_event is not None]
    return PoolCapacity(
        sum(load.in_flight if load.is_blocked else load.slots for load in loads),
        statistics.median(known_ms) if known_ms else unknown_ms_per_event,
    )


def order_work(jobs, capacity_by_pool, scale, starved=frozenset()):
    """Return the waiting items in the order in which to start them.

    :param jobs: a list of :class:`OpenJob`.
    :param capacity_by_pool: a :class:`PoolCapacity` for each pool of the jobs.
    :param scale: the :class:`HintScale`.
    :param starved: the accounts that go first at their priority.
    :return: a list of :class:`Work`, and the needed groups by job id, for the
        ``kept_groups`` of the next decision.
    """
    group_by_job, needed_by_job = {}, {}
    groups_by_pool = collections.defaultdict(list)
    for job in jobs:
        groups = _groups(job, capacity_by_pool[job.pool], scale)
        group_by_job[job.id] = groups
        groups_by_pool[job.pool] += groups.values()
        needed = list(_choose_needed(job, groups.values()))
        needed_by_job[job.id] = frozenset(group.key for group in needed)
        for group in needed:
            group.work_class = WorkClass.NEEDED
    for pool, groups in groups_by_pool.items():
        _mark_late(groups, capacity_by_pool[pool].slots)
    ordered = []
    for job in jobs:
        groups = group_by_job[job.id]
        for item in job.waiting:
            work_class = groups[group_key(item)].work_class
            key = _order_key(job, item, work_class, scale, starved)
            ordered.append((key, Work(job.run, item, work_class)))
    ordered.sort(key=lambda entry: entry[0])
    return [work for _, work in ordered], needed_by_job


def group_key(item):
    """Return what identifies an item's group; one without a group is its own.

    :param item: as in :class:`OpenJob`.
    """
    return item.group or item.item.id


def _groups(job, capacity, scale):
    """Return a job's unfinished groups by key."""
    groups = {}
    for item in (*job.waiting, *job.running):
        key = group_key(item)
        group = groups.get(key)
        if group is None:
            group = groups[key] = _Group(key, job)
        item_ms = scale.remaining_events(item) * capacity.ms_per_event
        group.longest_ms = max(group.longest_ms, item_ms)
        group.total_ms += item_ms
        group.has_output = group.has_output or bool(item.events)
    return groups


def _choose_needed(job, groups):
    """Yield the groups that the trainer waits for; class lost ones as infeasible."""
    others = []
    left = job.target_groups - job.whole_groups
    for group in groups:
        if group.key in job.lost_groups:
            group.work_class = WorkClass.INFEASIBLE
        elif group.is_resubmitted or not job.target_groups:
            left -= 1
            yield group
        else:
            others.append(group)
    others.sort(key=lambda group: group.cost)
    yield from others[: max(0, left)]


def _mark_late(groups, slots):
    """Class groups by whether they can be in time, if the slots allow.

    While the slots finish all groups in time, all count as needed, also those that no
    trainer waits for: one that is not complete when its step ends comes again in the
    next step and is waited for there.

    :param groups: the groups of one pool, with the needed ones classed so.
    :param slots: the number of its slots.
    """
    open_groups = [g for g in groups if g.work_class is not WorkClass.INFEASIBLE]
    for group in open_groups:
        if group.longest_ms > group.give_up_ms:
            group.work_class = WorkClass.INFEASIBLE
    possible = [g for g in open_groups if g.work_class is not WorkClass.INFEASIBLE]
    if _fit(possible, slots):
        for group in possible:
            group.work_class = WorkClass.NEEDED
        return
    _leave_late([g for g in possible if g.work_class is WorkClass.NEEDED], slots)


def _fit(groups, slots):
    """Return whether the slots finish the work of groups well before their deadlines.

    A group whose longest item can't be in time any more has until its trainer gives up.
    """
    load_ms = 0
    for deadline_ms, total_ms in sorted(
        (g.time_ms if g.longest_ms <= g.time_ms else g.give_up_ms, g.total_ms)
        for g in groups
    ):
        load_ms += total_ms
        if load_ms > deadline_ms * slots * FULL_SHARE:
            return False
    return True


def _leave_late(groups, slots):
    """Class needed groups as late that would make others late.

    Groups are admitted by deadline. While their work exceeds what the slots do until
    the deadline at hand, the one with the most work is left for later: the rule of
    Moore and Hodgson, which leaves the fewest jobs late on one machine. Groups that
    were submitted again are left last, else the longest would be left in each step.
    """
    admitted, load_ms, priority = [], 0, None
    groups.sort(key=lambda group: (group.job.priority, group.job.due_in_ms))
    for number, group in enumerate(groups):
        if group.longest_ms > group.time_ms:
            group.work_class = WorkClass.LATE
            continue
        if group.job.priority != priority:
            # Work of a more urgent priority is never left for less urgent work.
            admitted, priority = [], group.job.priority
        load_ms += group.total_ms
        entry = group.is_resubmitted, -group.total_ms, number, group
        heapq.heappush(admitted, entry)
        while admitted and load_ms > group.time_ms * max(1, slots):
            *_, left = heapq.heappop(admitted)
            left.work_class = WorkClass.LATE
            load_ms -= left.total_ms


def _order_key(job, item, work_class, scale, starved):
    return (
        # No caller waits for surplus or infeasible work, whatever its priority.
        max(work_class, WorkClass.LATE),
        job.priority,
        job.account not in starved,
        work_class,
        job.due_in_ms,
        job.id,
        not item.events,
        -scale.remaining_events(item),
        item.position,
    )
