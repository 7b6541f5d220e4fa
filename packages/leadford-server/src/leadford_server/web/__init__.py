"""HTTP client functions that the processes share."""

from leadford_server.web._fetch import NO_ANSWER, fetch, was_closed
from leadford_server.web._transfer import Patience, Transferred, fetch_while_arriving

__all__ = [
    "NO_ANSWER",
    "Patience",
    "Transferred",
    "fetch",
    "fetch_while_arriving",
    "was_closed",
]
