"""Provide the limits of a batched service and a piece for it to the tests."""

from leadford.common import EntryId, RequestId
from leadford.forwarding.batching import PieceKey, PieceTask
from leadford.forwarding.routes import PieceLimits


def piece_limits(**fields):
    """Return limits of a service with four pieces per call, with `fields` changed."""
    defaults = {
        "slots": 1,
        "queue": 2,
        "batch": 4,
        "call_ms": 200.0,
        "piece_ms": 50.0,
        "room_bytes": 100,
        "retention_s": 4.0,
    }
    return PieceLimits(**{**defaults, **fields})


def piece_task(**fields):
    """Return a piece without inputs and with ample time, with `fields` changed."""
    defaults = {
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
    return PieceTask(**{**defaults, **fields})
