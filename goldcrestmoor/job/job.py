"""Batch jobs, their items and their results."""

import msgspec


class RewardCall(msgspec.Struct, frozen=True):
    """The request that scores an item's complete text.

    :param id: the request's id.
    :param host: the host of its route.
    :param path: the target of the request.
    :param body: the body of the request.
    """

    id: str
    host: str
    path: str
    body: bytes


class Item(msgspec.Struct, frozen=True):
    """One request of a batch job.

    :param id: the item's id, unique across all jobs except for resubmitted items.
    :param path: the target of the request.
    :param headers: the headers of the request, by name.
    :param body: the body of the request.
    :param tokens: the token limit, prompt and output together.
    :param group: the group whose items share a prompt; empty for none.
    :param expected_tokens: the submitter's estimate of the output length, accurate
        at the median but often far off for single items; 0 for none.
    :param reward_call: the :class:`RewardCall` whose score its result needs, or None.
    """

    id: str
    path: str
    headers: dict[str, str]
    body: bytes
    tokens: int = 0
    group: str = ""
    expected_tokens: int = 0
    reward_call: RewardCall | None = None


class Job(msgspec.Struct, frozen=True):
    """A batch job as it was submitted.

    :param id: the job's id.
    :param host: the host of the submit request.
    :param path: the path of the submit request.
    :param items: the items, in order.
    :param model: the model that serves the items; empty for none.
    :param min_version: the oldest weight version accepted for the output.
    :param step: the trainer's step.
    :param target_groups: the number of complete groups that the trainer waits for.
    :param account: the client account that it belongs to; empty for none.
    """

    id: str
    host: str
    path: str
    items: tuple[Item, ...]
    model: str = ""
    min_version: int = 0
    step: int = 0
    target_groups: int = 0
    account: str = ""


class JobState(msgspec.Struct, frozen=True):
    """The persisted state of a job, rewritten on each change.

    :param host: the host of the submit request.
    :param path: the path of the submit request.
    :param model: the model that serves the items.
    :param total: the number of items.
    :param submitted_ms: when the job was first submitted, on the store's clock.
    :param object_key: the object that contains the job; empty if it is in rows.
    :param runner: the process that runs the job; empty for none yet.
    :param listed: the number of results listed so far.
    :param is_ended: whether the submitter has ended the job.
    :param zone: the availability zone of the host that accepted it.
    :param account: the client account that the job belongs to; empty for none.
    """

    host: str
    path: str
    model: str
    total: int
    submitted_ms: int
    object_key: str = ""
    runner: str = ""
    listed: int = 0
    is_ended: bool = False
    zone: str = ""
    account: str = ""


class Partial(msgspec.Struct, frozen=True):
    """Events of a running item that follow those stored before.

    :param position: the item's index in the job.
    :param generation: increases when the item restarts from its prompt.
    :param first: the number of events stored before these.
    :param events: the data of the new events.
    :param last_id: the id of the last of them.
    :param versions: the weight versions that generated all events so far.
    :param is_complete: whether the text ends with these events.
    :param software_version: the software version of the engines that generated them.
    """

    position: int
    generation: int
    first: int
    events: tuple[str, ...]
    last_id: str
    versions: tuple[int, ...]
    is_complete: bool = False
    software_version: str = ""


class Result(msgspec.Struct, frozen=True):
    """The final result of an item.

    :param id: the item's id.
    :param is_completed: whether the output is complete; otherwise the item was
        abandoned.
    :param text: the data of all events, one per line.
    :param versions: the weight versions that generated the output.
    :param score: the score that its reward call returned; empty without one.
    """

    id: str
    is_completed: bool
    text: str = ""
    versions: tuple[int, ...] = ()
    score: str = ""
