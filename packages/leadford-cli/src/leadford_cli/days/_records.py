"""Read the log lines of entries that explain a day.

A line may begin with anything, as long as its JSON object begins with the number of the
event. What comes before the object gives the moment, in seconds, as its first word.
"""

import json
from collections.abc import Iterable, Iterator

import msgspec

ENDPOINT_LISTED = 304
FORWARD_ENDED = 406
PIECES_CALLED = 407
OBJECT_BEGINS = '{"event"'


class RequestEnded(msgspec.Struct, frozen=True):
    """Hold the end of one try of a caller's request.

    `pieces_by_service` is the work that its stages ask for, `fingerprint` the same for
    all tries of a request.

    Units: at_s is when it ended, in seconds; times in milliseconds from the moment it
    was received, -1 for what never came; caller_ms is what the caller allowed.
    """

    at_s: float
    route: str
    fingerprint: str
    outcome: str
    reason: str
    detail: str
    aim_ms: float
    caller_ms: float
    gap_aim_ms: float
    pause_ms: int
    stages_ms: int
    first_ms: int
    took_ms: int
    pieces_by_service: dict[str, int]

    @property
    def received_at_s(self) -> float:
        """Return when the try was received."""
        return self.at_s - self.took_ms / 1_000.0

    @property
    def is_answered(self) -> bool:
        """Tell whether the caller got a whole answer of an endpoint."""
        return self.outcome == "answered"


class CallEnded(msgspec.Struct, frozen=True):
    """Hold the end of one call for pieces.

    Units: at_s in seconds; waited_ms is how long its oldest piece was queued.
    """

    at_s: float
    service: str
    pieces: int
    batch: int
    waited_ms: int
    took_ms: int
    is_done: bool


class DayLog(msgspec.Struct):
    """Hold what the entries logged of one day.

    `listed_by_service` tells when which endpoint was listed as ready (or not any more).
    """

    ends: list[RequestEnded] = []
    calls: list[CallEnded] = []
    listed_by_service: dict[str, list[tuple[float, str, bool]]] = {}


def read_day(lines: Iterable[str]) -> DayLog:
    """Return what the lines tell, in the order of time."""
    day = DayLog()
    for at_s, record in _records(lines):
        event = record["event"]
        if event == FORWARD_ENDED:
            day.ends.append(_request_ended(at_s, record))
        elif event == PIECES_CALLED:
            day.calls.append(_call_ended(at_s, record))
        elif event == ENDPOINT_LISTED:
            is_ready = record["after"] == "ready"
            listed = day.listed_by_service.setdefault(record["service"], [])
            listed.append((at_s, record["endpoint"], is_ready))
    return day


def _records(lines: Iterable[str]) -> Iterator[tuple[float, dict]]:
    """Yield the moment and the object of each line that holds an event."""
    for line in lines:
        start = line.find(OBJECT_BEGINS)
        if start < 0:
            continue
        try:
            record = json.loads(line[start:])
            at_s = float(line.split(maxsplit=1)[0])
        except ValueError:
            # A line that was cut while it was written explains nothing.
            continue
        yield at_s, record


def _request_ended(at_s: float, record: dict) -> RequestEnded:
    pieces = [item.rsplit(":", 1) for item in record.get("work", "").split()]
    return RequestEnded(
        at_s=at_s,
        route=record["route"],
        fingerprint=record["fingerprint"],
        outcome=record["outcome"],
        reason=record["reason"],
        detail=record["detail"],
        aim_ms=record.get("aim_ms", 0.0),
        caller_ms=record.get("caller_ms", 0.0),
        gap_aim_ms=record.get("gap_aim_ms", 0.0),
        pause_ms=record.get("pause_ms", -1),
        stages_ms=record["stages_ms"],
        first_ms=record["first_ms"],
        took_ms=record["took_ms"],
        pieces_by_service={name: int(count) for name, count in pieces},
    )


def _call_ended(at_s: float, record: dict) -> CallEnded:
    return CallEnded(
        at_s=at_s,
        service=record["service"],
        pieces=record["pieces"],
        batch=record.get("batch", 0),
        waited_ms=record["waited_ms"],
        took_ms=record["took_ms"],
        is_done=record["outcome"] == "done",
    )
