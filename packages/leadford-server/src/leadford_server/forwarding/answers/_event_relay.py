"""Pass the events of a stream on to the caller, each complete and only once.

Several attempts may serve a stream in turn. `_event_reader` drops events that an
earlier attempt has passed on, and returns no incomplete event.
`leadford.forwarding.retries` decides how long to wait for a silent stream.
"""

from enum import Enum

from leadford.forwarding.endpoints import EndpointFailure, EventGaps
from leadford.forwarding.memory import MAX_UNREAD_EVENT_BYTES
from leadford.forwarding.overload import DelayMark
from leadford.forwarding.retries import (
    MIN_ENDPOINTS_FOR_RETRY,
    AttemptTiming,
    stream_silence_deadline,
)
from leadford.forwarding.streams import StreamOrigin
from leadford_server.forwarding._endpoint_timeout import EndpointTimeout
from leadford_server.forwarding._progress import RequestProgress
from leadford_server.forwarding._state import ForwardState
from leadford_server.forwarding.answers._answer import CallerAnswer
from leadford_server.forwarding.answers._event_reader import EventReader, NewEvents
from leadford_server.forwarding.retries import Attempt, EndpointAttempts

# Distinguishes the usual gap between events from the usual duration of answers.
EVENT_GAP_KIND = "gap"


class StreamEnd(Enum):
    """List how a stream ended at one endpoint.

    GIVEN_UP: no new event came in time, and another attempt is reserved.
    WITHOUT_EVENTS: the endpoint sent too much without a new event.
    """

    COMPLETE = "complete"
    BROKEN_OFF = "broken-off"
    GIVEN_UP = "given-up"
    WITHOUT_EVENTS = "without-events"


class EventRelay:
    """Pass on the events of all attempts of one request."""

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
        """Return the time by which the next attempt must send something.

        Units: seconds of the monotonic clock.
        """
        attempt = len(self.progress.tried_endpoint_ids_) + 1
        return self._limit_at(attempt, self.attempts.choice.endpoints_left())

    def _limit_at(self, attempt: int, endpoints_left: int) -> float:
        timing = AttemptTiming(
            attempt, self.state.now(), self.progress.deadline_, endpoints_left
        )
        return stream_silence_deadline(
            self.progress.match_.route,
            timing,
            has_begun=self.answer.has_begun,
        )

    async def wait_for_plain_answer(self, attempt: Attempt) -> bool:
        """Wait for the end of an answer that is no stream; return False if given up.

        Errors: raises TimeoutError when the deadline of the request has passed,
        ExchangeBroken when the rest of the answer does not arrive.
        """
        limit_at = self._limit_at(
            len(self.progress.tried_endpoint_ids_), MIN_ENDPOINTS_FOR_RETRY
        )
        may_give_up = self.attempts.may_give_up(
            attempt.borrowed, EndpointFailure.SILENT
        )
        try:
            async with EndpointTimeout(
                limit_at, self.state.loop_turns_, may_end=may_give_up
            ):
                await attempt.answer.wait_until_complete()
        except TimeoutError:
            if self.attempts.retries.is_out_of_time():
                raise
            return False
        return True

    async def relay(self, attempt: Attempt) -> StreamEnd:
        """Pass events on; return how the stream ended at this endpoint.

        Errors: raises TimeoutError when the deadline of the request has passed.
        """
        events = EventReader(
            answer=attempt.answer, last_event_id=self.progress.last_event_id_
        )
        gaps = EventGaps()
        may_give_up = self.attempts.may_give_up(
            attempt.borrowed, EndpointFailure.SILENT
        )
        attempt.answer.reader.read_as_stream(MAX_UNREAD_EVENT_BYTES)
        while True:
            began = self.state.loop_turns_.mark(self.state.now())
            try:
                # Events are frequent, so other endpoints are looked up only after a
                # timeout.
                limit_at = self._limit_at(
                    len(self.progress.tried_endpoint_ids_), MIN_ENDPOINTS_FOR_RETRY
                )
                async with EndpointTimeout(
                    limit_at, self.state.loop_turns_, began, may_end=may_give_up
                ):
                    new = await events.read()
            except TimeoutError:
                if self.attempts.retries.is_out_of_time():
                    raise
                # The stream continues at another endpoint.
                return StreamEnd.GIVEN_UP
            if new.data:
                self.attempts.retries.record_heard(attempt.record)
                self._record_gap(gaps, began)
                await self._pass_on(attempt, new)
                continue
            self._record_gaps(attempt, gaps)
            return self._end(attempt, events)

    def _end(self, attempt: Attempt, events: EventReader) -> StreamEnd:
        """Return how a stream ended from which no new event follows."""
        if events.is_too_long:
            return StreamEnd.WITHOUT_EVENTS
        if events.has_partial_event:
            return StreamEnd.BROKEN_OFF
        if attempt.ended_with_connection and not events.has_events_:
            # An endpoint that ends before its first event closes its connection, too.
            # The caller may lack events even if it has some already.
            return StreamEnd.BROKEN_OFF
        is_complete = attempt.answer.reader.is_complete_
        return StreamEnd.COMPLETE if is_complete else StreamEnd.BROKEN_OFF

    def _record_gap(self, gaps: EventGaps, began: DelayMark) -> None:
        """Record a read; it counts as no wait if this entry was late itself."""
        now = self.state.now()
        is_measured = self.state.loop_turns_.measured_s(began, now) is not None
        gaps.record_read(began.at if is_measured else now, now)

    def _record_gaps(self, attempt: Attempt, gaps: EventGaps) -> None:
        """Record the time between events as a measurement of the engine."""
        gap_s = gaps.usual_s()
        if gap_s is not None:
            kind = (EVENT_GAP_KIND, self.progress.match_.route.route_id)
            now = self.state.now()
            self.state.pace_meter_.record_answer(attempt.record, gap_s, kind, now)

    async def _pass_on(self, attempt: Attempt, new: NewEvents) -> None:
        if not self.answer.has_begun:
            await self._record_software(attempt)
            self.answer.begin(attempt)
            self._record_origin(attempt)
        if new.last_event_id is not None:
            self.progress.last_event_id_ = new.last_event_id
        await self.answer.write(new.data)
        self.progress.record_event_passed_on(self.attempts.state.now())

    async def _record_software(self, attempt: Attempt) -> None:
        """Wait until the store holds the version that wrote the first event."""
        records = self.state.software_records_
        if records is None:
            return
        records.record_wait(self.progress.caller_deadline - self.state.now())
        if self.progress.origin_ is not None:
            return
        service_id = self.progress.match_.service.service_id
        await records.until_recorded(service_id, attempt.borrowed.software)

    def _record_origin(self, attempt: Attempt) -> None:
        """Record which software version wrote the first event, unless it is known.

        Callers may resume the stream at other entries, so these are told as well.
        """
        progress = self.progress
        if progress.origin_ is not None:
            return
        match = progress.match_
        origin = StreamOrigin(match.service.service_id, attempt.borrowed.software)
        progress.origin_ = origin
        origins = self.state.stream_origins_
        if origins is not None and match.route.is_resumable:
            wait_s = progress.caller_deadline - self.state.now()
            key = progress.stream_key(progress.request.request_id)
            origins.record(key, origin, wait_s)
