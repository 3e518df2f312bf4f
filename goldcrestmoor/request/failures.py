"""What several failed attempts say about one request."""

from goldcrestmoor.errors import Ran


def error_to_report(failures):
    """Return the error that a request ends with after several attempts.

    A request that may have run in any attempt is never reported as not run.

    :param failures: the attempts' errors, oldest first; at least one.
    """
    for error in reversed(failures):
        if error.answer.ran != Ran.NOT_RUN:
            return error
    return failures[-1]
