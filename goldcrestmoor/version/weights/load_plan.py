"""Which engines are ordered to load which weight version next.

The load this answers: trainers name a version every few seconds, and the step that
follows may still use the version before it. An engine that loads finishes what it
runs but begins nothing for about a second, and loads get longer when many happen at
once. So engines load when nothing waits for them, and an engine that can still serve
the waiting items is left to them. Before a version's step has come it may come at any
moment, so that half of the model's engines load at a time; after that, all. Where
several models share the engines, each model has its own part of them: one load an
engine and version, not one for each model. When engines are gone and a part gets too
small for a step, parts overlap: an engine that loads one model goes on with the others.
Of hundreds of engines only as many follow at once as the steps have use for; the rest
come to versions that last.
"""

import msgspec

from goldcrestmoor.util import rendezvous_order

# More loads at the same time than this share of the engines slow one another down.
MAX_LOADING_SHARE = 0.4
# Of a model's own engines, so that a step that comes meanwhile finds some.
MAX_OWN_LOADING_SHARE = 0.5
# A model shares engines rather than have fewer than this, so that one can load or
# crash while another serves.
MIN_ENGINES_PER_MODEL = 2
# A trainer that is late asks for two steps at once.
CONCURRENT_STEPS = 2
# The engines that no step has use for come to a version that is the newest for so long.
# Of the 6 s in which weights that come every few minutes are wanted everywhere, a load
# takes one.
FULL_ROLLOUT_AFTER_MS = 5000


class EngineWeights(msgspec.Struct, frozen=True):
    """One engine as the plan sees it.

    :param name: the engine's name.
    :param version_by_model: the weight version of each model that it holds.
    :param slots: how many requests it runs at a time.
    :param is_loading: whether an order to it is not settled yet.
    """

    name: str
    version_by_model: dict[str, int]
    slots: int = 1
    is_loading: bool = False


class Demand(msgspec.Struct, frozen=True):
    """What waits for a model's engines.

    :param waiting: how many items wait for a slot.
    :param min_version: the newest version that one of them needs at least.
    :param newest_step: the newest version that an open job needs at least.
    :param largest_step: the most items that a job has had; 0 while none has come.
    """

    waiting: int = 0
    min_version: int = 0
    newest_step: int = 0
    largest_step: int = 0


class Load(msgspec.Struct, frozen=True):
    """One order to give.

    :param engine: the engine's name.
    :param model: the model.
    :param version: the weight version.
    """

    engine: str
    model: str
    version: int


def plan_loads(model, version, engines, models, demand, target_age_ms=0):
    """Yield the orders to give now for one model, what lags most first.

    :param model: the model.
    :param version: its newest named version.
    :param engines: a list of :class:`EngineWeights`.
    :param models: all models that share the engines.
    :param demand: the :class:`Demand` for the model.
    :param target_age_ms: how long the version has been the newest.
    """
    model_engines = assign_engines(engines, models)[model]
    if target_age_ms < FULL_ROLLOUT_AFTER_MS:
        model_engines = _needed_engines(model, model_engines, demand)
    # A step needs the version before the one that it is asked after.
    has_step = demand.newest_step >= version - 1
    capacity = min(
        _load_capacity(engines, MAX_LOADING_SHARE),
        _load_capacity(model_engines, 1.0 if has_step else MAX_OWN_LOADING_SHARE),
    )
    outdated = [
        engine
        for engine in model_engines
        if _loaded_version(engine, model) < version and not engine.is_loading
    ]
    if demand.waiting:
        outdated = [
            e for e in outdated if _loaded_version(e, model) < demand.min_version
        ]
    outdated.sort(key=lambda engine: _loaded_version(engine, model))
    for engine in outdated[: max(0, capacity)]:
        yield Load(engine.name, model, version)


def _needed_engines(model, model_engines, demand):
    """Return those of a model's engines that its steps have use for.

    An order has its price for each engine, and a thousand engines would be loaded for
    steps that fill a dozen.
    """
    if not demand.largest_step:
        return model_engines
    engine_by_name = {engine.name: engine for engine in model_engines}
    order = _by_preference(model, engine_by_name, engine_by_name)
    needed, items = [], CONCURRENT_STEPS * demand.largest_step
    for name in order:
        if items <= 0 and len(needed) >= MIN_ENGINES_PER_MODEL:
            break
        needed.append(engine_by_name[name])
        items -= engine_by_name[name].slots
    return needed


def assign_engines(engines, models):
    """Return each model's engines: those that have followed it, up to its part.

    :param engines: a list of :class:`EngineWeights`.
    :param models: the models that share them.
    """
    models = sorted(models)
    if len(models) <= 1:
        return {model: list(engines) for model in models}
    engine_by_name = {engine.name: engine for engine in engines}
    free = set(engine_by_name)
    assigned = {model: [] for model in models}
    quota = max(1, len(engines) // len(models))
    for model in models:
        order = _by_preference(model, free, engine_by_name)
        for name in order[:quota]:
            assigned[model].append(engine_by_name[name])
            free.discard(name)
    for number, name in enumerate(sorted(free)):
        assigned[models[number % len(models)]].append(engine_by_name[name])
    _share_engines(assigned, engine_by_name)
    return assigned


def _share_engines(assigned, engine_by_name):
    """Let models with few engines use others' as well, the least used first."""
    uses_by_name = dict.fromkeys(engine_by_name, 0)
    for model_engines in assigned.values():
        for engine in model_engines:
            uses_by_name[engine.name] += 1
    for model, model_engines in assigned.items():
        own = {engine.name for engine in model_engines}
        others = _by_preference(model, engine_by_name.keys() - own, engine_by_name)
        others.sort(key=uses_by_name.get)
        for name in others[: max(0, MIN_ENGINES_PER_MODEL - len(model_engines))]:
            model_engines.append(engine_by_name[name])
            uses_by_name[name] += 1


def _by_preference(model, names, engine_by_name):
    """Return engines with those first that have followed a model."""
    order = rendezvous_order(model, sorted(names))
    # The sort is stable: engines that hold the same version keep their order.
    order.sort(key=lambda name: -_loaded_version(engine_by_name[name], model))
    return order


def _load_capacity(engines, share):
    loading = sum(engine.is_loading for engine in engines)
    return max(1, int(len(engines) * share)) - loading


def _loaded_version(engine, model):
    return engine.version_by_model.get(model, 0)
