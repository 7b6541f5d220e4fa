"""Make the attempts of a request at endpoints, one after the other.

`leadford.forwarding.retries` decides whether a retry follows.
"""

from leadford_server.forwarding.retries._attempt import (
    NO_ENDPOINT,
    Attempt,
    NotRun,
)
from leadford_server.forwarding.retries._attempts import EndpointAttempts

__all__ = [
    "Attempt",
    "EndpointAttempts",
    "NO_ENDPOINT",
    "NotRun",
]
