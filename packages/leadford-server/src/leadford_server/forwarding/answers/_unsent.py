"""Account for answer bytes that wait until the caller reads, and bound that wait.

The bytes are written to the connection, but tornado still holds them, because the
buffers of the kernel are full.
"""

from collections.abc import Callable

from tornado.iostream import IOStream

from leadford.forwarding.memory import HeldCause
from leadford_server.forwarding._framing import unsent_bytes
from leadford_server.forwarding._memory import HeldMemory

# The least time that a caller has to read a complete answer, also if the answer was
# complete only just before its deadline.
MIN_READ_TIME_S = 5.0


class UnsentAnswer:
    """Account for bytes that are written to one caller but not sent.

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
        self.held_ = memory.hold(HeldCause.UNSENT_ANSWER, cut_off)
        self.held_.set(unsent_bytes(stream))

    def release(self) -> None:
        """Record that all bytes were sent, or will not be."""
        self.held_.release()

    def check(self) -> bool:
        """Record how much was sent; return whether there is more to check."""
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
        if self.overdue_at_ is None or not self.memory.is_limited:
            return False
        return self.memory.now() > self.overdue_at_
