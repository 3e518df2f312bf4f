"""Which engines are ordered to load which weight version next.

The load this answers: trainers name a version every few seconds, and the step that
follows may still use the version before it. An engine that loads runs nothing new
for about a second, and loads get longer when many happen at once. So engines load a
few at a time, and where several models share the engines, each model has its own
part of them: one load an engine and version, not one for each model.
"""

import msgspec

from goldcrestmoor.util import rendezvous_order

# More loads at the same time than this share of the engines slow one another down.
LOADING_SHARE = 0.4


class EngineWeights(msgspec.Struct, frozen=True):
    """One engine as the plan sees it.

    :param name: the engine's name.
    :param version_by_model: the weight version of each model that it holds.
    :param is_loading: whether an order to it is not settled yet.
    """

    name: str
    version_by_model: dict[str, int]
    is_loading: bool = False


class Load(msgspec.Struct, frozen=True):
    """One order to give.

    :param engine: the engine's name.
    :param model: the model.
    :param version: the weight version.
    """

    engine: str
    model: str
    version: int


def plan_loads(engines, version_by_model):
    """Yield the orders to give now.

    :param engines: a list of :class:`EngineWeights`.
    :param version_by_model: the newest version that is named, by model.
    """
    room = _room(engines)
    loading = {engine.name for engine in engines if engine.is_loading}
    assigned = assign(engines, version_by_model)
    behind = [
        Load(engine.name, model, version)
        for model, version in sorted(version_by_model.items())
        for engine in assigned[model]
        if engine.version_by_model.get(model, 0) < version
    ]
    lag_by_load = {
        (load.engine, load.model): load.version - _held(engines, load)
        for load in behind
    }
    # What lags most can serve no step any more.
    behind.sort(key=lambda load: -lag_by_load[load.engine, load.model])
    for load in behind:
        if room <= 0:
            return
        if load.engine in loading:
            continue
        loading.add(load.engine)
        room -= 1
        yield load


def assign(engines, version_by_model):
    """Return each model's engines: those that have followed it, up to its part.

    :param engines: a list of :class:`EngineWeights`.
    :param version_by_model: the newest version that is named, by model.
    """
    models = sorted(version_by_model)
    if len(models) <= 1:
        return {model: list(engines) for model in models}
    engine_by_name = {engine.name: engine for engine in engines}
    free = set(engine_by_name)
    assigned = {model: [] for model in models}
    quota = max(1, len(engines) // len(models))
    for model in models:
        order = rendezvous_order(model, sorted(free))
        # The sort is stable: engines that hold the same version keep their order.
        order.sort(key=lambda name: -_held_of(engine_by_name[name], model))
        for name in order[:quota]:
            assigned[model].append(engine_by_name[name])
            free.discard(name)
    for number, name in enumerate(sorted(free)):
        assigned[models[number % len(models)]].append(engine_by_name[name])
    return assigned


def _room(engines):
    loading = sum(engine.is_loading for engine in engines)
    return max(1, int(len(engines) * LOADING_SHARE)) - loading


def _held(engines, load):
    return next(_held_of(e, load.model) for e in engines if e.name == load.engine)


def _held_of(engine, model):
    return engine.version_by_model.get(model, 0)
