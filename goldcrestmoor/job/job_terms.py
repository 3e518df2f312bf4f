"""Decides what the configuration in effect asks of an open batch job.

Workload: a job is open for seconds or minutes, and meanwhile the operator changes its
route: gives slow engines more time, allows fewer attempts, moves it to another service,
removes it and brings it back. The configuration that is in effect when something is
decided counts, not that of the job's acceptance, so nothing here is copied into a job
that runs.
"""

import msgspec

from goldcrestmoor.version.configuration.routes import Route


class RouteRemoved(msgspec.Struct, frozen=True):
    """An item is abandoned, as its job no longer has a route."""


class Expired(msgspec.Struct, frozen=True):
    """An item is abandoned, as its job's time has passed."""


class TooManyFailures(msgspec.Struct, frozen=True):
    """An item is abandoned, as engines reported too often that it failed.

    :param count: how often.
    """

    count: int


class JobTerms(msgspec.Struct, frozen=True):
    """The terms of one job by one configuration.

    :param route: the job's
        :class:`~goldcrestmoor.version.configuration.routes.Route`; None if it was
        removed.
    :param priority: the priority of its account, else of its route; 0 is the most
        urgent.
    """

    route: Route | None
    priority: int

    @property
    def due_after_ms(self):
        """The time from submission until its results are due, in milliseconds."""
        return self.route.job.due_after_ms if self.route else 0

    @property
    def expire_after_ms(self):
        """The time from submission after which items may be abandoned."""
        return self.route.job.expire_after_ms if self.route else 0

    @property
    def single_version(self):
        """Whether a result may come from one weight version only."""
        return self.route is not None and self.route.job.single_version

    @property
    def services(self):
        """The services that run its items; empty without a route."""
        return self.route.services if self.route else ()

    def abandon_reason(self, age_ms, failures, is_running):
        """Return why an item is abandoned, one of the classes above, or None.

        An attempt in progress may complete the output, so only the job's time ends it.

        :param age_ms: the time since the job was submitted.
        :param failures: how often engines reported that the item failed.
        :param is_running: whether an attempt is in progress.
        """
        if self.route is None:
            return None if is_running else RouteRemoved()
        if age_ms >= self.expire_after_ms:
            return Expired()
        if not is_running and failures >= self.route.attempts:
            return TooManyFailures(failures)
        return None


def job_terms(table, job):
    """Return the :class:`JobTerms` of a job.

    :param table: the ``RouteTable`` in effect.
    :param job: the :class:`~goldcrestmoor.job.job.Job`.
    """
    # The items' own paths select no route: another route may cover them.
    route = table.match_job(job.host, job.path)
    if route is None:
        return JobTerms(None, 0)
    return JobTerms(route, table.priority_of(route, job.account))
