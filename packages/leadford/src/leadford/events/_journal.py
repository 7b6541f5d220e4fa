"""Keep the last events of a process for operators."""

from collections import Counter, deque

from leadford.events._catalogue import Event, EventRecord

# Older events are no longer available to operators' queries.
MAX_RECORDS = 500


class EventJournal:
    """Hold the last events, and count all events by name."""

    def __init__(self, *, records_max: int = MAX_RECORDS) -> None:
        self.records_: deque[EventRecord] = deque(maxlen=records_max)
        self.counts_by_event_: Counter[Event] = Counter()

    def add(
        self, event: Event, at_s: float, fields: dict[str, str | int | float]
    ) -> EventRecord:
        """Add one event and return its record."""
        record = EventRecord(event, at_s, fields)
        self.records_.append(record)
        self.counts_by_event_[event] += 1
        return record
