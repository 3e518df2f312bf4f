"""Plain-text tables of measurements."""

import statistics


def show(title, columns, rows):
    """Print a table.

    :param title: what was measured and under which conditions.
    :param columns: the columns' names.
    :param rows: the rows; floats below 1000 are shown with three significant digits.
    """
    texts = [[str(c) for c in columns], *([_text(v) for v in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*texts, strict=True)]
    print(f"\n{title}")
    for row in texts:
        cells = (cell.rjust(width) for cell, width in zip(row, widths, strict=True))
        print("  " + "  ".join(cells), flush=True)


def slope(points):
    """Return the least-squares slope of ``(x, y)`` pairs."""
    points = list(points)
    return statistics.linear_regression(*zip(*points, strict=True)).slope


def _text(value):
    if isinstance(value, float):
        return f"{value:.3g}" if abs(value) < 1000 else f"{value:.0f}"
    return str(value)
