"""Decide which call of a batched stage is sent next, and which pieces it carries.

Called by the scheduler of a group whenever something may have changed: a piece arrived,
a call ended, an endpoint was listed. The decision uses the waiting pieces, the calls
and results at each endpoint, and the known state of the endpoints, in this order:

1. A call that is not full waits briefly for more pieces (`PieceQueue.window_ends_at`).
2. Endpoints that some waiting piece allows are tried in the order in which they would
   finish the call (`CapacityTable.rank_endpoints`). One that is short of room waits
   briefly for it (`EndpointCapacity.awaits_room`), unless smaller pieces fill over half
   a call.
   While the scheduler is late itself, a full call may wait at an endpoint
   (`calls_ahead`).
3. The call takes the pieces that are due first, as far as they fit
   (`PieceQueue.take`). Pieces may wait for an endpoint in the hall of their inputs
   (`Chunk.waits_for_other_hall`). A part of a request fills the last places only where
   the rest can be sent soon.
4. Pieces that every endpoint excludes are returned to the caller.

This module does not send the call, and does not recompute lost pieces (`_remake`).
"""

from enum import Enum

import msgspec

from leadford.common import EndpointId
from leadford.forwarding.batching._capacity import CapacityTable
from leadford.forwarding.batching._hall_waits import (
    expected_calls,
    hall_wait_predicate,
    later_s_by_hall,
)
from leadford.forwarding.batching._queue import LeftCause, PieceQueue
from leadford.forwarding.batching._tasks import PieceTask
from leadford.forwarding.endpoints import EndpointRecord
from leadford.forwarding.routes import PieceLimits

# A request is split over two calls only if another endpoint is free for the rest within
# this fraction of a full call. Without splitting, whole requests leave places of calls
# empty.
SPLIT_MAX_WAIT_FRACTION = 0.15
# An endpoint that is short of room gets a call at once if the pieces that fit exceed
# this fraction of a full call.
FITTING_MIN_FRACTION = 0.5
# Turns of the event loop from the end of a call until the endpoint has the next one.
TURNS_BETWEEN_CALLS = 2
# Fraction of a full call for which an endpoint may be idle between two calls.
MAX_IDLE_FRACTION = 0.1


class FillAction(Enum):
    """Name what the scheduler of a group does next."""

    NOTHING_WAITS = "nothing-waits"
    SEND = "send"
    WAIT_FOR_MORE = "wait-for-more"
    RECHECK = "recheck"


class NextCall(msgspec.Struct, frozen=True):
    """Hold what the scheduler of a group does next.

    With SEND, `tasks` go to the endpoint of `record`, where `room_bytes` are estimated
    to be free. With RECHECK, no endpoint takes a call now, and `unserved` are pieces
    that every endpoint of the group excludes.

    With SEND, `left_by_cause` counts the waiting pieces that the call leaves, by cause.

    Units: wait_s in seconds, with WAIT_FOR_MORE.
    """

    action: FillAction
    record: EndpointRecord | None = None
    tasks: tuple[PieceTask, ...] = ()
    room_bytes: int = 0
    wait_s: float = 0.0
    unserved: tuple[PieceTask, ...] = ()
    left_by_cause: dict[LeftCause, int] = {}


def next_call(
    queue: PieceQueue,
    capacities: CapacityTable,
    records: list[EndpointRecord],
    limits: PieceLimits,
    now: float,
    *,
    turn_s: float = 0.0,
) -> NextCall:
    """Return the next call of a group, and remove its pieces from the queue.

    `records` are the usable endpoints of the group; there must be at least one.

    Units: turn_s is the duration of a turn of the scheduler's event loop, in seconds.
    """
    if len(queue) == 0:
        return NextCall(FillAction.NOTHING_WAITS)
    wait_s = queue.window_ends_at(limits) - now
    if wait_s > 0.0:
        return NextCall(FillAction.WAIT_FOR_MORE, wait_s=wait_s)
    ahead = calls_ahead(limits, waiting=len(queue), turn_s=turn_s)
    if not _is_any_free(capacities, records, limits, now, calls_ahead=ahead):
        return _recheck(queue, records)
    call = _filled_call(queue, capacities, records, limits, now, calls_ahead=ahead)
    return call or _recheck(queue, records)


def _filled_call(
    queue: PieceQueue,
    capacities: CapacityTable,
    records: list[EndpointRecord],
    limits: PieceLimits,
    now: float,
    *,
    calls_ahead: int,
) -> NextCall | None:
    """Return a call to the best endpoint that takes one, None if none does."""
    allowed = [r for r in records if queue.allows(r.listed.endpoint_id)]
    finish_s_by_id = capacities.finish_s_by_id(
        allowed, limits, waiting=len(queue), now=now
    )
    calls = expected_calls(capacities, allowed, finish_s_by_id, limits, now)
    ranked = _candidates(
        queue,
        capacities,
        allowed,
        finish_s_by_id,
        limits,
        now,
        calls_ahead=calls_ahead,
    )
    least_bytes = queue.least_bytes()
    for record in ranked:
        endpoint_id = record.listed.endpoint_id
        hall = record.listed.hall
        room_bytes = capacities.room_left(endpoint_id, limits, now)
        if _awaits_room(queue, capacities, endpoint_id, room_bytes, limits, now):
            continue
        if room_bytes < least_bytes:
            continue
        later_s = later_s_by_hall(calls, finish_s_by_id[endpoint_id])
        waits_for_other_hall = hall_wait_predicate(hall, later_s, limits, now)
        tasks = queue.take(
            limits=limits,
            now=now,
            room_bytes=room_bytes,
            endpoint_id=endpoint_id,
            hall=hall,
            endpoints=len(records),
            may_split=_can_send_rest_soon(capacities, record, records, limits, now),
            waits_for_other_hall=waits_for_other_hall,
        )
        if tasks:
            return NextCall(
                FillAction.SEND,
                record,
                tuple(tasks),
                room_bytes,
                left_by_cause=dict(queue.left_by_cause_),
            )
    return None


def _awaits_room(
    queue: PieceQueue,
    capacities: CapacityTable,
    endpoint_id: EndpointId,
    room_bytes: int,
    limits: PieceLimits,
    now: float,
) -> bool:
    """Tell whether an endpoint gets its call only once it has more room."""
    capacity = capacities.capacity(endpoint_id, limits)
    if not capacity.awaits_room(queue.first_call_bytes(limits, now), now):
        return False
    return not _fills_enough(queue, room_bytes, limits, now)


def _recheck(queue: PieceQueue, records: list[EndpointRecord]) -> NextCall:
    """Return that no endpoint takes a call, and remove the pieces that all exclude."""
    unserved = queue.discard(lambda task: not _excludes_all(task, records))
    return NextCall(FillAction.RECHECK, unserved=tuple(unserved))


def _is_any_free(
    capacities: CapacityTable,
    records: list[EndpointRecord],
    limits: PieceLimits,
    now: float,
    *,
    calls_ahead: int,
) -> bool:
    """Tell whether any endpoint may get a call now."""
    return any(
        capacities.is_free(
            record.listed.endpoint_id, limits, now, calls_ahead=calls_ahead
        )
        for record in records
    )


def calls_ahead(limits: PieceLimits, *, waiting: int, turn_s: float) -> int:
    """Return how many calls may wait at an endpoint, beside those that it works on.

    Where the scheduler is late itself, an endpoint would be idle until it gets its next
    call. A call that is sent ahead cannot take pieces that arrive later, so it has to
    be full.

    Units: turn_s in seconds.
    """
    idle_s = TURNS_BETWEEN_CALLS * turn_s
    if waiting < limits.batch or idle_s <= MAX_IDLE_FRACTION * limits.full_call_s:
        return 0
    return min(1, limits.queue)


def _fills_enough(
    queue: PieceQueue, room_bytes: int, limits: PieceLimits, now: float
) -> bool:
    """Tell whether the pieces that fit now are worth the fixed duration of a call.

    This matters for a stage with both large and small results while room is short: its
    endpoints would be idle for a quarter of the time while small pieces that fit wait.
    """
    return (
        queue.fitting_count(room_bytes, limits, now)
        > FITTING_MIN_FRACTION * limits.batch
    )


def _can_send_rest_soon(
    capacities: CapacityTable,
    record: EndpointRecord,
    records: list[EndpointRecord],
    limits: PieceLimits,
    now: float,
) -> bool:
    """Tell whether pieces that do not fit in a call can soon be sent elsewhere.

    This matters for a stage with many endpoints where whole requests leave places of
    each call empty.
    """
    others_free_in_s = [
        capacities.capacity(other.listed.endpoint_id, limits).free_in_s(now)
        for other in records
        if other is not record
    ]
    return (
        min(others_free_in_s, default=float("inf"))
        <= SPLIT_MAX_WAIT_FRACTION * limits.full_call_s
    )


def _candidates(
    queue: PieceQueue,
    capacities: CapacityTable,
    records: list[EndpointRecord],
    finish_s_by_id: dict[EndpointId, float],
    limits: PieceLimits,
    now: float,
    *,
    calls_ahead: int,
) -> list[EndpointRecord]:
    """Return the free endpoints, best first for the pieces that go first."""
    first = queue.first_chunk(limits, now)
    moving_cost_s_by_hall = {
        record.listed.hall: first.hall_wait_s(record.listed.hall, limits, now)
        for record in records
    }
    return capacities.rank_endpoints(
        records,
        limits,
        waiting=len(queue),
        now=now,
        moving_cost_s_by_hall=moving_cost_s_by_hall,
        finish_s_by_id=finish_s_by_id,
        calls_ahead=calls_ahead,
    )


def _excludes_all(task: PieceTask, records: list[EndpointRecord]) -> bool:
    if len(task.excluded) < len(records):
        return False
    return all(record.listed.endpoint_id in task.excluded for record in records)
