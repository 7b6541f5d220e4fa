"""Run the stages before requests: pieces, the queues of groups, calls, results.

What a call carries and what follows a lost piece is decided in
`leadford.forwarding.batching`.
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
