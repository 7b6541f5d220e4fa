"""Wait for an endpoint until a moment, later by what this entry itself delays.

An answer may have arrived long before a busy entry reads it. So the time in which the
event loop was late does not count against the endpoint.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from leadford.forwarding.overload import DelayMark, LoopTurns

# A delay that is shorter does not postpone the end again.
MIN_POSTPONED_S = 0.001


@asynccontextmanager
async def endpoint_timeout(
    limit_at: float, turns: LoopTurns, mark: DelayMark | None = None
) -> AsyncIterator[None]:
    """Cancel the enclosed block at `limit_at`, later by the delay of the loop.

    `mark` is the moment from which the delay counts; now if it is None.

    Units: limit_at in seconds of the monotonic clock.
    Errors: raises TimeoutError at the end of the block if it was cancelled.
    """
    loop = asyncio.get_running_loop()
    began = mark or turns.mark(loop.time())
    timer: asyncio.TimerHandle | None = None

    def check() -> None:
        nonlocal timer
        now = loop.time()
        due_at = limit_at + turns.delay_since_s(began, now)
        if due_at - now > MIN_POSTPONED_S:
            timer = loop.call_at(due_at, check)
            return
        timeout.reschedule(now)

    async with asyncio.timeout(None) as timeout:
        timer = loop.call_at(limit_at, check)
        try:
            yield
        finally:
            timer.cancel()
