"""Answers what submitters and readers ask of batch jobs, on any host."""

import collections
import logging

import msgspec

from goldcrestmoor.clock import Deadline
from goldcrestmoor.errors import ErrorKind, ServiceError

log = logging.getLogger("goldcrestmoor.desk")

# Submitters come back quickly, to another host: longer trying here helps nobody.
ACCEPT_TIMEOUT_MS = 2500
# Outages of the store last seconds; submitters hear of its end soon and don't press it.
STORE_RETRY_AFTER_MS = 500
# Jobs whose bodies were asked for lately; clients ask for several items in a row.
MAX_JOBS_CACHED = 2


class JobApi:
    """Accept jobs, list results, return bodies and end jobs.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param store: the :class:`~goldcrestmoor.job.job_store.JobStore`.
    :param supervisor: the :class:`~goldcrestmoor.job.job_supervisor.JobSupervisor`.
    :param zone: this host's availability zone.
    :param is_current: tells whether the board has heard from the store lately.
    """

    __slots__ = (
        "_clock",
        "_store",
        "_supervisor",
        "_zone",
        "_is_current",
        "_job_by_id",
    )

    def __init__(self, *, clock, store, supervisor, zone, is_current):
        self._clock = clock
        self._store = store
        self._supervisor = supervisor
        self._zone = zone
        self._is_current = is_current
        self._job_by_id = collections.OrderedDict()

    async def submit(self, job):
        """Accept a job, so that it is kept whole whatever dies.

        :param job: the :class:`~goldcrestmoor.job.job.Job`.
        :raises ServiceError: ``PLATFORM_UNAVAILABLE`` when it surely was not
            accepted, ``OUTCOME_UNKNOWN`` when it may have been.
        """
        if job.id in self._supervisor.state_by_job:
            return
        self._check_store_current("kept")
        deadline = Deadline.after(self._clock, ACCEPT_TIMEOUT_MS)
        with self._supervisor.caching(job):
            stored = await self._store.accept(job, self._zone, deadline)
            self._supervisor.update_state(job.id, stored)
        log.info(
            "Job %s is accepted: %d items of %s, step %d, from version %d on.",
            job.id,
            len(job.items),
            job.model or "no model",
            job.step,
            job.min_version,
        )

    async def results(self, call, max_bytes):
        """Return a page of a job's results, waiting for one where that is asked.

        :param call: a :class:`~goldcrestmoor.job.calls.ReadResults`.
        :param max_bytes: how much text to return, but at least one result.
        :return: the number of items and a list of
            :class:`~goldcrestmoor.job.job.Result`.
        :raises ServiceError: ``NOT_FOUND``, or ``PLATFORM_UNAVAILABLE`` when that
            cannot be told.
        """
        stored = await self._load_state(call.job_id)
        if stored.state.listed <= call.after and call.wait_ms:
            await self._supervisor.wait_for_listed(
                call.job_id, call.after, call.wait_ms
            )
            stored = await self._load_state(call.job_id)
        if stored.state.listed <= call.after:
            return stored.state.total, []
        results = await self._store.results(call.job_id, call.after, max_bytes)
        return stored.state.total, results

    async def item_body(self, call):
        """Return the body of an item as it was submitted.

        :param call: a :class:`~goldcrestmoor.job.calls.ReadItem`.
        :raises ServiceError: ``NOT_FOUND``, or ``PLATFORM_UNAVAILABLE`` when that
            cannot be told.
        """
        stored = await self._load_state(call.job_id)
        job = await self._load_job(call.job_id, stored.state)
        for item in job.items:
            if item.id == call.item_id:
                return item.body
        raise ServiceError(ErrorKind.NOT_FOUND, "The job has no such item.")

    async def end(self, call):
        """End a job, however often asked.

        :param call: a :class:`~goldcrestmoor.job.calls.EndJob`.
        :raises ServiceError: ``NOT_FOUND``, or ``PLATFORM_UNAVAILABLE``.
        """
        self._check_store_current("ended")
        stored = await self._load_state(call.job_id)
        while not stored.state.is_ended:
            state = msgspec.structs.replace(stored.state, is_ended=True)
            stored = await self._store.change(call.job_id, stored, state)
            if stored is None:
                raise ServiceError(ErrorKind.NOT_FOUND, "There is no such job.")
            self._supervisor.update_state(call.job_id, stored)
        log.info("Job %s is ended.", call.job_id)

    def _check_store_current(self, action):
        if not self._is_current():
            text = f"The store is not heard, so no job can be {action}."
            raise ServiceError(
                ErrorKind.PLATFORM_UNAVAILABLE, text, STORE_RETRY_AFTER_MS
            )

    async def _load_state(self, job_id):
        stored = self._supervisor.state_by_job.get(job_id)
        if stored is not None and self._is_current():
            return stored
        stored = await self._store.state(job_id)
        if stored is None:
            raise ServiceError(ErrorKind.NOT_FOUND, "There is no such job.")
        self._supervisor.update_state(job_id, stored)
        return stored

    async def _load_job(self, job_id, state):
        job = self._job_by_id.get(job_id)
        if job is None:
            job = await self._store.load(job_id, state)
            self._job_by_id[job_id] = job
            if len(self._job_by_id) > MAX_JOBS_CACHED:
                self._job_by_id.popitem(last=False)
        return job
