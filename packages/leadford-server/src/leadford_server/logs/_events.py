"""Write events to the log, the journal and the metrics.

Each event is one line of JSON with its number in the catalogue (docs/EVENTS.md). The
journal keeps the last events in memory for operators' queries.
"""

import json
import time

from absl import logging

from leadford.events import Event, EventJournal, EventRecord, Severity
from leadford_server.metrics import EVENTS_TOTAL

_WRITE_BY_SEVERITY = {
    Severity.INFO: logging.info,
    Severity.WARNING: logging.warning,
    Severity.ERROR: logging.error,
}


class EventLog:
    """Report the events of one process."""

    def __init__(self, *, process_id: str) -> None:
        self.process_id = process_id
        self.journal_ = EventJournal()

    def report(self, event: Event, **fields: str | int | float) -> EventRecord:
        """Log, record and count one event with its fields."""
        record = self.journal_.add(event, time.time(), fields)
        EVENTS_TOTAL.labels(event=event.name.lower()).inc()
        line = {
            "event": event.number,
            "name": event.name.lower(),
            "process": self.process_id,
            **fields,
        }
        _WRITE_BY_SEVERITY[event.severity]("%s", json.dumps(line))
        return record
