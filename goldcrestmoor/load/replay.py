"""Replay a trace against a fleet and report the measurements."""

import statistics

from goldcrestmoor.clock import Clock
from goldcrestmoor.connection.http_client import HttpClient
from goldcrestmoor.errors import ServiceError
from goldcrestmoor.load import costs
from goldcrestmoor.load.fleet_control import FleetControl, Runs
from goldcrestmoor.load.player import Player
from goldcrestmoor.load.report import Report

RETRIES_METRIC = "goldcrestmoor_retries_total"


async def replay(head, entries, plan, limits):
    """Play a trace against a fleet and return its report.

    :param head: the trace's head.
    :param entries: its entries.
    :param plan: the :class:`~goldcrestmoor.load.plan.Plan` of the fleet.
    :param limits: the :class:`~goldcrestmoor.settings.LimitSettings` for connections.
    """
    clock = Clock()
    http = HttpClient(clock=clock, limits=limits)
    control = None
    if plan.control_port:
        control = FleetControl(
            http=http, address=plan.control_address, port=plan.control_port
        )
    player = Player(
        clock=clock,
        http=http,
        urls=plan.urls,
        token_by_account=plan.token_by_account,
        model_by_pool=plan.model_by_pool,
        staleness_by_account=plan.staleness_by_account,
        control=control,
    )
    try:
        before = await _read_all_metrics(http, plan.urls)
        wall_ms = await player.play(entries)
        after = await _read_all_metrics(http, plan.urls)
        runs = await control.runs() if control else Runs()
    finally:
        await player.close()
        await http.close()
    return _report(head, player.tally, wall_ms, before, after, runs)


async def _read_all_metrics(http, urls):
    metrics_by_url = {}
    for url in urls:
        try:
            metrics_by_url[url] = await costs.read_metrics(http, url)
        except ServiceError:
            # A host that is down has no metrics.
            continue
    return metrics_by_url


def _report(head, tally, wall_ms, before, after, runs):
    urls = [url for url in after if url in before]
    trainers = max(1, len(tally.idle_ms_by_account))
    idle_ms = tally.idle_ms_by_account.total()
    steps = tally.step_ms_by_account
    return Report(
        name=head.name,
        seed=head.seed,
        wall_ms=wall_ms,
        samples_asked=tally.samples_asked,
        samples_delivered=tally.samples_delivered,
        doubled=tally.doubled,
        lost=tally.samples_asked - tally.samples_delivered,
        idle_ms=idle_ms,
        idle_percent=100 * idle_ms / max(1, wall_ms * trainers),
        step_ms_max=max((max(ms) for ms in steps.values()), default=0),
        step_ms_by_account={a: statistics.fmean(ms) for a, ms in steps.items()},
        tokens_made=runs.engine_tokens,
        tokens_delivered=tally.tokens_delivered,
        staleness_mean=statistics.fmean(tally.staleness) if tally.staleness else 0.0,
        staleness_max=max(tally.staleness, default=0),
        notes_asked=tally.notes_asked,
        notes_saved=tally.notes_saved,
        notes_unknown=tally.notes_unknown,
        notes_doubled=sum(n > 1 for n in runs.runs_by_note.values()),
        fetch=tally.fetch.result(),
        note=tally.note.result(),
        fetch_failed=tally.fetch_failed,
        completion=tally.completion.result(),
        completion_failed=tally.completion_failed,
        errors_by_kind=dict(tally.errors_by_kind),
        retries=int(
            sum(
                after[u].get(RETRIES_METRIC, 0) - before[u].get(RETRIES_METRIC, 0)
                for u in urls
            )
        ),
        daemons=tuple(costs.compute_cost(u, before[u], after[u]) for u in urls),
    )
