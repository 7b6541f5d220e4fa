"""Run the stages before a request: its graph of pieces, and batches over requests."""

from leadford.pieces._graph import PieceGraph, PieceKey, PieceState, StageCounts
from leadford.pieces._lanes import Lane, LaneTable
from leadford.pieces._queue import PieceQueue, PieceTask

__all__ = [
    "Lane",
    "LaneTable",
    "PieceGraph",
    "PieceKey",
    "PieceQueue",
    "PieceState",
    "PieceTask",
    "StageCounts",
]
