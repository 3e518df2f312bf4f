"""Batch jobs, their items and their results."""

import msgspec


class Item(msgspec.Struct, frozen=True):
    """One request of a batch job.

    :param id: its id, unique among all jobs but for items that are asked again.
    :param path: the target of its request.
    :param headers: the headers of its request, by name.
    :param body: the body of its request.
    :param tokens: the most tokens that it may take, prompt and output together.
    :param group: the group whose items share a prompt; empty for none.
    :param expected_tokens: its submitter's guess at the output's length, right at
        the median and often far off; 0 for none.
    """

    id: str
    path: str
    headers: dict[str, str]
    body: bytes
    tokens: int = 0
    group: str = ""
    expected_tokens: int = 0


class Job(msgspec.Struct, frozen=True):
    """A batch job as it was submitted.

    :param id: its id.
    :param host: the host that its submitter named.
    :param path: the path that it was submitted to.
    :param items: its items, in order.
    :param model: the model that its items are for; empty for none.
    :param min_version: the oldest weight version that may make its tokens.
    :param step: the trainer's step.
    :param target_groups: how many whole groups the trainer waits for.
    """

    id: str
    host: str
    path: str
    items: tuple[Item, ...]
    model: str = ""
    min_version: int = 0
    step: int = 0
    target_groups: int = 0


class JobState(msgspec.Struct, frozen=True):
    """What is written of a job each time that something changes.

    :param host: the host that its submitter named.
    :param path: the path that it was submitted to.
    :param model: the model that its items are for.
    :param total: how many items it has.
    :param submitted_ms: when it was first submitted, on the store's clock.
    :param object_key: the object that keeps the job itself; empty where rows do.
    :param runner: the process that runs it; empty for none yet.
    :param listed: how many results have been listed.
    :param is_ended: whether its submitter has ended it.
    :param zone: the availability zone of the host that accepted it.
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


class Partial(msgspec.Struct, frozen=True):
    """Events that a running item has made since the last that were kept.

    :param position: the item's place in the job.
    :param generation: grows when the item starts over from its prompt.
    :param first: how many of its events were kept before.
    :param events: the data of the new events.
    :param last_id: the id of the last of them.
    :param versions: the weight versions that made all events so far.
    """

    position: int
    generation: int
    first: int
    events: tuple[str, ...]
    last_id: str
    versions: tuple[int, ...]


class Result(msgspec.Struct, frozen=True):
    """What became of an item.

    :param id: the item's id.
    :param is_completed: whether the text is whole; else the item was given up.
    :param text: the data of all events, one a line.
    :param versions: the weight versions that made the text.
    """

    id: str
    is_completed: bool
    text: str = ""
    versions: tuple[int, ...] = ()
