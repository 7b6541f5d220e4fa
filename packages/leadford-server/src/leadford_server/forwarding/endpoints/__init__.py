"""Pool connections to endpoints, and exchange requests and answers over them.

`leadford.forwarding.endpoints` decides how many connections are allowed.
"""

from leadford_server.forwarding.endpoints._connection import EndpointConnection
from leadford_server.forwarding.endpoints._pool import ConnectionPool
from leadford_server.forwarding.endpoints._reader import (
    BreakKind,
    ExchangeBroken,
    LiveAnswer,
)
from leadford_server.forwarding.endpoints._watched import (
    PROCESS_EXIT_ENDS,
    ConnectionEnd,
)

__all__ = [
    "BreakKind",
    "ConnectionEnd",
    "ConnectionPool",
    "EndpointConnection",
    "ExchangeBroken",
    "LiveAnswer",
    "PROCESS_EXIT_ENDS",
]
