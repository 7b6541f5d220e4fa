"""Structured logs: numbered events, each a line with one JSON object."""

from leadford_server.logs._errors import error_text
from leadford_server.logs._events import EventLog
from leadford_server.logs._times import NEVER_MS, milliseconds

__all__ = ["NEVER_MS", "EventLog", "error_text", "milliseconds"]
