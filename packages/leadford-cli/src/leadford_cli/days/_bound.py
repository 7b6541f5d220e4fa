"""Bound what a scheduler that had known the day could have served in time.

For each batched stage by itself: its endpoints, as listed, make full calls without a
pause, and any request may be left out. Requests are taken by worth for the time of the
stage until no more fit between their coming and their aim. Nobody can serve more; room
for results, the order of stages and faults that no listing tells are left out, so what
could be reached lies below.
"""

from collections.abc import Iterable, Mapping, Sequence

import msgspec

from leadford_cli.days._losses import CallerRequest
from leadford_cli.days._records import CallEnded, DayLog

# Length of one slice of the day: shorter than the latency targets of routes.
SLICE_S = 0.5


class ServiceBound(msgspec.Struct, frozen=True):
    """Hold how much of the worth asked for one stage allows, from 0 to 1.

    Units: full_call_s is the time of a full call, in seconds.
    """

    service: str
    part: float
    batch: int
    full_call_s: float


def service_bounds(
    day: DayLog, requests: Sequence[CallerRequest], worth_by_aim: Mapping[float, float]
) -> list[ServiceBound]:
    """Return the bound of each stage, the tightest first.

    `worth_by_aim` gives the worth of a request by the aim of its route; 1 for others.
    """
    total = sum(_worth(request, worth_by_aim) for request in requests)
    found = []
    for service in sorted({call.service for call in day.calls}):
        calls = [c for c in day.calls if c.service == service and c.is_done]
        if not calls or total <= 0.0:
            continue
        batch = max(call.batch or call.pieces for call in calls)
        full_call_s = _full_call_s(calls, batch)
        slices = _capacity(day, service, batch / full_call_s)
        lost = _lost_worth(service, requests, worth_by_aim, slices)
        part = 1.0 - lost / total
        found.append(ServiceBound(service, part, batch, full_call_s))
    return sorted(found, key=lambda bound: bound.part)


def _worth(request: CallerRequest, worth_by_aim: Mapping[float, float]) -> float:
    return worth_by_aim.get(request.last.aim_ms, 1.0)


def _full_call_s(calls: Iterable[CallEnded], batch: int) -> float:
    """Return how long a full call takes, from the mean of all calls a piece.

    A straight line through the calls, by least squares; full calls alone may be rare.
    """
    points = [(call.pieces, call.took_ms) for call in calls]
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = 0.0
    if spread > 0.0:
        slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return max(1.0, mean_y + max(0.0, slope) * (batch - mean_x)) / 1_000.0


def _capacity(day: DayLog, service: str, pieces_per_s: float) -> list[float]:
    """Return how many pieces the listed endpoints make in each slice from second 0."""
    ready_ids: set[str] = set()
    changes = sorted(day.listed_by_service.get(service, ()))
    ends_at_s = max((end.at_s for end in day.ends), default=0.0)
    slices = []
    while len(slices) * SLICE_S < ends_at_s:
        until_s = (len(slices) + 1) * SLICE_S
        while changes and changes[0][0] < until_s:
            _, endpoint_id, is_ready = changes.pop(0)
            (ready_ids.add if is_ready else ready_ids.discard)(endpoint_id)
        slices.append(len(ready_ids) * pieces_per_s * SLICE_S)
    return slices


def _lost_worth(
    service: str,
    requests: Sequence[CallerRequest],
    worth_by_aim: Mapping[float, float],
    slices: list[float],
) -> float:
    """Return the worth that does not fit, the least for the time of the stage."""
    wanted = []
    for request in requests:
        pieces = request.last.pieces_by_service.get(service, 0)
        if pieces > 0:
            worth = _worth(request, worth_by_aim)
            wanted.append((worth / pieces, worth, pieces, request))
    wanted.sort(key=lambda item: -item[0])
    free = list(slices)
    lost = 0.0
    for _, worth, pieces, request in wanted:
        first = max(0, int(request.received_at_s / SLICE_S))
        aim_s = request.last.aim_ms / 1_000.0
        last = int((request.received_at_s + aim_s) / SLICE_S)
        left = float(pieces)
        # The latest slices first: those who come later cannot use the earlier ones.
        for number in range(min(last, len(free) - 1), first - 1, -1):
            used = min(left, free[number])
            free[number] -= used
            left -= used
        lost += worth * left / pieces
    return lost
