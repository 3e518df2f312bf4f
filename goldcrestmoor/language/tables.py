"""Filter, sort and limit the rows of ``SHOW`` results."""

import itertools
import operator

import msgspec

from goldcrestmoor.errors import ErrorKind, ServiceError

COMPARE_BY_OPERATOR = {
    "=": operator.eq,
    "!=": operator.ne,
    "<": operator.lt,
    "<=": operator.le,
    ">": operator.gt,
    ">=": operator.ge,
}


class Table(msgspec.Struct, frozen=True):
    """Rows under named columns.

    :param columns: the columns' names.
    :param rows: the rows, each with one text or number per column.
    """

    columns: tuple[str, ...]
    rows: tuple[tuple, ...]


def select(columns, rows, show):
    """Return the rows that a ``SHOW`` statement selects.

    :param columns: the columns' names.
    :param rows: the rows.
    :param show: a :class:`~goldcrestmoor.language.statements.Show`.
    :return: a :class:`Table`.
    :raises ServiceError: ``BAD_REQUEST`` when the statement names an unknown column.
    """
    selected = (tuple(plain(cell) for cell in row) for row in rows)
    for condition in show.conditions:
        selected = _filter_rows(
            selected, _column_index(columns, condition.column), condition
        )
    if show.order_by:
        index = _column_index(columns, show.order_by)
        selected = sorted(
            selected, key=lambda row: _sort_key(row[index]), reverse=show.descending
        )
    return Table(tuple(columns), tuple(itertools.islice(selected, show.limit)))


def plain(cell):
    """Convert a cell to text or a number.

    :param cell: any value returned by a source.
    """
    match cell:
        case None:
            return ""
        case bool():
            return "on" if cell else "off"
        case int() | float():
            return cell
        case tuple() | list() | set() | frozenset():
            return ", ".join(str(part) for part in cell)
    return str(cell)


def _filter_rows(rows, index, condition):
    compare = COMPARE_BY_OPERATOR[condition.operator]
    for row in rows:
        if compare(*_comparable(row[index], condition.value)):
            yield row


def _column_index(columns, name):
    try:
        return list(columns).index(name)
    except ValueError:
        raise ServiceError(
            ErrorKind.BAD_REQUEST,
            f"Unknown column {name}; the columns are {', '.join(columns)}.",
        ) from None


def _comparable(cell, value):
    if isinstance(cell, (int, float)) and isinstance(value, int):
        return cell, value
    return str(cell), str(value)


def _sort_key(cell):
    if isinstance(cell, (int, float)):
        return 0, cell, ""
    return 1, 0, cell
