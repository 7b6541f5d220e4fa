"""Split a stream of server-sent events into complete events.

Used by the event reader. Complete events only are passed on, so that a stream which
continues at another endpoint neither repeats nor truncates an event.
"""

import re

import msgspec

EVENT_BYTES_MAX = 1024 * 1024
# Larger numbers are no ids.
MAX_EVENT_ID_DIGITS = 18
# An empty line ends an event.
_EVENT_END = re.compile(rb"\n\r?\n")
_EVENT_ENDS = (b"\n\n", b"\n\r\n")
_LINE_ENDS = re.compile(rb"[\r\n]*")
# Bytes of an end that may have arrived without its last byte.
_MAX_PARTIAL_END_BYTES = 2


class StreamEvent(msgspec.Struct, frozen=True):
    """Hold the bytes and the id of one complete event, or of several without an id."""

    data: bytes
    event_id: int | None


class EventStreamSplitter:
    """Return events once they are complete; keep the bytes of an incomplete one.

    Each byte is searched once, however the bytes arrive.
    """

    def __init__(self) -> None:
        self.buffer_ = bytearray()
        # How many bytes of the buffer were searched for the end of the event.
        self.searched_bytes_ = 0

    def feed(self, data: bytes | memoryview) -> list[StreamEvent]:
        """Append bytes and return the events that they complete.

        Empty lines before an event are dropped. Events without an id that follow each
        other are returned as one, and comments count as such events.
        """
        self.buffer_ += data
        events = []
        unidentified = []
        begin = self._skip_line_ends(0)
        while True:
            end = self._event_end(begin)
            if end is None:
                break
            event_bytes = bytes(self.buffer_[begin:end])
            event_id = _event_id(event_bytes)
            if event_id is None:
                # Those that follow without an id are taken at once.
                run_end = self._unidentified_end(end)
                unidentified.append(bytes(self.buffer_[begin:run_end]))
                begin = self._skip_line_ends(run_end)
                continue
            begin = self._skip_line_ends(end)
            _append_unidentified(events, unidentified)
            events.append(StreamEvent(event_bytes, event_id))
        _append_unidentified(events, unidentified)
        del self.buffer_[:begin]
        self.searched_bytes_ = max(0, len(self.buffer_) - _MAX_PARTIAL_END_BYTES)
        return events

    @property
    def has_partial_event(self) -> bool:
        """Return whether bytes of an incomplete event are left."""
        return bool(self.buffer_)

    def _skip_line_ends(self, begin: int) -> int:
        return _LINE_ENDS.match(self.buffer_, begin).end()

    def _event_end(self, begin: int) -> int | None:
        found = _EVENT_END.search(self.buffer_, max(begin, self.searched_bytes_))
        return None if found is None else found.end()

    def _unidentified_end(self, begin: int) -> int:
        """Return where the complete events without an id that begin here end."""
        id_at = self.buffer_.find(b"id:", begin)
        until = len(self.buffer_) if id_at < 0 else id_at
        ends = [begin]
        for mark in _EVENT_ENDS:
            at = self.buffer_.rfind(mark, begin, until)
            if at >= 0:
                ends.append(at + len(mark))
        return max(ends)


def _append_unidentified(events: list[StreamEvent], unidentified: list[bytes]) -> None:
    if unidentified:
        events.append(StreamEvent(b"".join(unidentified), None))
        unidentified.clear()


def _event_id(event_bytes: bytes) -> int | None:
    if b"id:" not in event_bytes:
        return None
    for line in event_bytes.splitlines():
        if not line.startswith(b"id:"):
            continue
        text = line[3:].strip()
        is_id = text.isdigit() and len(text) <= MAX_EVENT_ID_DIGITS
        return int(text) if is_id else None
    return None
