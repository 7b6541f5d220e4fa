"""Split a stream of server-sent events into whole events.

Used by the relay of events: what has not arrived whole is not passed on, so that a
stream that goes on at another endpoint repeats and tears nothing.
"""

import msgspec

# Bytes that one event may have.
EVENT_BYTES_MAX = 1024 * 1024
# What ends an event.
_ENDS = (b"\n\n", b"\r\n\r\n")


class StreamEvent(msgspec.Struct, frozen=True):
    """Hold one whole event as its bytes, and its id."""

    data: bytes
    event_id: int | None


class EventStreamSplitter:
    """Return events once they are whole; what is torn stays inside."""

    def __init__(self) -> None:
        self.buffer_ = bytearray()

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Record bytes and return the events that they complete."""
        self.buffer_ += data
        events = []
        while True:
            end = self._end()
            if end < 0:
                return events
            raw = bytes(self.buffer_[:end])
            del self.buffer_[:end]
            events.append(StreamEvent(raw, _event_id(raw)))

    @property
    def is_torn(self) -> bool:
        """Tell whether bytes of an unfinished event are left, or too many came."""
        return bool(self.buffer_.strip())

    @property
    def is_overfull(self) -> bool:
        """Tell whether an event is longer than any event may be."""
        return len(self.buffer_) > EVENT_BYTES_MAX

    def _end(self) -> int:
        found = -1
        for mark in _ENDS:
            at = self.buffer_.find(mark)
            if at >= 0 and (found < 0 or at + len(mark) < found):
                found = at + len(mark)
        return found


def _event_id(raw: bytes) -> int | None:
    for line in raw.splitlines():
        if not line.startswith(b"id:"):
            continue
        text = line[3:].strip()
        return int(text) if text.isdigit() else None
    return None
