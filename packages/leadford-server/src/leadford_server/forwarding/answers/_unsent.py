"""Account for answer bytes that wait until the caller reads, and bound that wait.

The bytes are written to the connection, but tornado still holds them, because the
buffers of the kernel are full.
"""

from collections.abc import Callable

from tornado.iostream import IOStream

from leadford.forwarding.memory import HeldCause
from leadford_server.forwarding._framing import (
    is_writable,
    queued_bytes,
    unsent_bytes_until,
    written_bytes,
)
from leadford_server.forwarding._memory import HeldMemory

# The least time that a caller has to read a complete answer, also if the answer was
# complete only just before its deadline.
MIN_READ_TIME_S = 5.0


class UnsentAnswer:
    """Account for the bytes of one answer that are written to a caller but not sent.

    What was written to the connection afterwards belongs to other answers.

    `cut_off` closes the connection. It is called if the caller makes no progress while
    the memory is needed, or if a complete answer is not read in time. An answer that is
    not complete needs no such bound, because the deadline of its request ends it.

    Units: due_at in seconds of the monotonic clock, None if the answer is incomplete.
    """

    def __init__(
        self,
        *,
        memory: HeldMemory,
        stream: IOStream,
        cut_off: Callable[[], None],
        due_at: float | None,
    ) -> None:
        self.memory = memory
        self.stream = stream
        self.cut_off = cut_off
        self.overdue_at_: float | None = None
        if due_at is not None:
            self.overdue_at_ = max(due_at, memory.now() + MIN_READ_TIME_S)
        self.written = written_bytes(stream)
        # What the kernel held at the last look.
        self.queued_ = 0
        self.held_ = memory.hold(HeldCause.UNSENT_ANSWER, cut_off, self.refresh)
        self.held_.set(self._unsent_bytes)

    @property
    def _unsent_bytes(self) -> int:
        return unsent_bytes_until(self.stream, self.written)

    def release(self) -> None:
        """Record that all bytes were sent, or will not be."""
        self.held_.release()

    def refresh(self) -> None:
        """Record how much was sent."""
        unsent = self._unsent_bytes
        if not unsent:
            self.held_.release()
            return
        is_being_read = self._is_being_read()
        if is_being_read or unsent < self.held_.count:
            self.held_.record_progress()
        self.held_.set(min(unsent, self.held_.count))

    def _is_being_read(self) -> bool:
        """Return whether the caller has read on, though no more could be sent yet."""
        queued = queued_bytes(self.stream)
        has_read = queued < self.queued_
        self.queued_ = queued
        return has_read or is_writable(self.stream)

    def check(self) -> bool:
        """Record how much was sent; return whether there is more to check."""
        self.refresh()
        if self.held_.is_released_:
            return False
        if self._is_overdue():
            self.cut_off()
            self.held_.release()
            return False
        return True

    def _is_overdue(self) -> bool:
        if self.overdue_at_ is None or not self.memory.is_limited:
            return False
        return self.memory.now() > self.overdue_at_
