"""Follow how much of what is written to a caller is sent, and cut off one that stops.

Reports the bytes that wait in the process until the caller reads.
"""

from collections.abc import Callable

from tornado.iostream import IOStream

from leadford.forwarding.memory import HeldCause
from leadford_server.forwarding._memory import HeldMemory

# Seconds for which a caller may read an answer that came just before its deadline.
MIN_READ_TIME_S = 5.0


def unsent_bytes(stream: IOStream | None) -> int:
    """Return how many bytes are written to a connection and not sent."""
    if stream is None or stream.closed() or not stream.writing():
        return 0
    # tornado itself tells only whether its buffer is empty.
    return len(stream._write_buffer)


class UnsentAnswer:
    """Hold what is written to one caller and not sent.

    `cut_off` closes the connection: if the memory is needed, or if a complete answer is
    not read by its time. While an answer is still being made, the deadline of its
    request ends it.

    Units: due_at in seconds of the monotonic clock, None while the answer is made.
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
        self.read_until: float | None = None
        if due_at is not None:
            self.read_until = max(due_at, memory.now() + MIN_READ_TIME_S)
        self.held_ = memory.hold(HeldCause.UNSENT_ANSWER, cut_off)
        self.held_.set(unsent_bytes(stream))

    def release(self) -> None:
        """Record that nothing waits any more."""
        self.held_.release()

    def check(self) -> bool:
        """Follow how much was sent; return whether something still waits."""
        unsent = unsent_bytes(self.stream)
        if not unsent or self.held_.is_released_:
            self.held_.release()
            return False
        if unsent < self.held_.count:
            self.held_.record_progress()
            self.held_.set(unsent)
        if self._is_overdue():
            self.cut_off()
            self.held_.release()
            return False
        return True

    def _is_overdue(self) -> bool:
        if self.read_until is None or not self.memory.is_limited:
            return False
        return self.memory.now() > self.read_until
