"""Join the rows of a query that several processes answered into one table.

`COLUMNS_BY_TABLE` is what operators see. Where entries see an endpoint differently, its
state says how many see what; costs are summed; of a process the newest version counts.
"""

from collections import Counter

import msgspec

from leadford.pipelines.language import Table

COLUMNS_BY_TABLE = {
    "requests": [
        "request",
        "entry",
        "pipeline",
        "workspace",
        "state",
        "stage",
        "endpoint",
        "elapsed_ms",
        "remaining_ms",
        "attempts",
    ],
    "queue": [
        "endpoint",
        "request",
        "stage",
        "workspace",
        "priority",
        "state",
        "waited_ms",
        "remaining_ms",
        "why",
    ],
    "endpoints": [
        "endpoint",
        "pool",
        "host",
        "hall",
        "state",
        "queued",
        "running",
        "service_ms",
        "token_ms",
        "version",
    ],
    "halls": ["hall", "endpoints", "usable", "entries"],
    "entries": ["entry", "host", "hall", "version", "live_requests"],
    "workspaces": ["workspace", "share", "minimum", "priority_offset", "keys"],
    "pipelines": ["pipeline", "stages", "priority", "deadline_ms", "paused"],
    "pools": ["pool", "kind", "endpoints", "concurrency", "queue_limit"],
    "models": ["model", "pool", "version", "copies", "pinned"],
    "versions": ["process", "hall", "version", "unread"],
    "audit": ["version", "from_version", "at_s", "operator", "command"],
    "events": ["at_s", "process", "number", "event", "fields"],
    "cost": ["name", "attempts", "completed", "useful_ms", "retried_ms", "wasted_ms"],
    "explain": ["entry", "at_ms", "step"],
}


def merge_rows(name: str, answers: list[list[list]]) -> Table:
    """Return one table from the rows of several processes."""
    rows = [row for answer in answers for row in answer]
    if name == "cost":
        rows = _sum_rows(rows)
    elif name == "endpoints":
        rows = _merge_endpoints(rows)
    elif name == "versions":
        rows = _newest_versions(rows)
    elif name == "queue":
        rows = list({tuple(row[:3]): row for row in rows}.values())
    rows.sort(key=lambda row: [str(cell) for cell in row[:2]])
    if name == "events":
        rows.sort(key=lambda row: -row[0])
    elif name == "explain":
        rows.sort(key=lambda row: row[1])
    return Table(COLUMNS_BY_TABLE[name], rows)


def _merge_endpoints(rows: list[list]) -> list[list]:
    """Return a row for each endpoint; where entries differ, say how many see what."""
    rows_by_id: dict[str, list[list]] = {}
    for row in rows:
        rows_by_id.setdefault(row[0], []).append(row)
    merged: list[list] = []
    for views in rows_by_id.values():
        row = list(views[0])
        counts = Counter(view[4] for view in views)
        if len(counts) > 1:
            parts = [f"{state} {n}/{len(views)}" for state, n in counts.most_common()]
            row[4] = ", ".join(parts)
        row[-1] = max(view[-1] for view in views)
        merged.append(row)
    return merged


def _newest_versions(rows: list[list]) -> list[list]:
    newest: dict[str, list] = {}
    for row in rows:
        known = newest.get(row[0])
        if known is None or row[2] > known[2]:
            newest[row[0]] = row
    return list(newest.values())


def _sum_rows(rows: list[list]) -> list[list]:
    sums: dict[str, list] = {}
    for row in rows:
        known = sums.get(row[0])
        if known is None:
            sums[row[0]] = list(row)
            continue
        for index in range(1, len(row)):
            known[index] = round(known[index] + row[index], 1)
    return list(sums.values())


def encode_rows(rows: list[list]) -> bytes:
    """Return rows as they travel between processes."""
    return msgspec.json.encode(rows)


def decode_rows(data: bytes) -> list[list]:
    """Return rows that travelled between processes."""
    return msgspec.json.decode(data, type=list[list])
