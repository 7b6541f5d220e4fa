"""Functions of HTTP that the processes share."""

from leadford_server.web._fetch import NO_RESPONSE_STATUS, fetch, is_closed_by_peer
from leadford_server.web._headers import keep_alive_timeout_s
from leadford_server.web._open_calls import MAX_OPEN_CALLS, OpenCalls
from leadford_server.web._transfer import (
    FetchedResponse,
    FetchTimeouts,
    fetch_while_arriving,
    is_success,
)

__all__ = [
    "MAX_OPEN_CALLS",
    "NO_RESPONSE_STATUS",
    "FetchTimeouts",
    "FetchedResponse",
    "OpenCalls",
    "fetch",
    "fetch_while_arriving",
    "is_closed_by_peer",
    "is_success",
    "keep_alive_timeout_s",
]
