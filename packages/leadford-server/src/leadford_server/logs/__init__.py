"""Structured logs: numbered events, each a line with one JSON object."""

from leadford_server.logs._errors import error_text
from leadford_server.logs._events import EventLog

__all__ = ["EventLog", "error_text"]
