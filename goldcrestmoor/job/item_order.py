"""The order in which the waiting items of batch jobs are started.

Workload: the items of a step arrive together, more than there are slots, and a few are
many times longer than the rest. The value of a step is the number of groups completed
before its deadline, and a long item alone takes most of that time. So the step with the
earliest deadline goes first, and within it the items with the most expected tokens.
"""


def order_jobs(jobs):
    """Return jobs with the most urgent first.

    :param jobs: an iterable with ``due_ms`` and ``priority``, such as job runs.
    """
    return sorted(jobs, key=lambda job: (job.priority, job.due_ms))


def order_items(items):
    """Return the waiting items of one job in the order in which to start them.

    Items that already have output go first, so that the slot time spent on it is not
    wasted.

    :param items: an iterable with ``events``, ``position`` and ``expected_tokens``.
    """
    return sorted(
        items,
        key=lambda item: (not item.events, -item.expected_tokens, item.position),
    )
