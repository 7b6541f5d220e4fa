"""Take requests of callers, and give each its answer.

The way of one request stands in `_request`; what is said at its end is decided in
`leadford.forwarding.answers`.
"""

from leadford_server.forwarding.answers._callers import (
    CallerExchange,
    CallerServer,
)
from leadford_server.forwarding.answers._request import RequestForwarder

__all__ = [
    "CallerExchange",
    "CallerServer",
    "RequestForwarder",
]
