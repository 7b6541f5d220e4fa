"""Decide which call of a batched stage leaves next, and what it carries.

Called by the scheduler of a group whenever something may have changed: a piece came, a
call ended, an endpoint was listed. It decides from the pieces that wait, the calls and
results at each endpoint, and what is believed of the endpoints. In this order:

1. A call that is not full waits a little for more pieces (`PieceQueue.window_ends_at`).
2. Endpoints are tried in the order in which they would finish the call
   (`CapacityTable.ranked`); one that is short of room waits a little for it
   (`EndpointCapacity.awaits_room`), unless smaller pieces fill over half a call.
3. The call takes the pieces that are due first, as far as they fit
   (`PieceQueue.take`); pieces may stay away for the hall of their inputs
   (`Chunk.waits_for_other_hall`). A part of a request fills the last places only where
   the rest leaves soon.
4. Pieces that every endpoint excludes are given back.

Sending the call, and making lost pieces again (`_remake`), are left to others.
"""

from collections.abc import Callable
from enum import Enum
from functools import partial

import msgspec

from leadford.common import HallId
from leadford.forwarding.batching._capacity import CapacityTable
from leadford.forwarding.batching._queue import Chunk, PieceQueue, PieceTask
from leadford.forwarding.endpoints import EndpointRecord
from leadford.forwarding.routes import PieceLimits

# Part of a full call within which another endpoint must be free for the rest of a
# request whose first pieces fill a call. Calls of 16 carried 12 pieces where each
# request brought six: 36.1 pieces a second and endpoint in place of 42.5.
SPLIT_PART = 0.15
# Part of a full call that pieces must pass which fit in the room that is left, for an
# endpoint not to wait for more.
FITTING_PART = 0.5


class FillAction(Enum):
    """Say what the scheduler of a group does next."""

    NOTHING_WAITS = "nothing-waits"
    SEND = "send"
    WAIT_FOR_MORE = "wait-for-more"
    LOOK_AGAIN = "look-again"


class NextCall(msgspec.Struct, frozen=True):
    """Hold what the scheduler of a group does next.

    With SEND, `tasks` go to the endpoint of `record`, where `room_bytes` were believed
    to be free. With LOOK_AGAIN, no endpoint takes a call now, and `unserved` are pieces
    that no endpoint of the group may make.

    Units: wait_s in seconds, with WAIT_FOR_MORE.
    """

    action: FillAction
    record: EndpointRecord | None = None
    tasks: tuple[PieceTask, ...] = ()
    room_bytes: int = 0
    wait_s: float = 0.0
    unserved: tuple[PieceTask, ...] = ()


def next_call(
    queue: PieceQueue,
    capacities: CapacityTable,
    records: list[EndpointRecord],
    limits: PieceLimits,
    now: float,
) -> NextCall:
    """Return the next call of a group, and take its pieces from the queue.

    `records` are the usable endpoints of the group, of which there is at least one.
    """
    if len(queue) == 0:
        return NextCall(FillAction.NOTHING_WAITS)
    wait_s = queue.window_ends_at(limits) - now
    if wait_s > 0.0:
        return NextCall(FillAction.WAIT_FOR_MORE, wait_s=wait_s)
    free_in_s_by_hall = _free_in_s_by_hall(capacities, records, limits, now)
    for record in _candidates(queue, capacities, records, limits, now):
        endpoint_id = record.listed.endpoint_id
        hall = record.listed.hall
        capacity = capacities.capacity(endpoint_id, limits)
        room_bytes = capacities.room_left(endpoint_id, limits, now)
        lacks_room = capacity.awaits_room(queue.first_bytes(limits, now), now)
        if lacks_room and not _fills_a_call(queue, room_bytes, limits, now):
            continue
        waits_for_other_hall = _hall_rule(hall, free_in_s_by_hall, limits, now)
        tasks = queue.take(
            limits=limits,
            now=now,
            room_bytes=room_bytes,
            endpoint_id=endpoint_id,
            hall=hall,
            endpoints=len(records),
            may_split=_rest_leaves_soon(capacities, record, records, limits, now),
            waits_for_other_hall=waits_for_other_hall,
        )
        if tasks:
            return NextCall(FillAction.SEND, record, tuple(tasks), room_bytes)
    unserved = queue.discard(lambda task: not _excludes_all(task, records))
    return NextCall(FillAction.LOOK_AGAIN, unserved=tuple(unserved))


def _fills_a_call(
    queue: PieceQueue, room_bytes: int, limits: PieceLimits, now: float
) -> bool:
    """Tell whether pieces that fit now make a call that is worth its fixed time.

    Answers a stage that makes both large and small results while room is short: its
    endpoints rested for a quarter of the time beside small pieces that would have fit.
    """
    return queue.fitting(room_bytes, limits, now) > FITTING_PART * limits.batch


def _rest_leaves_soon(
    capacities: CapacityTable,
    record: EndpointRecord,
    records: list[EndpointRecord],
    limits: PieceLimits,
    now: float,
) -> bool:
    """Tell whether pieces that do not fit at an endpoint leave soon for another one.

    Answers a stage with many endpoints whose requests bring pieces that leave places of
    each call empty, such as six pieces and calls of 16.
    """
    others = [
        capacities.capacity(other.listed.endpoint_id, limits).free_in_s(now)
        for other in records
        if other is not record
    ]
    return min(others, default=float("inf")) <= SPLIT_PART * limits.full_call_s


def _candidates(
    queue: PieceQueue,
    capacities: CapacityTable,
    records: list[EndpointRecord],
    limits: PieceLimits,
    now: float,
) -> list[EndpointRecord]:
    """Return the free endpoints, the best first for the pieces that are due first."""
    first = queue.first(limits, now)
    moving_s_by_hall = {
        record.listed.hall: first.hall_wait_s(record.listed.hall, limits, now)
        for record in records
    }
    return capacities.ranked(
        records,
        limits,
        waiting=len(queue),
        now=now,
        moving_s_by_hall=moving_s_by_hall,
    )


def _free_in_s_by_hall(
    capacities: CapacityTable,
    records: list[EndpointRecord],
    limits: PieceLimits,
    now: float,
) -> dict[HallId, float]:
    """Return when the first endpoint of each hall is expected to be free."""
    free_in_s: dict[HallId, float] = {}
    for record in records:
        if record.is_suspect(now):
            continue
        hall = record.listed.hall
        capacity = capacities.capacity(record.listed.endpoint_id, limits)
        free_s = capacity.free_in_s(now)
        free_in_s[hall] = min(free_s, free_in_s.get(hall, free_s))
    return free_in_s


def _hall_rule(
    hall: HallId,
    free_in_s_by_hall: dict[HallId, float],
    limits: PieceLimits,
    now: float,
) -> Callable[[Chunk], bool]:
    """Return whether pieces stay away from an endpoint of `hall`."""
    return partial(
        Chunk.waits_for_other_hall,
        hall=hall,
        free_in_s_by_hall=free_in_s_by_hall,
        limits=limits,
        now=now,
    )


def _excludes_all(task: PieceTask, records: list[EndpointRecord]) -> bool:
    return all(record.listed.endpoint_id in task.excluded for record in records)
