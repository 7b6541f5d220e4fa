"""Run the steps of a planned stop, each to its end.

An error in a step, or a cancellation of the stop, is logged (event 110) and prevents no
later step: otherwise the process would end with requests open.
"""

import asyncio
import inspect
from collections.abc import Awaitable, Callable

from leadford.events import Event
from leadford_server.logs import EventLog, error_text

# A step that is a coroutine function is awaited.
StopStep = Callable[[], Awaitable[None] | None]


class StopSteps:
    """Run steps of one planned stop, and log what disturbs them.

    `open_counts` returns what the stop would cut off now, for the log.
    """

    def __init__(
        self, *, log: EventLog, open_counts: Callable[[], dict[str, int]] = dict
    ) -> None:
        self.log = log
        self.open_counts = open_counts
        # An error that each repetition of a step meets is logged once.
        self.logged_errors_: set[str] = set()

    async def complete(self, step: StopStep) -> None:
        """Run a step to its end, even if this task is cancelled meanwhile."""
        task = asyncio.ensure_future(_call(step))
        while not task.done():
            try:
                await asyncio.wait({task})
            except asyncio.CancelledError:
                self._log("cancelled")
        if task.cancelled():
            self._log("a step was cancelled")
        elif task.exception() is not None:
            self._log_error(task.exception())

    def attempt(self, step: Callable[[], None]) -> None:
        """Run a step that does not wait, from within another step."""
        try:
            step()
        except Exception as error:
            self._log_error(error)

    def _log_error(self, error: BaseException) -> None:
        self._log(error_text(error))

    def _log(self, error: str) -> None:
        if error in self.logged_errors_:
            return
        self.logged_errors_.add(error)
        self.log.report(Event.STOP_DISTURBED, error=error, **self.open_counts())


async def _call(step: StopStep) -> None:
    result = step()
    if inspect.isawaitable(result):
        await result
