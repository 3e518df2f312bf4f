"""The output of items that were not finished when their job ended, in memory.

Workload: a trainer gives up on a step of some hundred items and submits the groups that
were not complete again a moment later, under the same ids. A hundred texts of a hundred
events are about a megabyte. What no later step asks for is dropped.
"""

import collections
import hashlib
import sys

import msgspec

# Several steps of the longest items.
MAX_BYTES = 16_000_000
# Two steps: a group that is submitted again is in the step after the one that ended.
KEPT_MS = 30_000
# What an entry takes beside its events.
ENTRY_OVERHEAD_BYTES = 600
DIGEST_BYTES = 16


class KeptOutput(msgspec.Struct, frozen=True):
    """The output of an unfinished item; without events if it had none.

    :param request_digest: identifies the item's request.
    :param ended_ms: when its job ended.
    :param events: the data of its events.
    :param last_id: the id of the last of them.
    :param versions: the weight versions that generated them, in order of first use.
    :param software_version: the software version that generated them.
    :param is_complete: whether its text is complete.
    """

    request_digest: bytes
    ended_ms: int
    events: tuple[str, ...] = ()
    last_id: str = ""
    versions: tuple[int, ...] = ()
    software_version: str = ""
    is_complete: bool = False

    def fits(self, item, min_version, single_version, current_versions):
        """Return whether an item that was submitted again may go on from it.

        :param item: the :class:`~goldcrestmoor.job.job.Item`.
        :param min_version: the oldest weight version accepted for its output.
        :param single_version: whether its output must come from one weight version.
        :param current_versions: the weight versions that engines have now.
        """
        if not self.events or self.request_digest != _request_digest(item):
            return False
        if min(self.versions) < min_version:
            return False
        if not single_version:
            return True
        return len(self.versions) == 1 and (
            self.is_complete or self.versions[0] in current_versions
        )


class PartialCache:
    """Keeps the output of the unfinished items of ended jobs.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :ivar size: the memory that it takes, in bytes.
    """

    __slots__ = ("size", "_clock", "_output_by_key")

    def __init__(self, *, clock):
        self._clock = clock
        self._output_by_key = collections.OrderedDict()
        self.size = 0

    def keep(self, job, runs):
        """Keep the output of a job's unfinished items.

        :param job: the :class:`~goldcrestmoor.job.job.Job`, which has ended.
        :param runs: their :class:`~goldcrestmoor.job.item_run.ItemRun` values.
        """
        now_ms = self._clock.now_ms()
        for run in runs:
            self.take(job, run.item)
            output = KeptOutput(
                _request_digest(run.item),
                now_ms,
                tuple(run.events),
                run.last_id,
                tuple(run.versions),
                run.software_version,
                run.is_complete,
            )
            self._output_by_key[_key(job, run.item)] = output
            self.size += _size(output)
        while self.size > MAX_BYTES:
            self._remove_oldest()

    def take(self, job, item):
        """Remove and return the :class:`KeptOutput` of an item, or None.

        :param job: the job that the item is submitted with again.
        :param item: the :class:`~goldcrestmoor.job.job.Item`.
        """
        self.expire()
        output = self._output_by_key.pop(_key(job, item), None)
        if output is not None:
            self.size -= _size(output)
        return output

    def expire(self):
        """Remove what has been kept for too long."""
        oldest_ms = self._clock.now_ms() - KEPT_MS
        while self._output_by_key:
            if next(iter(self._output_by_key.values())).ended_ms >= oldest_ms:
                return
            self._remove_oldest()

    def is_empty(self):
        """Return whether nothing is kept."""
        return not self._output_by_key

    def _remove_oldest(self):
        _, output = self._output_by_key.popitem(last=False)
        self.size -= _size(output)


def _key(job, item):
    return job.account, job.model, item.id


def _request_digest(item):
    digest = hashlib.blake2b(item.path.encode(), digest_size=DIGEST_BYTES)
    digest.update(b"\0" + item.body)
    return digest.digest()


def _size(output):
    """Return the bytes that an output takes in memory."""
    event_bytes = sum(map(sys.getsizeof, output.events))
    return event_bytes + sys.getsizeof(output.events) + ENTRY_OVERHEAD_BYTES
