"""Tell which pieces wait for an endpoint in the hall of their inputs.

Used by the rule that fills calls; `Chunk.waits_for_other_hall` decides for one chunk,
from how much later the endpoints of each hall take and finish a call.
"""

from collections.abc import Callable
from functools import partial

import msgspec

from leadford.common import EndpointId, HallId
from leadford.forwarding.batching._capacity import CapacityTable
from leadford.forwarding.batching._tasks import Chunk
from leadford.forwarding.endpoints import EndpointRecord
from leadford.forwarding.routes import PieceLimits


class ExpectedCall(msgspec.Struct, frozen=True):
    """Hold in how long an endpoint of a hall takes another call, and finishes it.

    Units: seconds.
    """

    hall: HallId
    free_in_s: float
    finish_s: float


def expected_calls(
    capacities: CapacityTable,
    records: list[EndpointRecord],
    finish_s_by_id: dict[EndpointId, float],
    limits: PieceLimits,
    now: float,
) -> list[ExpectedCall]:
    """Return when each endpoint that is not suspect takes and finishes a call."""
    found = []
    for record in records:
        if record.is_suspect(now):
            continue
        endpoint_id = record.listed.endpoint_id
        free_in_s = capacities.capacity(endpoint_id, limits).free_in_s(now)
        finish_s = finish_s_by_id[endpoint_id]
        found.append(ExpectedCall(record.listed.hall, free_in_s, finish_s))
    return found


def later_s_by_hall(calls: list[ExpectedCall], finish_s: float) -> dict[HallId, float]:
    """Return how much later than `finish_s` each hall takes and finishes a call.

    An endpoint that is free but slow would otherwise be waited for, though
    `rank_endpoints` offers it no call.
    """
    found: dict[HallId, float] = {}
    for call in calls:
        later_s = max(call.free_in_s, call.finish_s - finish_s)
        found[call.hall] = min(later_s, found.get(call.hall, later_s))
    return found


def hall_wait_predicate(
    hall: HallId,
    later_s_by_hall: dict[HallId, float],
    limits: PieceLimits,
    now: float,
) -> Callable[[Chunk], bool]:
    """Return the predicate of chunks that wait for another hall than `hall`."""
    return partial(
        Chunk.waits_for_other_hall,
        hall=hall,
        later_s_by_hall=later_s_by_hall,
        limits=limits,
        now=now,
    )
