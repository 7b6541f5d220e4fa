"""The catalogue of events and its page agree."""

import re
from pathlib import Path

from leadford.events import Event, EventJournal

PAGE = Path(__file__).parents[6] / "docs" / "EVENTS.md"


def test_numbers_are_unique():
    numbers = [event.number for event in Event]
    assert len(numbers) == len(set(numbers))


def test_the_page_lists_every_event_as_the_code_does():
    rows = re.findall(
        r"^\| (\d+) \| `(\w+)` \| (\w+) \| (.+) \|$", PAGE.read_text(), re.M
    )
    expected = [
        (str(event.number), event.name.lower(), event.severity.value, event.meaning)
        for event in Event
    ]
    assert rows == expected


def test_the_journal_is_bounded_and_counts_all():
    journal = EventJournal(records_max=2)
    for number in range(5):
        journal.add(Event.PEER_LOST, float(number), {})
    assert [record.at_s for record in journal.records_] == [3.0, 4.0]
    assert journal.counts_by_event_[Event.PEER_LOST] == 5
