"""Receive requests from callers and answer each of them.

`_request` contains the steps of one request. `leadford.forwarding.answers` decides the
final answer.
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
