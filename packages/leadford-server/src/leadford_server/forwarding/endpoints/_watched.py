"""Watch the stream of one connection to an endpoint, and name how it may end."""

import socket
from enum import Enum

from tornado.iostream import IOStream

ANSWER_BYTES_MAX = 64 * 1024 * 1024


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


class WatchedStream(IOStream):
    """Detect bytes that arrive while no answer is expected."""

    def __init__(self, sock: socket.socket) -> None:
        super().__init__(sock, max_buffer_size=ANSWER_BYTES_MAX)
        self.is_idle_ = False
        self.has_unexpected_bytes_ = False
        self.is_ended_by_peer_ = False

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read, and record whether bytes arrived while the connection was idle."""
        count = super().read_from_fd(buf)
        if count and self.is_idle_:
            self.has_unexpected_bytes_ = True
        if count == 0:
            self.is_ended_by_peer_ = True
        return count

    def has_unread_bytes(self) -> bool:
        """Return whether received bytes are left that no answer has consumed."""
        return self._read_buffer_size > 0
