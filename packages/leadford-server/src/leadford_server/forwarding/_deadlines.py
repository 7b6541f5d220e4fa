"""End requests at their deadlines, also those that pass while the host is suspended.

Owns the timeouts of the requests under way. The timers of the loop stand still during a
suspension, so after one each timeout is set anew by the moment that it stands for.
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
        """Cancel what runs inside at a moment of the loop.

        Errors: raises TimeoutError at the end of the block then.
        """
        async with asyncio.timeout_at(min(moment, self.ends_by_)) as timeout:
            self.timeouts_.add(timeout)
            try:
                yield
            finally:
                self.timeouts_.discard(timeout)

    def end_by(self, moment: float) -> None:
        """Let every request end by a moment of the loop, also those yet to begin."""
        self.ends_by_ = moment
        for timeout in self.timeouts_:
            if not timeout.expired() and timeout.when() > moment:
                timeout.reschedule(moment)

    def set_anew(self) -> None:
        """Set every timer by what the clock says now."""
        for timeout in self.timeouts_:
            if not timeout.expired():
                timeout.reschedule(timeout.when())
