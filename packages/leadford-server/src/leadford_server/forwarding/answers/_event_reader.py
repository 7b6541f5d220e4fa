"""Read the new events of one answer, and tell when it sends too much without one.

An endpoint may send bytes that are no answer, in any form and without end. Only an
event with an id that no earlier event of the stream had shows that the answer goes on.
"""

import asyncio

import msgspec

from leadford_server.forwarding.answers._events import (
    EVENT_BYTES_MAX,
    EventStreamSplitter,
    StreamEvent,
)
from leadford_server.forwarding.endpoints import LiveAnswer

# What is split at once, between two turns of the event loop.
MAX_SPLIT_BYTES = 16 * 1024


class NewEvents(msgspec.Struct, frozen=True):
    """Hold the bytes of complete events, and the id of the last one if it has one."""

    data: bytes
    last_event_id: int | None


NO_EVENTS = NewEvents(b"", None)


class EventReader:
    """Read the events of one answer that the caller does not have.

    Events without an id are held until one with a new id follows or the answer is
    complete, since they may be bytes that are no answer.
    """

    def __init__(self, *, answer: LiveAnswer, last_event_id: int | None) -> None:
        self.answer = answer
        self.last_event_id = last_event_id
        self.splitter_ = EventStreamSplitter()
        self.unsplit_ = memoryview(b"")
        self.held_: list[bytes] = []
        self.bytes_since_event_ = 0
        # Whether any event had an id, new or not.
        self.has_events_ = False
        self.is_at_end_ = False

    @property
    def has_partial_event(self) -> bool:
        """Return whether bytes of an incomplete event are left."""
        return self.splitter_.has_partial_event

    @property
    def is_too_long(self) -> bool:
        """Return whether the answer sent too much since its last new event."""
        return self.bytes_since_event_ > EVENT_BYTES_MAX

    async def read(self) -> NewEvents:
        """Wait for new events; there are none at the end, or if it is too long."""
        while not self.is_at_end_ and not self.is_too_long:
            part = await self._next_part()
            if not part:
                return self._end()
            self.bytes_since_event_ += len(part)
            new = self._take_new(self.splitter_.feed(part))
            if new.data:
                self.bytes_since_event_ = 0
                return new
        return NO_EVENTS

    async def _next_part(self) -> memoryview:
        """Return the next bytes to split, after a turn of the loop if some are left."""
        if self.unsplit_:
            await asyncio.sleep(0)
        else:
            self.unsplit_ = memoryview(await self.answer.read_more())
        part = self.unsplit_[:MAX_SPLIT_BYTES]
        self.unsplit_ = self.unsplit_[MAX_SPLIT_BYTES:]
        return part

    def _take_new(self, events: list[StreamEvent]) -> NewEvents:
        """Return the new events; the caller has those with other ids already."""
        taken = []
        for event in events:
            if event.event_id is None:
                self.held_.append(event.data)
                continue
            self.has_events_ = True
            if self.last_event_id is not None and event.event_id <= self.last_event_id:
                self.held_.clear()
                continue
            self.last_event_id = event.event_id
            taken.extend(self.held_)
            taken.append(event.data)
            self.held_.clear()
        if not taken:
            return NO_EVENTS
        return NewEvents(b"".join(taken), self.last_event_id)

    def _end(self) -> NewEvents:
        """Return the events that were held, if the answer is complete."""
        self.is_at_end_ = True
        if not self.answer.reader.is_complete_ or self.has_partial_event:
            return NO_EVENTS
        return NewEvents(b"".join(self.held_), None)
