"""Which host takes the duty to run a model's jobs when nobody holds it.

The load this answers: a model's first job is accepted, or the host that ran its jobs
is gone, and every host sees at once that the duty is free. The host that accepted the
job has its items at hand and starts without a read. A runner whose process was
restarted is the only one that may take the duty before it lapses, and takes it back at
once. Else a host of the same availability zone is preferred: the submitter reads its
results there, so that a zone that is cut off stops its own trainer only, and not those
whose jobs happen to be run in it.
"""

# The host that accepted the job takes the duty within two calls to the store, of some
# ten milliseconds each; hosts beside it leave it several times as long.
SAME_ZONE_DELAY_MS = 100
# Hosts of other zones leave those of the job's zone time for the same.
OTHER_ZONE_DELAY_MS = 350
# Spreads the claims of hosts that are equally near, of which one can succeed.
JITTER_MS = 200


def claim_delay_ms(has_job, held_duty, is_same_zone, share):
    """Return how long to wait before the duty is claimed, in milliseconds.

    :param has_job: whether this host has accepted the job.
    :param held_duty: whether an earlier process of this host held the duty last.
    :param is_same_zone: whether a host of this one's zone has accepted it.
    :param share: a random number from 0 to 1.
    """
    if has_job or held_duty:
        return 0
    return (
        SAME_ZONE_DELAY_MS if is_same_zone else OTHER_ZONE_DELAY_MS
    ) + share * JITTER_MS
