"""Keep the last events of a process for operators."""

from collections import Counter, deque

from leadford.events._catalogue import Event, EventRecord

# Events that are kept for operators' queries.
RECORDS_KEPT = 500


class EventJournal:
    """Hold the last events and count all of them."""

    def __init__(self, *, records_max: int = RECORDS_KEPT) -> None:
        self.records_: deque[EventRecord] = deque(maxlen=records_max)
        self.counts_by_event_: Counter[Event] = Counter()

    def add(
        self, event: Event, at_s: float, fields: dict[str, str | int | float]
    ) -> EventRecord:
        """Add one event."""
        record = EventRecord(event, at_s, fields)
        self.records_.append(record)
        self.counts_by_event_[event] += 1
        return record
