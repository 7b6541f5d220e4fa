"""Numbered events that the processes log, and a journal of the last ones."""

from leadford.events._catalogue import Event, EventRecord, Severity
from leadford.events._journal import EventJournal

__all__ = ["Event", "EventJournal", "EventRecord", "Severity"]
