"""The rows of ``SHOW STEPS``: the steps that a host holds."""

COLUMNS = ("account", "step", "pool", "slots", "made", "held", "version", "left_ms")


def make_source(holder):
    """Return a table source for the operators' language.

    :param holder: the :class:`~goldcrestmoor.version.steps.step_holder.StepHolder`.
    :return: an async function without parameters that returns columns and rows.
    """

    async def source():
        return COLUMNS, [_row(state) for state in holder.steps()]

    return source


def _row(state):
    spec = state.spec
    return (
        spec.account,
        spec.step,
        spec.pool,
        len(state.slots),
        len(state.sample_by_slot),
        sum(slot in state.held for slot in state.slots),
        state.trainer_version,
        state.deadline.remaining_ms(),
    )
