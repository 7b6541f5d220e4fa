"""Run an event loop whose clock jumps to the next timer, so that no test waits."""

import asyncio
import selectors

START_S = 100.0


class InstantSelector(selectors.DefaultSelector):
    """Advance the clock of a loop instead of waiting."""

    def __init__(self):
        super().__init__()
        self.now = START_S

    def select(self, timeout=None):
        self.now += timeout or 0.0
        return super().select(0)


def new_loop():
    """Return an event loop that starts at `START_S`."""
    selector = InstantSelector()
    loop = asyncio.SelectorEventLoop(selector)
    loop.time = lambda: selector.now
    return loop
