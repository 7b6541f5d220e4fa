"""Split a stream of server-sent events into complete events.

Used by the event relay. It passes on complete events only, so that a stream which
continues at another endpoint neither repeats nor truncates an event.
"""

import msgspec

EVENT_BYTES_MAX = 1024 * 1024
# Byte sequences that end an event.
_EVENT_SEPARATORS = (b"\n\n", b"\r\n\r\n")


class StreamEvent(msgspec.Struct, frozen=True):
    """Hold the bytes and the id of one complete event."""

    data: bytes
    event_id: int | None


class EventStreamSplitter:
    """Return events once they are complete; keep the bytes of an incomplete one."""

    def __init__(self) -> None:
        self.buffer_ = bytearray()

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Append bytes and return the events that they complete."""
        self.buffer_ += data
        events = []
        while True:
            end = self._event_end()
            if end < 0:
                return events
            event_bytes = bytes(self.buffer_[:end])
            del self.buffer_[:end]
            events.append(StreamEvent(event_bytes, _event_id(event_bytes)))

    @property
    def has_partial_event(self) -> bool:
        """Return whether bytes of an incomplete or overlong event are left."""
        return bool(self.buffer_.strip())

    @property
    def is_too_long(self) -> bool:
        """Return whether an incomplete event exceeds the maximum size."""
        return len(self.buffer_) > EVENT_BYTES_MAX

    def _event_end(self) -> int:
        end_at = -1
        for mark in _EVENT_SEPARATORS:
            at = self.buffer_.find(mark)
            if at >= 0 and (end_at < 0 or at + len(mark) < end_at):
                end_at = at + len(mark)
        return end_at


def _event_id(event_bytes: bytes) -> int | None:
    for line in event_bytes.splitlines():
        if not line.startswith(b"id:"):
            continue
        text = line[3:].strip()
        return int(text) if text.isdigit() else None
    return None
