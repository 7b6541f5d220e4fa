"""Pass the events of a stream on to the caller, whole and each once.

A stream may be served by several attempts in turn: events that an earlier one has
passed on are left out, and an event that breaks off is held back. How long a silent
stream is waited for is decided in `leadford.forwarding.retries`.
"""

import asyncio

from leadford.forwarding.retries import (
    ENDPOINTS_FOR_ANOTHER,
    AttemptTiming,
    silence_limit_at,
)
from leadford_server.forwarding._progress import RequestProgress
from leadford_server.forwarding._state import ForwardState
from leadford_server.forwarding.answers._answer import CallerAnswer
from leadford_server.forwarding.answers._events import EventStreamSplitter, StreamEvent
from leadford_server.forwarding.retries import Attempt, EndpointAttempts


class EventRelay:
    """Pass the events of one request's attempts on."""

    def __init__(
        self,
        *,
        state: ForwardState,
        attempts: EndpointAttempts,
        answer: CallerAnswer,
        progress: RequestProgress,
    ) -> None:
        self.state = state
        self.attempts = attempts
        self.answer = answer
        self.progress = progress

    def next_limit_at(self) -> float:
        """Return until when the next attempt is waited for to say something.

        Units: a moment of the monotonic clock in seconds.
        """
        attempt = len(self.progress.tried_) + 1
        return self._limit_at(attempt, self.attempts.choice.endpoints_left())

    def _limit_at(self, attempt: int, endpoints_left: int) -> float:
        timing = AttemptTiming(
            attempt, self.state.now(), self.progress.deadline_, endpoints_left
        )
        return silence_limit_at(
            self.progress.match_.route,
            timing,
            has_begun=self.answer.has_begun,
        )

    async def relay(self, attempt: Attempt) -> bool:
        """Pass events on; return whether the stream ended whole.

        Errors: raises TimeoutError when the time of the request is over.
        """
        splitter = EventStreamSplitter()
        while True:
            try:
                # Endpoints are looked for only after a silence: events are many.
                limit_at = self._limit_at(
                    len(self.progress.tried_), ENDPOINTS_FOR_ANOTHER
                )
                async with asyncio.timeout_at(limit_at):
                    data = await attempt.answer.wait_more()
            except TimeoutError:
                if self.attempts.is_out_of_time():
                    raise
                if self.attempts.choose() is None:
                    continue
                # Nobody waits for it here any more: the stream goes on elsewhere.
                return False
            for event in splitter.feed(data):
                await self._pass_on(attempt, event)
            if data and not splitter.is_overfull:
                continue
            return attempt.answer.reader.is_complete_ and not splitter.is_torn

    async def _pass_on(self, attempt: Attempt, event: StreamEvent) -> None:
        last = self.progress.last_event_id_
        if event.event_id is not None and last is not None and event.event_id <= last:
            # An attempt that goes on elsewhere repeats nothing to the caller.
            return
        if not self.answer.has_begun:
            self.answer.begin(attempt)
        if event.event_id is not None:
            self.progress.last_event_id_ = event.event_id
        await self.answer.write(event.data)
        self.progress.record_event_passed_on(self.attempts.state.now())
