"""Wait for an endpoint until a moment, later by what this entry itself delays.

An answer may have arrived long before a busy entry reads it. So the time in which the
event loop was late does not count against the endpoint.
"""

import asyncio
from collections.abc import Callable
from types import TracebackType

from leadford.forwarding.overload import DelayMark, LoopTurns

# A delay that is shorter does not postpone the end again.
MIN_POSTPONED_S = 0.001
# Time after which it is asked again whether the block may end.
RECHECK_INTERVAL_S = 0.1


def _may_always_end() -> bool:
    return True


class EndpointTimeout:
    """Cancel an enclosed block at `limit_at`, later by the delay of the loop.

    `mark` is the moment from which the delay counts; the begin of the block if it is
    None. From `limit_at` on, `may_end` is asked until it allows the end.

    Units: limit_at in seconds of the monotonic clock.
    Errors: raises TimeoutError at the end of the block if it was cancelled.
    """

    def __init__(
        self,
        limit_at: float,
        turns: LoopTurns,
        mark: DelayMark | None = None,
        *,
        may_end: Callable[[], bool] = _may_always_end,
    ) -> None:
        self.limit_at = limit_at
        self.turns = turns
        self.mark = mark
        self.may_end = may_end
        self.timeout_ = asyncio.timeout(None)
        self.timer_: asyncio.TimerHandle | None = None

    async def __aenter__(self) -> None:
        self.loop_ = asyncio.get_running_loop()
        self.began_ = self.mark or self.turns.mark(self.loop_.time())
        await self.timeout_.__aenter__()
        self.timer_ = self.loop_.call_at(self.limit_at, self._check)

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> bool | None:
        self.timer_.cancel()
        return await self.timeout_.__aexit__(error_type, error, traceback)

    def _check(self) -> None:
        """End the block, or check again once the delay is over."""
        now = self.loop_.time()
        due_at = self.limit_at + self.turns.delay_since_s(self.began_, now)
        if due_at - now > MIN_POSTPONED_S:
            self.timer_ = self.loop_.call_at(due_at, self._check)
            return
        if not self.may_end():
            self.timer_ = self.loop_.call_at(now + RECHECK_INTERVAL_S, self._check)
            return
        self.timeout_.reschedule(now)
