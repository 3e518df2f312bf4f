"""Selection of the host that claims the duty to run a model's jobs.

Workload: a model's first job is accepted, or the host that ran its jobs has failed, and
every host sees at the same time that the duty is claimable. The host that accepted the
job has its items in memory and starts without a read. A runner whose process was
restarted is the only one that may claim the duty before its lease expires, and claims
it at once. Otherwise a host of the same availability zone is preferred: the submitter
reads its results there, so a partitioned zone stops only its own trainer, and not the
trainers of other zones whose jobs happen to run in it.

A runner reads every event of a step's items, thousands a second for a step of 160
items, which is more than half a core. Where hosts differ in size, the large ones come
first, even before the small host that accepted the job.
"""

# The host that accepted the job claims the duty within two store calls of some ten
# milliseconds each; other hosts of its zone wait several times as long.
SAME_ZONE_DELAY_MS = 100
# Hosts of other zones wait until hosts of the job's zone have had time to claim.
OTHER_ZONE_DELAY_MS = 350
# Spreads the claims of hosts with the same delay, of which only one can succeed.
JITTER_MS = 200
# A host with less than this runs a model's jobs only if no larger one claims them.
MIN_RUNNER_CORES = 1.0
# Longer than large hosts of the job's zone wait, with the claim itself.
SMALL_HOST_DELAY_MS = 350


def claim_delay_ms(has_job, held_duty, is_same_zone, share, cores=MIN_RUNNER_CORES):
    """Return how long to wait before claiming the duty, in milliseconds.

    :param has_job: whether this host accepted the job.
    :param held_duty: whether an earlier process of this host was the last holder.
    :param is_same_zone: whether the job was accepted in this host's zone.
    :param share: a random number from 0 to 1.
    :param cores: the processor cores that this host may use.
    """
    if held_duty:
        return 0
    delay_ms = SMALL_HOST_DELAY_MS if cores < MIN_RUNNER_CORES else 0
    if has_job:
        return delay_ms
    delay_ms += SAME_ZONE_DELAY_MS if is_same_zone else OTHER_ZONE_DELAY_MS
    return delay_ms + share * JITTER_MS
