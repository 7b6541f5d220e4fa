"""Explain a day of a forwarding fleet from the logs of its entries.

Owns nothing that runs: it reads log lines of events 304, 406 and 407 and says for each
request why it was not in time, how full and busy batched stages were, and what a
scheduler that had known the day could have served.
"""

from leadford_cli.days._bound import ServiceBound, service_bounds
from leadford_cli.days._losses import CallerRequest, LossCause, caller_requests
from leadford_cli.days._records import CallEnded, DayLog, RequestEnded, read_day

__all__ = [
    "CallEnded",
    "CallerRequest",
    "DayLog",
    "LossCause",
    "RequestEnded",
    "ServiceBound",
    "caller_requests",
    "read_day",
    "service_bounds",
]
