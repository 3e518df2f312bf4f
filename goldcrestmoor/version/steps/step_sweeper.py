"""Periodic deletion of the records of steps that no trainer completed."""

import logging

from goldcrestmoor.errors import ServiceError

log = logging.getLogger("goldcrestmoor.steps")

CLEANUP_INTERVAL_MS = 600_000
MAX_ROWS_PER_RUN = 1000
DUTY = "step-sweeper"


class StepSweeper:
    """Delete expired records, on the one live host chosen by rendezvous hashing.

    Two hosts that both consider themselves chosen do no harm: each deletes rows by
    their version.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param records: the :class:`~goldcrestmoor.version.steps.step_records.StepRecords`.
    :param ownership: the :class:`~goldcrestmoor.process.ownership.Ownership`.
    :param host_id: this host.
    """

    __slots__ = ("_clock", "_records", "_ownership", "_host_id")

    def __init__(self, *, clock, records, ownership, host_id):
        self._clock = clock
        self._records = records
        self._ownership = ownership
        self._host_id = host_id

    async def run(self):
        """Delete expired records every ``CLEANUP_INTERVAL_MS``, until cancelled."""
        while True:
            await self._clock.sleep_ms(CLEANUP_INTERVAL_MS)
            if self._ownership.preferred_hosts(DUTY, 1) != [self._host_id]:
                continue
            try:
                deleted = await self._records.delete_expired(MAX_ROWS_PER_RUN)
                log.info("Deleted %d expired records of steps.", deleted)
            except ServiceError as e:
                log.info(
                    "Expired steps not deleted; trying again in the next round: %s",
                    e,
                )
