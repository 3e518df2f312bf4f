"""``goldcrestmoor replay``: replay a recorded trace and check its outcomes."""

import asyncio
import sys

import msgspec

from goldcrestmoor import logs, settings
from goldcrestmoor.errors import UserError
from goldcrestmoor.load import plan as plans, plot as plots, report as reports, trace
from goldcrestmoor.load.replay import replay as play

EXIT_MISSED = 1


def replay(path, fleet, json=False, plot="", against="", save=""):
    """Replay a recorded trace against running daemons.

    :param path: the trace, JSON lines.
    :param fleet: the JSON file with the hosts and the client accounts' tokens.
    :param json: print the report as JSON.
    :param plot: an SVG file to write, which compares this run with another one.
    :param against: the saved report of the other run.
    :param save: a file to save the report to, as JSON.
    """
    logs.set_up("warning")
    if plot and not against:
        raise UserError("--plot requires --against, the saved report of another run.")
    head, entries = trace.read(path)
    report = asyncio.run(
        play(head, entries, plans.load(fleet), settings.default_limits())
    )
    missed = list(reports.misses(report, head.outcomes))
    if json:
        print(msgspec.json.encode(report).decode())
    else:
        print(reports.to_table(report, missed))
    if save:
        _save_report(report, save)
    if plot:
        plots.side_by_side(report, _read_report(against), plot)
    if missed:
        sys.exit(EXIT_MISSED)


def _save_report(report, path):
    with open(path, "wb") as f:
        f.write(msgspec.json.encode(report))


def _read_report(path):
    try:
        with open(path, "rb") as f:
            return msgspec.json.decode(f.read(), type=reports.Report)
    except (OSError, msgspec.MsgspecError) as e:
        raise UserError(f"{path} is not a saved report: {e}.") from e
