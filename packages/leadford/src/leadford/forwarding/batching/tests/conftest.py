"""What the tests of batching share: the limits of a service, and a piece for it."""

from leadford.common import EntryId, RequestId
from leadford.forwarding.batching import PieceKey, PieceTask
from leadford.forwarding.routes import PieceLimits


def piece_limits(**fields):
    """Return a batched service that makes four pieces a call, with `fields` changed."""
    usual = {
        "slots": 1,
        "queue": 2,
        "batch": 4,
        "call_ms": 200.0,
        "piece_ms": 50.0,
        "room_bytes": 100,
        "retention_s": 4.0,
    }
    return PieceLimits(**{**usual, **fields})


def piece_task(**fields):
    """Return a piece that reads nothing and has much time, with `fields` changed."""
    usual = {
        "correlation_id": 1,
        "origin": EntryId("origin"),
        "request_id": RequestId("r"),
        "key": PieceKey(0, 0),
        "request_key": "k",
        "inputs": (),
        "result_bytes": 10,
        "deadline": 100.0,
        "due_at": 1.0,
        "rank_at": 1.0,
        "queued_at": 0.0,
    }
    return PieceTask(**{**usual, **fields})
