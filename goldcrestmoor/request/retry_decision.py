"""What becomes of a request after a try of it has ended.

The load this answers: an upstream takes a request and its answer is lost, spoilt or
late, in a burst of a few seconds at a share of the upstreams. A request that may be
repeated is sent to another upstream while there is time for an answer; all others
end at once with what is known of them.
"""

import msgspec

from goldcrestmoor.errors import ErrorKind, Ran
from goldcrestmoor.version.configuration.routes import RetryPolicy

# A further try must leave the upstream some time to work.
MIN_ATTEMPT_MS = 30
# A first try that may be repeated gives way to the second after this share of the
# time that is left, or after the time within which an answer is worth most.
FIRST_ATTEMPT_FRACTION = 0.45
# A server of six slots and requests of 25 ms works off a queue of 24 in this time.
RETRY_AFTER_FULL_MS = 100
# A server that has gone leaves the list, or another comes, within a few of these.
RETRY_AFTER_NONE_MS = 500


class SendAgain(msgspec.Struct, frozen=True):
    """Send it to another upstream."""


class GiveUp(msgspec.Struct, frozen=True):
    """End it with an error.

    :param kind: the :class:`~goldcrestmoor.errors.ErrorKind`.
    :param retry_after_ms: when the caller should come back.
    """

    kind: ErrorKind
    retry_after_ms: int


def decide_retry(ran, retry_policy, runs, attempts, remaining_ms, has_alternative):
    """Decide what follows a try that gave no answer to pass on.

    :param ran: the :class:`~goldcrestmoor.errors.Ran` of all tries so far: whether
        any of them was, may have been, or surely was not run.
    :param retry_policy: the route's ``RetryPolicy``.
    :param runs: how many tries may have been run, this one included.
    :param attempts: how many upstreams may run the request.
    :param remaining_ms: the time left, in milliseconds.
    :param has_alternative: whether there is an upstream that it was not sent to.
    :return: :class:`SendAgain` or :class:`GiveUp`.
    """
    may_retry = retry_policy is not RetryPolicy.NEVER or ran is Ran.NOT_RUN
    if (
        may_retry
        and has_alternative
        and runs < attempts
        and remaining_ms > MIN_ATTEMPT_MS
    ):
        return SendAgain()
    if ran is Ran.NOT_RUN:
        return GiveUp(ErrorKind.OVERLOADED, RETRY_AFTER_FULL_MS)
    if remaining_ms <= MIN_ATTEMPT_MS:
        return GiveUp(ErrorKind.UPSTREAM_TIMEOUT, 0)
    return GiveUp(ErrorKind.UPSTREAM_FAILED, 0)


def attempt_timeout_ms(
    retry_policy, runs, attempts, remaining_ms, target_ms, has_alternative
):
    """Return how long a try may wait for its answer, in milliseconds.

    :param retry_policy: the route's ``RetryPolicy``.
    :param runs: how many tries came before.
    :param attempts: how many upstreams may run the request.
    :param remaining_ms: the time left.
    :param target_ms: the time within which an answer is worth most.
    :param has_alternative: whether there is another upstream to try after this one.
    """
    is_last = (
        retry_policy is not RetryPolicy.IDEMPOTENT
        or runs + 1 >= attempts
        or not has_alternative
    )
    if is_last:
        return remaining_ms
    timeout_ms = remaining_ms * FIRST_ATTEMPT_FRACTION
    return min(remaining_ms, max(timeout_ms, target_ms))
