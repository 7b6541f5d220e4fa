"""Run coroutines on a simulated clock, on which waits pass at once.

For tests of what happens over many seconds. Relies on nothing outside the process:
sockets and threads get no time to answer.
"""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import TypeVar

T = TypeVar("T")


class _ClockSelector(selectors.SelectSelector):
    """Move the clock to the next timer instead of waiting for it."""

    def __init__(self) -> None:
        super().__init__()
        self.now_ = 0.0

    def select(self, timeout: float | None = None) -> list:
        """Return what is ready now; without a timer nothing would ever happen."""
        ready = super().select(0)
        if ready:
            return ready
        if timeout is None:
            raise RuntimeError("every task waits, and no timer is set")
        self.now_ += timeout
        return ready


class SimulatedLoop(asyncio.SelectorEventLoop):
    """Run on a clock that begins at 0 and moves only when every task waits."""

    def __init__(self) -> None:
        self.clock_ = _ClockSelector()
        super().__init__(self.clock_)

    def time(self) -> float:
        """Return the simulated clock.

        Units: seconds.
        """
        return self.clock_.now_


def run_simulated(coroutine: Coroutine[None, None, T]) -> T:
    """Run a coroutine to its end and return its result."""
    with asyncio.Runner(loop_factory=SimulatedLoop) as runner:
        return runner.run(coroutine)
