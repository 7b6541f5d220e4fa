"""Hold the rows that answer a query, and filter them.

The entry that received the query fills the table from its own state and from the
answers of other processes.
"""

import operator

import msgspec
from returns.result import Failure, Result, Success

from leadford.pipelines.language._statements import Comparison, Condition

Cell = str | int | float | bool | None

_OPERATORS = {
    Comparison.EQUAL: operator.eq,
    Comparison.UNEQUAL: operator.ne,
    Comparison.BELOW: operator.lt,
    Comparison.ABOVE: operator.gt,
    Comparison.AT_MOST: operator.le,
    Comparison.AT_LEAST: operator.ge,
}


class Table(msgspec.Struct):
    """Hold rows under named columns."""

    columns: list[str]
    rows: list[list[Cell]]


def filter_table(
    table: Table, conditions: tuple[Condition, ...], limit: int = 0
) -> Result[Table, str]:
    """Return a table of the rows that meet every condition.

    Errors: a condition on a column that the table does not have.
    """
    for condition in conditions:
        if condition.column not in table.columns:
            column_names = ", ".join(table.columns)
            return Failure(f"no column {condition.column!r}; there are: {column_names}")
    kept: list[list[Cell]] = []
    for row in table.rows:
        if all(_meets(row, table.columns, condition) for condition in conditions):
            kept.append(row)
    if limit:
        kept = kept[:limit]
    return Success(Table(table.columns, kept))


def _meets(row: list[Cell], columns: list[str], condition: Condition) -> bool:
    cell = row[columns.index(condition.column)]
    compare = _OPERATORS[condition.comparison]
    if isinstance(condition.value, float) and isinstance(cell, int | float):
        return compare(float(cell), condition.value)
    value = condition.value
    if isinstance(value, float):
        value = f"{value:g}"
    return compare(str(cell).lower(), str(value).lower())
