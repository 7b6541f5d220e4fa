"""Run the stages that precede requests: pieces, group queues, calls and results.

`leadford.forwarding.batching` decides what a call carries and what follows a lost
piece.
"""

from leadford_server.forwarding.batching._inputs import RequestInputs
from leadford_server.forwarding.batching._jobs import StageFailure
from leadford_server.forwarding.batching._pieces import PieceExchange
from leadford_server.forwarding.batching._stages import StageRunner

__all__ = [
    "PieceExchange",
    "RequestInputs",
    "StageFailure",
    "StageRunner",
]
