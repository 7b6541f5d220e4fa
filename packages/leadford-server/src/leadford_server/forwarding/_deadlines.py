"""End requests at their deadlines, even if these pass while the host is suspended.

Owns the timeouts of the requests under way. The timers of the loop do not advance
during a suspension, so each timeout is rescheduled for its deadline afterwards.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager


class RequestDeadlines:
    """Hold the timeouts of requests under way."""

    def __init__(self) -> None:
        self.timeouts_: set[asyncio.Timeout] = set()
        self.ends_by_ = float("inf")

    @asynccontextmanager
    async def until(self, moment: float) -> AsyncIterator[None]:
        """Cancel the enclosed block at a moment of the loop's clock.

        Errors: raises TimeoutError at the end of the block if that moment passed.
        """
        async with asyncio.timeout_at(min(moment, self.ends_by_)) as timeout:
            self.timeouts_.add(timeout)
            try:
                yield
            finally:
                self.timeouts_.discard(timeout)

    def end_by(self, moment: float) -> None:
        """End every present and future request by a moment of the loop's clock."""
        self.ends_by_ = moment
        for timeout in self.timeouts_:
            if not timeout.expired() and timeout.when() > moment:
                timeout.reschedule(moment)

    def reschedule_all(self) -> None:
        """Reschedule every timeout according to the current time."""
        for timeout in self.timeouts_:
            if not timeout.expired():
                timeout.reschedule(timeout.when())
