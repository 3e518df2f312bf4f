"""Plot two replays side by side as SVG."""

from goldcrestmoor.errors import UserError

BAR_CHARTS = (
    ("idle_percent", "trainer idle, %"),
    ("staleness_mean", "staleness, versions"),
    ("step_ms_max", "longest step, ms"),
)


def side_by_side(first, second, path):
    """Plot two reports next to each other.

    :param first: a :class:`~goldcrestmoor.load.report.Report`.
    :param second: the report to compare it with.
    :param path: the SVG file to write.
    :raises UserError: when the optional plotting library is not installed.
    """
    try:
        from matplotlib.figure import Figure
    except ImportError as e:
        raise UserError(
            "Plots require the optional extra: pip install 'goldcrestmoor[plot]'."
        ) from e
    figure = Figure(figsize=(10, 4), layout="constrained")
    axes = figure.subplots(1, len(BAR_CHARTS) + 1)
    for axis, (field, title) in zip(axes, BAR_CHARTS, strict=False):
        axis.bar(
            [first.name, second.name], [getattr(r, field) for r in (first, second)]
        )
        axis.set_title(title)
    axis = axes[-1]
    for report in (first, second):
        latency = report.fetch
        heights = (latency.p50_ms, latency.p99_ms, latency.p999_ms)
        axis.plot(("p50", "p99", "p99.9"), heights, marker="o", label=report.name)
    axis.set_yscale("log")
    axis.set_title("fetch latency, ms")
    axis.legend()
    figure.savefig(path, format="svg")
