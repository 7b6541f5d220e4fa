"""Serve a stream, and continue it at another endpoint when one breaks off.

`_event_relay` passes the events on. `leadford.forwarding.retries` decides whether
another attempt follows, and how long to wait for a silent one.
"""

from collections.abc import Awaitable, Callable

from leadford.forwarding.endpoints import EndpointFailure
from leadford.forwarding.retries import AttemptEnd
from leadford_server.forwarding._progress import RequestProgress
from leadford_server.forwarding._state import ForwardState
from leadford_server.forwarding.answers._answer import STATUS_OK, CallerAnswer
from leadford_server.forwarding.answers._event_relay import EventRelay, StreamEnd
from leadford_server.forwarding.batching import RequestInputs
from leadford_server.forwarding.endpoints import ExchangeBroken
from leadford_server.forwarding.retries import Attempt, EndpointAttempts, NotRun


class StreamForwarder:
    """Serve one stream.

    `make_inputs` reruns the stages before the request where results are missing. If
    they cannot be made, it ends the request and returns False.
    """

    def __init__(
        self,
        *,
        state: ForwardState,
        attempts: EndpointAttempts,
        answer: CallerAnswer,
        inputs: RequestInputs,
        progress: RequestProgress,
        make_inputs: Callable[[], Awaitable[bool]],
    ) -> None:
        self.attempts = attempts
        self.answer = answer
        self.inputs = inputs
        self.progress = progress
        self.make_inputs = make_inputs
        self.events = EventRelay(
            state=state, attempts=attempts, answer=answer, progress=progress
        )

    async def serve(self) -> None:
        """Serve the stream, at several endpoints in turn if attempts fail."""
        while True:
            try:
                attempt = await self.attempts.begin(self.events.next_limit_at())
            except NotRun as failure:
                if not await self._retry_not_run(failure):
                    return
                continue
            except ExchangeBroken as failure:
                if not await self._retry_elsewhere(str(failure)):
                    return
                continue
            try:
                end = await self._pass_on_stream(attempt)
                if end is StreamEnd.BROKEN_OFF:
                    self.attempts.evidence.record_broken(attempt)
            finally:
                self.attempts.release(attempt)
            if end is StreamEnd.COMPLETE:
                return
            self.progress.may_have_run_ = True
            if end is StreamEnd.BROKEN_OFF:
                self._record_broken_off(attempt)
            if end is StreamEnd.WITHOUT_EVENTS:
                self.attempts.evidence.record_failure(
                    attempt.record, EndpointFailure.BROKEN_OFF
                )
            if not await self._retry_elsewhere(_broken_detail(attempt, end)):
                return

    def _record_broken_off(self, attempt: Attempt) -> None:
        """Record that an endpoint broke a stream off, if it was the endpoint."""
        if attempt.was_left_unread or attempt.ended_with_connection:
            return
        self.attempts.evidence.record_failure(
            attempt.record, EndpointFailure.BROKEN_OFF
        )

    async def _retry_not_run(self, failure: NotRun) -> bool:
        """Prepare a retry after an attempt that did not run, or end the stream."""
        end = AttemptEnd.INPUTS_GONE if failure.inputs_gone else AttemptEnd.NOT_RUN
        decision = self.attempts.retries.ask(end, failure.detail)
        if not decision.retry:
            self.answer.end_failed(failure.detail)
            return False
        if not decision.may_reuse_endpoint:
            return True
        self.progress.input_remakes_ += 1
        self.progress.forget_tried()
        self.inputs.drop_final_inputs()
        return await self.make_inputs()

    async def _retry_elsewhere(self, detail: str) -> bool:
        """Prepare a retry after an attempt that may have run, or end the stream."""
        if not self.attempts.retries.ask(AttemptEnd.MAY_HAVE_RUN, detail).retry:
            self.answer.end_failed(detail)
            return False
        if self.progress.match_.route.stages:
            return await self.make_inputs()
        return True

    async def _pass_on_stream(self, attempt: Attempt) -> StreamEnd:
        """Pass the stream on; return how it ended."""
        if attempt.answer.head.status != STATUS_OK:
            return await self._pass_on_plain_answer(attempt)
        end = await self.events.relay(attempt)
        if end is StreamEnd.COMPLETE:
            self.attempts.evidence.record_answer(attempt)
            self.answer.end_stream(attempt)
        return end

    async def _pass_on_plain_answer(self, attempt: Attempt) -> StreamEnd:
        """Pass on an answer that is not a stream; return how it ended."""
        try:
            if not await self.events.wait_for_plain_answer(attempt):
                return StreamEnd.GIVEN_UP
        except ExchangeBroken:
            # The caller of this method records the failure and tries another endpoint.
            return StreamEnd.BROKEN_OFF
        self.attempts.evidence.record_answer(attempt)
        if self.answer.has_begun:
            return StreamEnd.BROKEN_OFF
        self.answer.pass_on(attempt)
        return StreamEnd.COMPLETE


def _broken_detail(attempt: Attempt, end: StreamEnd) -> str:
    """Return how a stream ended that is not complete, for the log."""
    if end is StreamEnd.GIVEN_UP:
        return "silent"
    if end is StreamEnd.WITHOUT_EVENTS:
        return "too much without an event"
    if attempt.ended_with_connection:
        return "stream ended inside an event"
    return "stream broke off"
