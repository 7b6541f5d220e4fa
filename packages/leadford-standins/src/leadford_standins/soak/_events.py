"""Read the events of streams as callers received them.

The engines of the soak write them (`parts/_endpoints`).
"""

import re

import msgspec

from leadford_standins.soak._ledger import Sent

# The route whose streams callers may resume.
RESUMABLE_ROUTE = "resumed"
# Number of events in each stream of an engine.
EVENTS_PER_STREAM = 5
_EVENT_PATTERN = re.compile(rb"id: (\d+)\ndata: token (\d+) of (\S+) by (\S+)\n\n")


class SeenEvent(msgspec.Struct, frozen=True):
    """Hold one event as a caller received it."""

    number: int
    text_number: int
    request_id: str
    software: str


def events_of(sent: Sent) -> list[SeenEvent]:
    """Return the whole events in the answer to a request."""
    return [
        SeenEvent(int(number), int(text), request_id.decode(), software.decode())
        for number, text, request_id, software in _EVENT_PATTERN.findall(sent.answer)
    ]


def rest_of(sent: Sent) -> bytes:
    """Return what is left of the answer to a request without its whole events."""
    return _EVENT_PATTERN.sub(b"", sent.answer)


def last_event_of(sent: Sent) -> int:
    """Return the number of the last event of a stream that the caller has, or 0."""
    events = events_of(sent)
    return events[-1].number if events else sent.after_event
