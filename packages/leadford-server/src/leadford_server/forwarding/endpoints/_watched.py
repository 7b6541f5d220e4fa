"""Watch the stream of one connection to an endpoint, and name how it may end."""

import socket
from collections.abc import Awaitable
from enum import Enum

from tornado.iostream import IOStream, StreamClosedError, UnsatisfiableReadError

ANSWER_BYTES_MAX = 64 * 1024 * 1024
# From this number of chunks on, a body whose chunks take less on average, with their
# framing, is no answer: its cost is that of the chunks.
MIN_COUNTED_CHUNKS = 2_000
MIN_CHUNK_BYTES = 14


class ConnectionEnd(Enum):
    """List the ways in which a connection ends; the values appear in logs.

    CLOSED and RESET occur when the process of the peer exits. SILENT: the peer
    acknowledged nothing for too long, for example after a power failure or a network
    partition. REJECTED: this process closed it, because what arrived is no answer or is
    longer than an answer may be.
    """

    OPEN = "open"
    CLOSED = "closed"
    RESET = "reset"
    SILENT = "silent"
    REJECTED = "rejected"


# How a connection ends when the process at its other end exits.
PROCESS_EXIT_ENDS = frozenset({ConnectionEnd.CLOSED, ConnectionEnd.RESET})


class WatchedStream(IOStream):
    """Detect bytes that arrive while no answer is expected."""

    def __init__(self, sock: socket.socket) -> None:
        super().__init__(sock, max_buffer_size=ANSWER_BYTES_MAX)
        self.is_idle_ = False
        self.has_unexpected_bytes_ = False
        self.is_ended_by_peer_ = False
        # Lines that were read; tornado reads one before each chunk of a body.
        self.line_count_ = 0
        self.received_bytes_ = 0

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read, and record whether bytes arrived while the connection was idle."""
        count = super().read_from_fd(buf)
        if count and self.is_idle_:
            self.has_unexpected_bytes_ = True
        if count == 0:
            self.is_ended_by_peer_ = True
        self.received_bytes_ += count or 0
        return count

    def begin_answer(self) -> None:
        """Count the chunks of the next answer anew."""
        self.line_count_ = 0
        self.received_bytes_ = self._read_buffer_size

    def read_until(
        self, delimiter: bytes, max_bytes: int | None = None
    ) -> Awaitable[bytes]:
        """Read a line, and close a connection with too many tiny chunks instead.

        Errors: raises StreamClosedError.
        """
        self.line_count_ += 1
        taken_bytes = self.received_bytes_ - self._read_buffer_size
        is_counted = self.line_count_ >= MIN_COUNTED_CHUNKS
        if is_counted and taken_bytes < self.line_count_ * MIN_CHUNK_BYTES:
            self.close(exc_info=UnsatisfiableReadError("chunks too small"))
            raise StreamClosedError(real_error=self.error)
        return super().read_until(delimiter, max_bytes)

    def has_unread_bytes(self) -> bool:
        """Return whether received bytes are left that no answer has consumed."""
        return self._read_buffer_size > 0
