"""What a decision costs does not grow with the endpoints while pieces wait."""

from leadford.common import HallId, RequestId
from leadford.forwarding.batching import (
    CapacityTable,
    FillAction,
    PieceKey,
    PieceQueue,
    next_call,
)
from leadford.forwarding.batching._tasks import Chunk
from leadford.forwarding.batching.tests.conftest import piece_limits, piece_task
from leadford.forwarding.routes import ResultHandle
from leadford_standins.records import endpoint_record

LIMITS = piece_limits(batch=16, queue=2, room_bytes=1_000)
HALLS = 3
CHUNKS = 50
PIECES = 6
RECORDS = [
    endpoint_record(f"e{number}", hall=f"h{number % HALLS}") for number in range(30)
]


def waiting_queue():
    queue = PieceQueue()
    for chunk in range(CHUNKS):
        for piece in range(PIECES):
            queue.push(
                piece_task(
                    request_id=RequestId(f"r{chunk}"),
                    key=PieceKey(1, piece),
                    local_bytes_by_hall={HallId(f"h{chunk % HALLS}"): 8_000},
                    level=chunk % 3,
                )
            )
    return queue


def looks_at_chunks(monkeypatch, capacities):
    """Return the action of a decision, and how often it asks if a chunk is late."""
    looks = []
    is_late = Chunk.is_late
    monkeypatch.setattr(
        Chunk, "is_late", lambda *args: looks.append(1) or is_late(*args)
    )
    step = next_call(waiting_queue(), capacities, RECORDS, LIMITS, 0.5)
    return step.action, len(looks)


def test_no_waiting_piece_is_looked_at_while_all_endpoints_are_busy(monkeypatch):
    capacities = CapacityTable()
    for record in RECORDS:
        capacities.capacity(record.listed.endpoint_id, LIMITS).begin(16, 160, 0.5)
    assert looks_at_chunks(monkeypatch, capacities) == (FillAction.RECHECK, 0)


def test_waiting_pieces_are_sorted_once_while_no_endpoint_has_room(monkeypatch):
    capacities = CapacityTable()
    for record in RECORDS:
        capacity = capacities.capacity(record.listed.endpoint_id, LIMITS)
        capacity.hold(ResultHandle("old"), LIMITS.room_bytes, 0.0)
    action, looks = looks_at_chunks(monkeypatch, capacities)
    assert action is FillAction.RECHECK
    assert looks <= CHUNKS
