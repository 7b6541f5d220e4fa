"""A stage that binds fills its calls, also where requests do not fit whole.

Replays a backlog at endpoints that make calls one after the other: each request brings
six pieces, a call takes 16.
"""

import heapq

import msgspec

from leadford.common import RequestId
from leadford.forwarding.batching import (
    CapacityTable,
    FillAction,
    PieceKey,
    PieceQueue,
    next_call,
)
from leadford.forwarding.batching.tests.conftest import piece_limits, piece_task
from leadford_standins.records import endpoint_record

LIMITS = piece_limits(batch=16, piece_ms=11.0, room_bytes=10_000_000)
PIECES = 6
LENGTH_S = 10.0
TASK = piece_task(result_bytes=1, due_at=50.0, rank_at=50.0)


def record(number):
    return endpoint_record(f"e{number}")


def backlog(requests):
    queue = PieceQueue()
    for request in range(requests):
        for piece in range(PIECES):
            queue.push(
                msgspec.structs.replace(
                    TASK,
                    request_id=RequestId(f"r{request:04}"),
                    key=PieceKey(0, piece),
                    rank_at=50.0 + request,
                )
            )
    return queue


def replay(endpoints, *, requests=1_100):
    """Return the pieces of each call, and when each request was made."""
    queue = backlog(requests)
    capacities = CapacityTable()
    records = [record(number) for number in range(endpoints)]
    # Endpoints become free one after the other, as they do under a steady load.
    starts = [number * 0.37 / endpoints for number in range(endpoints)]
    moments = [(start, -1, 0) for start in starts]
    heapq.heapify(moments)
    sizes = []
    left = {}
    made_at = {}
    while moments:
        now, number, size = heapq.heappop(moments)
        if number >= 0:
            capacities.capacity(records[number].listed.endpoint_id, LIMITS).end(size)
        if now > LENGTH_S:
            continue
        while True:
            step = next_call(queue, capacities, records, LIMITS, now)
            if step.action is not FillAction.SEND:
                break
            sizes.append(len(step.tasks))
            count = len(step.tasks)
            endpoint_id = step.record.listed.endpoint_id
            capacities.capacity(endpoint_id, LIMITS).begin(count, count, now)
            ends_at = now + LIMITS.duration_ms(count) / 1_000.0
            heapq.heappush(moments, (ends_at, records.index(step.record), count))
            for task in step.tasks:
                left[task.request_id] = left.get(task.request_id, PIECES) - 1
                if left[task.request_id] == 0:
                    made_at[task.request_id] = ends_at
    return sizes, made_at


def test_calls_of_a_stage_with_many_endpoints_are_full():
    sizes, _ = replay(14)
    assert sum(sizes) / len(sizes) > 15.5


def test_as_many_more_requests_are_made():
    sizes, made_at = replay(14)
    made = [at for at in made_at.values() if at <= LENGTH_S]
    # Twelve pieces a call make 36.1 a second at each endpoint.
    assert len(made) * PIECES > 1.1 * 36.1 * 14 * LENGTH_S


def test_a_request_stays_whole_where_its_rest_would_wait():
    capacities = CapacityTable()
    busy, free = record(0), record(1)
    capacities.capacity(busy.listed.endpoint_id, LIMITS).begin(16, 16, 0.0)
    step = next_call(backlog(20), capacities, [busy, free], LIMITS, 0.0)
    assert len(step.tasks) == 12
    soon = LIMITS.full_call_s - 0.05
    step = next_call(backlog(20), capacities, [busy, free], LIMITS, soon)
    assert len(step.tasks) == 16


def test_a_request_stays_whole_while_little_waits():
    step = next_call(backlog(5), CapacityTable(), [record(0), record(1)], LIMITS, 0.0)
    assert len(step.tasks) == 12
