"""Run the stages before a request: its graph of pieces, and batches over requests."""

from leadford.forwarding.batching._commitments import CommitmentKey, CommitmentTable
from leadford.forwarding.batching._graph import PieceGraph, PieceKey, PieceState
from leadford.forwarding.batching._groups import (
    GroupId,
    GroupLoad,
    GroupTable,
    PlaceId,
    RegionMap,
    keepers_in_order,
)
from leadford.forwarding.batching._lanes import (
    PAUSE_FULL_S,
    PAUSE_ROOM_S,
    Lane,
    LaneTable,
    LaneUse,
)
from leadford.forwarding.batching._queue import (
    Chunk,
    PieceQueue,
    PieceTask,
    queue_delay_s,
)

__all__ = [
    "PAUSE_FULL_S",
    "PAUSE_ROOM_S",
    "Chunk",
    "CommitmentKey",
    "CommitmentTable",
    "GroupId",
    "GroupLoad",
    "GroupTable",
    "Lane",
    "LaneTable",
    "LaneUse",
    "PieceGraph",
    "PieceKey",
    "PieceQueue",
    "PieceState",
    "PieceTask",
    "PlaceId",
    "RegionMap",
    "keepers_in_order",
    "queue_delay_s",
]
