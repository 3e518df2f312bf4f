"""Requests to submit, read and end batch jobs."""

import msgspec


class SubmitJob(msgspec.Struct, frozen=True):
    """Accept the job in the request's body."""


class ReadResults(msgspec.Struct, frozen=True):
    """Return listed results.

    :param job_id: the job.
    :param after: the position of the first result to return.
    :param wait_ms: how long the response may wait for a result, in milliseconds.
    """

    job_id: str
    after: int
    wait_ms: int


class ReadItem(msgspec.Struct, frozen=True):
    """Return the body of an item.

    :param job_id: the job.
    :param item_id: the item.
    """

    job_id: str
    item_id: str


class EndJob(msgspec.Struct, frozen=True):
    """Start no more items of a job.

    :param job_id: the job.
    """

    job_id: str
