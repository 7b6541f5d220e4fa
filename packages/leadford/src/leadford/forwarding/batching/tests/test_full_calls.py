"""A saturated stage fills its calls, even where whole requests leave places empty.

Replays a backlog at endpoints that run one call at a time. Each request has six pieces
and a call takes 16, so calls of whole requests would carry only 12.
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
DURATION_S = 10.0
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
    """Return the number of pieces of each call, and when each request completed."""
    queue = backlog(requests)
    capacities = CapacityTable()
    records = [record(number) for number in range(endpoints)]
    # Endpoints become free one after another, as under a steady load.
    starts = [number * 0.37 / endpoints for number in range(endpoints)]
    events = [(start, -1, 0) for start in starts]
    heapq.heapify(events)
    sizes = []
    remaining_by_request = {}
    made_at = {}
    while events:
        now, number, size = heapq.heappop(events)
        if number >= 0:
            capacities.capacity(records[number].listed.endpoint_id, LIMITS).end(size)
        if now > DURATION_S:
            continue
        while True:
            decision = next_call(queue, capacities, records, LIMITS, now)
            if decision.action is not FillAction.SEND:
                break
            sizes.append(len(decision.tasks))
            count = len(decision.tasks)
            endpoint_id = decision.record.listed.endpoint_id
            capacities.capacity(endpoint_id, LIMITS).begin(count, count, now)
            ends_at = now + LIMITS.duration_ms(count) / 1_000.0
            heapq.heappush(events, (ends_at, records.index(decision.record), count))
            for task in decision.tasks:
                remaining_by_request[task.request_id] = (
                    remaining_by_request.get(task.request_id, PIECES) - 1
                )
                if remaining_by_request[task.request_id] == 0:
                    made_at[task.request_id] = ends_at
    return sizes, made_at


def test_calls_of_a_stage_with_many_endpoints_are_full():
    sizes, _ = replay(14)
    assert sum(sizes) / len(sizes) > 15.5


def test_as_many_more_requests_are_made():
    sizes, made_at = replay(14)
    made = [at for at in made_at.values() if at <= DURATION_S]
    # With 12 pieces per call, each endpoint computes 36.1 pieces per second.
    assert len(made) * PIECES > 1.1 * 36.1 * 14 * DURATION_S


def test_a_request_stays_whole_where_its_rest_would_wait():
    capacities = CapacityTable()
    busy, free = record(0), record(1)
    capacities.capacity(busy.listed.endpoint_id, LIMITS).begin(16, 16, 0.0)
    decision = next_call(backlog(20), capacities, [busy, free], LIMITS, 0.0)
    assert len(decision.tasks) == 12
    soon = LIMITS.full_call_s - 0.05
    decision = next_call(backlog(20), capacities, [busy, free], LIMITS, soon)
    assert len(decision.tasks) == 16


def test_a_request_stays_whole_while_little_waits():
    decision = next_call(
        backlog(5), CapacityTable(), [record(0), record(1)], LIMITS, 0.0
    )
    assert len(decision.tasks) == 12
