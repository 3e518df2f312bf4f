"""Selection of the error to report after several failed attempts."""

from goldcrestmoor.errors import ErrorKind, Ran


def error_to_report(failures):
    """Return the error to report for a request after several attempts.

    A request that may have run in any attempt is never reported as not run, and one
    that an upstream rejected for its load never as without an upstream: the rejection
    states when to retry.

    :param failures: the errors of the attempts, oldest first; at least one.
    """
    for error in reversed(failures):
        if error.answer.ran != Ran.NOT_RUN:
            return error
    for error in reversed(failures):
        if error.kind != ErrorKind.NO_UPSTREAM:
            return error
    return failures[-1]
