"""In which order the waiting items of batch jobs are started.

The load this answers: the items of several steps wait for the same slots. A step is
worth something by whole groups that come before it is due, so the step that is due
first goes first, and within it the groups that need the fewest further items.
"""


def order_jobs(jobs):
    """Return jobs with the most urgent first.

    :param jobs: an iterable with ``due_ms`` and ``priority``, such as job runs.
    """
    return sorted(jobs, key=lambda job: (job.priority, job.due_ms))


def order_items(items, unfinished_by_group):
    """Return the waiting items of one job in the order in which to start them.

    Items that have made some of their text go first, then the groups with the
    fewest items to come, in the order in which they were submitted.

    :param items: an iterable with ``group``, ``position`` and ``events``.
    :param unfinished_by_group: how many items of each group are not finished.
    """

    def rank(item):
        return (
            not item.events,
            unfinished_by_group.get(item.group, 0),
            item.position,
        )

    return sorted(items, key=rank)
