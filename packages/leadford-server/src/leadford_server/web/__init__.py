"""What the HTTP calls of the processes share."""

from leadford_server.web._fetch import NO_ANSWER, fetch

__all__ = ["NO_ANSWER", "fetch"]
