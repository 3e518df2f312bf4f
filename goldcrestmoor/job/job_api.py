"""Handles requests to submit, read and end batch jobs, on any host."""

import collections
import logging

import msgspec

from goldcrestmoor.clock import Deadline
from goldcrestmoor.errors import ErrorKind, ServiceError

log = logging.getLogger("goldcrestmoor.desk")

# Submitters retry quickly at another host, so a longer timeout here has no benefit.
ACCEPT_TIMEOUT_MS = 2500
# Store outages last seconds. This notices their end soon without overloading the store.
STORE_RETRY_AFTER_MS = 500
# Recently loaded jobs; clients request the bodies of several items in a row.
MAX_JOBS_CACHED = 2


class JobApi:
    """Accept jobs, list results, return bodies and end jobs.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param store: the :class:`~goldcrestmoor.job.job_store.JobStore`.
    :param supervisor: the :class:`~goldcrestmoor.job.job_supervisor.JobSupervisor`.
    :param zone: this host's availability zone.
    :param is_current: returns whether the supervisor's copy of the store is up to date.
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
        """Store a job durably, so that it survives the failure of any process.

        :param job: the :class:`~goldcrestmoor.job.job.Job`.
        :raises ServiceError: ``PLATFORM_UNAVAILABLE`` when the job was certainly
            not accepted, ``OUTCOME_UNKNOWN`` when it may have been, ``NOT_FOUND`` when
            its id belongs to a job of another account.
        """
        known = self._supervisor.state_by_job.get(job.id)
        if known is not None:
            _check_submitter(known.state, job)
            return
        self._check_store_current("stored")
        deadline = Deadline.after(self._clock, ACCEPT_TIMEOUT_MS)
        with self._supervisor.caching(job):
            stored = await self._store.accept(job, self._zone, deadline)
            self._supervisor.update_state(job.id, stored)
            _check_submitter(stored.state, job)
        log.info(
            "Job %s is accepted: %d items of %s, step %d, from version %d on.",
            job.id,
            len(job.items),
            job.model or "no model",
            job.step,
            job.min_version,
        )

    def serves(self, table, host, job_id):
        """Return whether a request in the form of a call for a job is one.

        Jobs remain after their route was removed, until their retention has expired.

        :param table: the ``RouteTable`` in effect.
        :param host: the host name in the request.
        :param job_id: the job.
        """
        if table.has_job_route(host):
            return True
        stored = self._supervisor.state_by_job.get(job_id)
        return stored is not None and stored.state.host == host

    def is_public(self, table, host, job_id):
        """Return whether a call that this serves needs no API key.

        The parameters are those of :meth:`serves`.
        """
        if table.has_job_route(host):
            return table.has_only_public_jobs(host)
        return not self._supervisor.state_by_job[job_id].state.account

    async def results(self, call, max_bytes, account=None):
        """Return a page of a job's results, waiting for one if requested.

        :param call: a :class:`~goldcrestmoor.job.calls.ReadResults`.
        :param max_bytes: the size limit of the page, which has at least one result.
        :param account: the name of the caller's account, empty for none; None where
            callers have no accounts.
        :return: the number of items and a list of
            :class:`~goldcrestmoor.job.job.Result`.
        :raises ServiceError: ``NOT_FOUND``, or ``PLATFORM_UNAVAILABLE`` when the
            store cannot be reached.
        """
        stored = await self._load_state(call.job_id, account)
        if stored.state.listed <= call.after and call.wait_ms:
            await self._supervisor.wait_for_listed(
                call.job_id, call.after, call.wait_ms
            )
            stored = await self._load_state(call.job_id, account)
        if stored.state.listed <= call.after:
            return stored.state.total, []
        results = await self._store.results(call.job_id, call.after, max_bytes)
        return stored.state.total, results

    async def item_body(self, call, account=None):
        """Return the body of an item as it was submitted.

        :param call: a :class:`~goldcrestmoor.job.calls.ReadItem`.
        :param account: as for :meth:`results`.
        :raises ServiceError: ``NOT_FOUND``, or ``PLATFORM_UNAVAILABLE`` when the
            store cannot be reached.
        """
        stored = await self._load_state(call.job_id, account)
        job = await self._load_job(call.job_id, stored.state)
        for item in job.items:
            if item.id == call.item_id:
                return item.body
        raise ServiceError(ErrorKind.NOT_FOUND, "The job has no such item.")

    async def end(self, call, account=None):
        """End a job. Safe to call again.

        :param call: a :class:`~goldcrestmoor.job.calls.EndJob`.
        :param account: as for :meth:`results`.
        :raises ServiceError: ``NOT_FOUND``, or ``PLATFORM_UNAVAILABLE``.
        """
        self._check_store_current("ended")
        stored = await self._load_state(call.job_id, account)
        while not stored.state.is_ended:
            state = msgspec.structs.replace(stored.state, is_ended=True)
            stored = await self._store.change(call.job_id, stored, state)
            if stored is None:
                raise _no_such_job()
            self._supervisor.update_state(call.job_id, stored)
        log.info("Job %s is ended.", call.job_id)

    def _check_store_current(self, action):
        if not self._is_current():
            text = f"The store is not heard, so no job can be {action}."
            raise ServiceError(
                ErrorKind.PLATFORM_UNAVAILABLE, text, STORE_RETRY_AFTER_MS
            )

    async def _load_state(self, job_id, account):
        """Return the state of a job that an account may use."""
        stored = self._supervisor.state_by_job.get(job_id)
        if stored is None or not self._is_current():
            stored = await self._store.state(job_id)
            if stored is None:
                raise _no_such_job()
            self._supervisor.update_state(job_id, stored)
        # A job without an account was submitted on a public route, or before callers
        # had accounts.
        if account is not None and stored.state.account not in ("", account):
            raise _no_such_job()
        return stored

    async def _load_job(self, job_id, state):
        job = self._job_by_id.get(job_id)
        # The id may have been used by another account before.
        if job is None or job.account != state.account:
            job = await self._store.load(job_id, state)
            self._job_by_id[job_id] = job
            if len(self._job_by_id) > MAX_JOBS_CACHED:
                self._job_by_id.popitem(last=False)
        return job


def _check_submitter(state, job):
    """Raise if an id that is submitted belongs to a job of another account."""
    if state.account != job.account:
        raise _no_such_job()


def _no_such_job():
    return ServiceError(ErrorKind.NOT_FOUND, "There is no such job.")
