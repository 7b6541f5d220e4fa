"""Pool connections to endpoints, and exchange requests and answers over them.

`leadford.forwarding.endpoints` decides how many connections are allowed.
"""

from leadford_server.forwarding.endpoints._connection import (
    ConnectionEnd,
    EndpointConnection,
)
from leadford_server.forwarding.endpoints._pool import ConnectionPool
from leadford_server.forwarding.endpoints._reader import (
    BreakKind,
    ExchangeBroken,
    LiveAnswer,
)

__all__ = [
    "BreakKind",
    "ConnectionEnd",
    "ConnectionPool",
    "EndpointConnection",
    "ExchangeBroken",
    "LiveAnswer",
]
