"""The plan of which engines load which weight version next.

Workload: trainers set a new target version every few seconds, and the step that follows
may still use the previous version. While an engine loads, it finishes its running
requests but starts none for about a second, and loads take longer when many run
concurrently. So engines load when no items wait for them, and an engine that can still
serve the waiting items is not loaded. Until the first step of a version arrives, which
may be at any moment, half of the model's engines load at a time; after that, all.
Where several models share the engines, each model is assigned its own subset, so that
an engine loads the versions of one model, not of all. When engines fail and a subset
gets too small for a step, the subsets overlap: an engine that loads one model continues
to serve the others. A shared engine takes orders of one model's host at a time, for
some seconds each; it must not hold up the loads of the other engines. Of hundreds of
engines, only as many load each version as the steps need; the rest load versions that
stay the target for long enough.
"""

import msgspec

from goldcrestmoor.util import rendezvous_order

# Loads slow one another down if more than this share of the engines load concurrently.
MAX_LOADING_SHARE = 0.4
# Share of a model's engines, so that a step that arrives meanwhile finds free ones.
MAX_OWN_LOADING_SHARE = 0.5
# A model shares engines with others if it has fewer than this, so that one can load or
# crash while another serves.
MIN_ENGINES_PER_MODEL = 2
# A trainer that is late submits two steps at once.
CONCURRENT_STEPS = 2
# Engines that no step needs load a version that has been the target for this long.
# Weights published every few minutes must be loaded everywhere within 6 s, of which a
# load takes one.
FULL_ROLLOUT_AFTER_MS = 5000


class EngineWeights(msgspec.Struct, frozen=True):
    """The state of one engine, as input of the plan.

    :param name: the engine's name.
    :param version_by_model: the loaded weight version of each model.
    :param slots: the number of requests that it runs concurrently.
    :param is_loading: whether an order to it is pending.
    :param is_deferred: whether it takes no order for now, although it loads nothing: it
        rejected one, or another host has just ordered it.
    """

    name: str
    version_by_model: dict[str, int]
    slots: int = 1
    is_loading: bool = False
    is_deferred: bool = False


class Demand(msgspec.Struct, frozen=True):
    """The demand for a model's engines.

    :param waiting: the number of items waiting for a slot.
    :param min_version: the highest minimum version of the waiting jobs.
    :param newest_step: the highest minimum version of all open jobs.
    :param largest_step: the largest item count of any job so far; 0 before the first.
    """

    waiting: int = 0
    min_version: int = 0
    newest_step: int = 0
    largest_step: int = 0


class Load(msgspec.Struct, frozen=True):
    """One load order to send.

    :param engine: the engine's name.
    :param model: the model.
    :param version: the weight version.
    """

    engine: str
    model: str
    version: int


def plan_loads(model, version, engines, models, demand, target_age_ms=0):
    """Yield the load orders due for one model, most outdated engines first.

    :param model: the model.
    :param version: its target version.
    :param engines: a list of :class:`EngineWeights`.
    :param models: all models that share the engines.
    :param demand: the :class:`Demand` for the model.
    :param target_age_ms: how long the version has been the target.
    """
    model_engines = assign_engines(engines, models)[model]
    if target_age_ms < FULL_ROLLOUT_AFTER_MS:
        model_engines = _needed_engines(model, model_engines, demand)
    # The step that follows target version N requires at least version N - 1.
    has_step = demand.newest_step >= version - 1
    capacity = min(
        _load_capacity(engines, MAX_LOADING_SHARE),
        _load_capacity(model_engines, 1.0 if has_step else MAX_OWN_LOADING_SHARE),
    )
    outdated = [
        engine
        for engine in model_engines
        if _loaded_version(engine, model) < version
        and not engine.is_loading
        and not engine.is_deferred
    ]
    if demand.waiting:
        outdated = [
            e for e in outdated if _loaded_version(e, model) < demand.min_version
        ]
    outdated.sort(key=lambda engine: _loaded_version(engine, model))
    for engine in outdated[: max(0, capacity)]:
        yield Load(engine.name, model, version)


def _needed_engines(model, model_engines, demand):
    """Return those of a model's engines that its steps need.

    Each load has a cost, and otherwise a thousand engines would load for steps that
    fill a dozen.
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
    """Return each model's engines: an equal share, most recent versions first.

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
    """Assign engines of other models to models with too few, least used first."""
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
    """Return engine names sorted by a model's loaded version, newest first."""
    order = rendezvous_order(model, sorted(names))
    # The sort is stable: engines that hold the same version keep their order.
    order.sort(key=lambda name: -_loaded_version(engine_by_name[name], model))
    return order


def _load_capacity(engines, share):
    loading = sum(engine.is_loading for engine in engines)
    return max(1, int(len(engines) * share)) - loading


def _loaded_version(engine, model):
    return engine.version_by_model.get(model, 0)
