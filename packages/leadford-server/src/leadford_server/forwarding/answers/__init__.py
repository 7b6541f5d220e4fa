"""Receive requests from callers and answer each of them.

`_request` contains the steps of one request. `leadford.forwarding.answers` decides the
final answer.
"""

from leadford_server.forwarding.answers._caller_server import CallerServer
from leadford_server.forwarding.answers._callers import CallerExchange
from leadford_server.forwarding.answers._reports import CallerReports
from leadford_server.forwarding.answers._request import RequestForwarder

__all__ = [
    "CallerExchange",
    "CallerReports",
    "CallerServer",
    "RequestForwarder",
]
