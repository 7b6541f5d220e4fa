"""The numbered events that the processes log."""

from leadford.events._catalogue import Event, EventRecord, Severity
from leadford.events._journal import EventJournal

__all__ = ["Event", "EventJournal", "EventRecord", "Severity"]
