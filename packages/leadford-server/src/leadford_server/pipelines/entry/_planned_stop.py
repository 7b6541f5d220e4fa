"""Stop an entry of the own interface as planned, so that what it has read is answered.

Owns the order of a stop: announce it, refuse requests, let those that run end, listen
no more, close each connection once its answer is written out, and close the rest.
`StopSteps` keeps an error in one of them from ending the others. The forwarding entry
stops by other rules (`leadford_server.forwarding`).
"""

import asyncio
from collections.abc import Callable, Sequence

from leadford.events import Event
from leadford_server.logs import EventLog
from leadford_server.pipelines.entry._caller_server import CallerServer
from leadford_server.pipelines.entry._requests import RequestTable
from leadford_server.stops import StopStep, StopSteps

# Time between the announcement of a stop and the first refusal, in which requests that
# are on their way are served.
ANNOUNCE_S = 0.5
# Interval between checks for running requests, and maximum time to wait for them.
DRAIN_POLL_INTERVAL_S = 0.02
DRAIN_MAX_S = 120.0
# Maximum time that a stop waits for the rest of a body.
BODY_REST_MAX_S = 5.0


class PlannedStop:
    """Run one planned stop.

    `last_steps` close everything but the connections of callers.

    Units: clock in seconds.
    """

    def __init__(
        self,
        *,
        table: RequestTable,
        callers: CallerServer,
        log: EventLog,
        clock: Callable[[], float],
        last_steps: Sequence[StopStep],
    ) -> None:
        self.table = table
        self.callers = callers
        self.log = log
        self.clock = clock
        self.last_steps = last_steps
        self.steps_ = StopSteps(log=log)

    async def run(self) -> None:
        """Serve what is on its way, refuse the rest, let all answers end, and close."""
        self.ends_at_ = self.clock() + DRAIN_MAX_S
        self.table.is_leaving_ = True
        self.log.report(Event.PROCESS_DRAINING)
        for step in (
            self._refuse_requests,
            self._wait_for_runs,
            self.callers.stop,
            self._answer_open_requests,
            self.callers.close_all_connections,
            *self.last_steps,
        ):
            await self.steps_.complete(step)
        self.log.report(Event.PROCESS_STOPPED)

    async def _refuse_requests(self) -> None:
        """Refuse requests from the end of the announcement on."""
        await asyncio.sleep(ANNOUNCE_S)
        self.table.draining_ = True

    async def _wait_for_runs(self) -> None:
        """Wait until no request runs."""
        while self.table.runs_by_id_ and self.clock() < self.ends_at_:
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)

    async def _answer_open_requests(self) -> None:
        """Wait for the answers that are left, and close the connections."""
        body_ends_at = self.clock() + BODY_REST_MAX_S
        while self.table.runs_by_id_ or not self.callers.is_empty:
            if self.clock() >= self.ends_at_:
                return
            if self.clock() >= body_ends_at:
                self.steps_.attempt(self.callers.close_partial)
            # While others wait, callers may use idle connections and are refused there.
            if not self.callers.busy_:
                self.steps_.attempt(self.callers.close_idle)
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
