"""In which order the waiting items of batch jobs are started.

The load this answers: a step's items come all at once, more than there are slots, and
a few are many times longer than the rest. A step is worth something by whole groups
that come before it is due, and a long item takes most of that time by itself. So the
step that is due first goes first, and within it the longest items, by their hints.
"""


def order_jobs(jobs):
    """Return jobs with the most urgent first.

    :param jobs: an iterable with ``due_ms`` and ``priority``, such as job runs.
    """
    return sorted(jobs, key=lambda job: (job.priority, job.due_ms))


def order_items(items):
    """Return the waiting items of one job in the order in which to start them.

    Items that have made some of their text go first: their slots were paid for.

    :param items: an iterable with ``events``, ``position`` and ``expected_tokens``.
    """
    return sorted(
        items,
        key=lambda item: (not item.events, -item.expected_tokens, item.position),
    )
