"""Stop an entry as planned, so that each request that it has read is answered.

Owns the order of a stop: serve until callers go elsewhere, take the own record out of
the store, read no further request, answer what was read, end. `StopSteps` keeps an
error in one of the steps, or a cancellation of the stop, from ending those that follow.
`leadford.forwarding.membership` decides when a stop may and must end.
"""

import asyncio
from collections.abc import Awaitable, Callable

from leadford.events import Event
from leadford.forwarding.membership import may_stop, stop_ends_at
from leadford_server.forwarding._state import ForwardState
from leadford_server.forwarding.answers import CallerServer
from leadford_server.forwarding.batching import StageRunner
from leadford_server.stops import StopSteps

# Time between checks for what is open.
POLL_INTERVAL_S = 0.05
# Requests still under way are ended this long before the end of a planned stop, so that
# their answers can be written.
FINAL_ANSWER_MARGIN_S = 0.4


class PlannedStop:
    """Run one planned stop.

    `leave` takes the record of this entry out of the store.
    """

    def __init__(
        self,
        *,
        state: ForwardState,
        callers: CallerServer,
        stages: StageRunner,
        leave: Callable[[], Awaitable[None]],
    ) -> None:
        self.state = state
        self.callers = callers
        self.stages = stages
        self.leave = leave
        self.steps_ = StopSteps(log=state.log, open_counts=self._open_counts)

    async def run(self) -> None:
        """End requests, and return when the process may end."""
        self.began_at_ = self.state.now()
        self.ends_at_ = stop_ends_at(self.began_at_, self.state.bounds.grace_s)
        self._report(Event.PROCESS_DRAINING, live=self._live_count())
        # Otherwise the stop would cut off requests without an answer, including those
        # that were never sent to an endpoint.
        self.state.deadlines_.end_by(self.ends_at_ - FINAL_ANSWER_MARGIN_S)
        for step in (
            self._wait_until_idle,
            self.leave,
            self._end_reading,
            self._answer_what_was_read,
        ):
            await self.steps_.complete(step)
        self._report(Event.PROCESS_STOPPED, live=self._live_count())

    async def _wait_until_idle(self) -> None:
        """Serve until nothing is under way and callers go elsewhere."""
        while self.state.now() < self.ends_at_:
            if may_stop(self._elapsed_s, self._live_count()):
                return
            await asyncio.sleep(POLL_INTERVAL_S)

    def _end_reading(self) -> None:
        """Accept what has connected, and read no request of others."""
        self.callers.end_reading()
        self._report(Event.STOP_DECIDED, is_idle=self._live_count() == 0)

    async def _answer_what_was_read(self) -> None:
        """Wait until what was read is answered, and nothing else is open."""
        while self.state.now() < self.ends_at_:
            # The requests that are open are awaited also after an error.
            self.steps_.attempt(self.callers.close_unused)
            if not self.callers.open_count and not self._calls_count:
                return
            await asyncio.sleep(POLL_INTERVAL_S)

    @property
    def _elapsed_s(self) -> float:
        return self.state.now() - self.began_at_

    @property
    def _calls_count(self) -> int:
        """Return how many calls for pieces of any entry are under way."""
        return self.stages.scheduler_.calls_under_way

    def _live_count(self) -> int:
        """Return how many requests and calls for pieces of any entry are under way."""
        return self.callers.pending_count + self._calls_count

    def _open_counts(self) -> dict[str, int]:
        """Return how long the stop has gone on, and what it would cut off now.

        Units: after_ms in milliseconds.
        """
        return {
            "after_ms": round(self._elapsed_s * 1_000.0),
            "requests": len(self.callers.exchanges_),
            "unsent_answers": self.callers.unsent_count,
            "calls": self._calls_count,
            "connections": self.callers.open_count,
        }

    def _report(self, event: Event, **fields: object) -> None:
        """Log an event with what a stop at this moment would cut off."""
        self.state.log.report(event, **fields, **self._open_counts())
