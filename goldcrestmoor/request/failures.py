"""Selection of the error to report after several failed attempts."""

from goldcrestmoor.errors import Ran


def error_to_report(failures):
    """Return the error to report for a request after several attempts.

    A request that may have run in any attempt is never reported as not run.

    :param failures: the errors of the attempts, oldest first; at least one.
    """
    for error in reversed(failures):
        if error.answer.ran != Ran.NOT_RUN:
            return error
    return failures[-1]
