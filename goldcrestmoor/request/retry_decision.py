"""Decides whether a request is retried after a failed attempt.

Workload: for a few seconds, some of the upstreams accept requests whose responses are
lost, corrupted or late. A request that may be repeated is sent to another upstream
while there is time for a response; any other request ends at once with an error that
states whether it may have run.
"""

import msgspec

from goldcrestmoor.errors import ErrorKind, Ran
from goldcrestmoor.version.configuration.routes import RetryPolicy

# A further attempt must leave the upstream some time to work.
MIN_ATTEMPT_MS = 30
# A first attempt that may be repeated times out after this fraction of the remaining
# time, but not before the target latency, within which a response is worth most.
FIRST_ATTEMPT_FRACTION = 0.45
# A server with six slots and requests of 25 ms clears a queue of 24 in this time.
RETRY_AFTER_FULL_MS = 100
# Within a few of these intervals, a terminated server is removed from the list, or
# another one is added.
RETRY_AFTER_NONE_MS = 500


class SendAgain(msgspec.Struct, frozen=True):
    """Send the request to another upstream."""


class GiveUp(msgspec.Struct, frozen=True):
    """End the request with an error.

    :param kind: the :class:`~goldcrestmoor.errors.ErrorKind`.
    :param retry_after_ms: the time after which the caller should retry, in
        milliseconds.
    """

    kind: ErrorKind
    retry_after_ms: int


def decide_retry(
    ran,
    retry_policy,
    runs,
    attempts,
    remaining_ms,
    has_alternative,
    crashes_servers=False,
):
    """Decide what follows an attempt that gave no response to forward.

    :param ran: the :class:`~goldcrestmoor.errors.Ran` of all attempts so far: whether
        any of them was, may have been, or certainly was not run.
    :param retry_policy: the route's ``RetryPolicy``.
    :param runs: how many attempts may have been run, including this one.
    :param attempts: how many upstreams may run the request.
    :param remaining_ms: the time left, in milliseconds.
    :param has_alternative: whether there is an upstream that was not tried yet.
    :param crashes_servers: whether it must not be sent again as servers crashed under
        it.
    :return: :class:`SendAgain` or :class:`GiveUp`.
    """
    may_retry = retry_policy is not RetryPolicy.NEVER or ran is Ran.NOT_RUN
    may_retry = may_retry and not crashes_servers
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
    """Return how long an attempt may wait for its response, in milliseconds.

    :param retry_policy: the route's ``RetryPolicy``.
    :param runs: how many earlier attempts may have been run.
    :param attempts: how many upstreams may run the request.
    :param remaining_ms: the time left, in milliseconds.
    :param target_ms: the route's target latency, within which a response is worth most,
        in milliseconds.
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
