"""Structured logs: numbered events as one JSON object a line."""

from leadford_server.logs._events import EventLog

__all__ = ["EventLog"]
