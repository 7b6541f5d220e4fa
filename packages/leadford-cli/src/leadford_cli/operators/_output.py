"""Print answers as tables or as JSON.

What an answer holds is decided by the entry (`leadford_server.pipelines.entry`).
"""

import json
from datetime import UTC, datetime
from typing import Any


def format_answer(answer: dict[str, Any], *, as_json: bool) -> str:
    """Return an answer as text."""
    if as_json:
        return json.dumps(answer, indent=2)
    if "rows" in answer:
        return _table(answer)
    text = f"accepted at version {answer['version']}"
    if answer["repeated"]:
        text += " (by an earlier sending of this command)"
    if answer["behind"]:
        text += f"; not yet in force at {', '.join(answer['behind'])}"
    elif answer["waited"]:
        text += "; in force everywhere"
    return text


def _table(answer: dict[str, Any]) -> str:
    columns = answer["columns"]
    rows = [
        [_cell(name, cell) for name, cell in zip(columns, row, strict=True)]
        for row in answer["rows"]
    ]
    widths = [
        max([len(column), *(len(row[index]) for row in rows)])
        for index, column in enumerate(columns)
    ]
    lines = [_line(columns, widths)]
    lines += [_line(row, widths) for row in rows]
    note = f"{len(rows)} rows at version {answer['version']}"
    if answer["coverage"]:
        note += f"; {answer['coverage']}"
    return "\n".join([*lines, note])


def _cell(column: str, cell: object) -> str:
    if column == "at_s":
        return datetime.fromtimestamp(cell, UTC).isoformat(timespec="milliseconds")
    return f"{cell:g}" if isinstance(cell, float) else str(cell)


def _line(cells: list[str], widths: list[int]) -> str:
    padded = [cell.ljust(width) for cell, width in zip(cells, widths, strict=True)]
    return "  ".join(padded).rstrip()
