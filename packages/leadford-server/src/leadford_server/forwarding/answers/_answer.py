"""Write the answer of one request to its caller, and record how the request ended.

Owns the end of a request: no other module writes to the caller or sets how the request
ended. `leadford.forwarding.answers` decides the answer to a request for which no
endpoint gave one.
"""

from leadford.forwarding.admission import ForwardAdmission
from leadford.forwarding.answers import (
    RETRY_AFTER_S,
    EndReason,
    RequestOutcome,
    final_answer,
    may_pass_on,
    quarantined_text,
)
from leadford.forwarding.retries import RetryReason
from leadford_server.forwarding._progress import RequestEnd, RequestProgress
from leadford_server.forwarding._state import ForwardState
from leadford_server.forwarding.answers._callers import CallerExchange
from leadford_server.forwarding.batching import RequestInputs
from leadford_server.forwarding.retries import Attempt, EndpointAttempts

STATUS_OK = 200
TEXT_CONTENT_TYPE = ("Content-Type", "text/plain; charset=utf-8")
QUARANTINED_DETAIL = "endpoints ended under this request each time it ran"


class CallerAnswer:
    """Write the answer of one request."""

    def __init__(
        self,
        *,
        exchange: CallerExchange,
        state: ForwardState,
        admission: ForwardAdmission,
        attempts: EndpointAttempts,
        inputs: RequestInputs,
        progress: RequestProgress,
    ) -> None:
        self.exchange = exchange
        self.state = state
        self.admission = admission
        self.attempts = attempts
        self.inputs = inputs
        self.progress = progress

    @property
    def has_begun(self) -> bool:
        """Return whether the head of a streamed answer was written."""
        return self.exchange.has_begun_

    def begin(self, attempt: Attempt) -> None:
        """Write the head of a stream, and record how long it took to arrive."""
        head = attempt.answer.head
        progress = self.progress
        match = progress.match_
        now = self.state.now()
        turns = self.state.loop_turns_
        progress.first_byte_at_ = now
        engine_s = turns.measured_s(attempt.mark, now)
        if engine_s is not None:
            self.state.first_byte_.record(match.service.service_id, engine_s)
        self.attempts.record_first_token(engine_s)
        self._record_response_time(now)
        progress.model_version_ = head.model_version
        self.exchange.begin(head.status, head.headers, head.reason)
        self.inputs.release()

    def _record_response_time(self, now: float) -> None:
        """Record how the response time differs from what admission expected."""
        if not self._tells_of_queues:
            return
        progress = self.progress
        actual_s = now - progress.request.received_at
        uncorrected_s = progress.expected_s_ - progress.error_s_
        route = progress.match_.route
        if self.state.loop_turns_.measured_s(progress.mark, now) is None:
            self.admission.record_own_delay(route, uncorrected_s, actual_s, now)
            return
        self.admission.record_response_time(route, uncorrected_s, actual_s, now)

    def record_unanswered(self) -> None:
        """Record for how long an admitted request waited without a first byte."""
        progress = self.progress
        if progress.first_byte_at_ is not None or not self._tells_of_queues:
            return
        now = self.state.now()
        waited_s = now - progress.request.received_at
        uncorrected_s = progress.expected_s_ - progress.error_s_
        if waited_s <= uncorrected_s:
            return
        self.admission.record_own_delay(
            progress.match_.route, uncorrected_s, waited_s, now
        )

    @property
    def _tells_of_queues(self) -> bool:
        """Return whether the response time is one that admission expected."""
        progress = self.progress
        if progress.expected_s_ <= 0.0 or progress.is_late_:
            return False
        # The time of a failed attempt says nothing of the queues.
        return progress.retry_reason_ is None

    async def write(self, data: bytes) -> None:
        """Write a part of a stream and wait until the caller accepts it."""
        await self.exchange.write(data)

    def end_stream(self, attempt: Attempt) -> None:
        """End a stream that is complete."""
        if not self.has_begun:
            self.begin(attempt)
        self.exchange.end()
        self._set_end(RequestOutcome.ANSWERED, EndReason.ANSWERED, STATUS_OK, "")

    def pass_on(self, attempt: Attempt) -> None:
        """Pass a complete answer on unchanged."""
        head = attempt.answer.head
        body = attempt.answer.reader.take()
        if self.progress.first_byte_at_ is None:
            self.progress.first_byte_at_ = self.state.now()
        if not may_pass_on(head.status, self.state.codec.not_run_statuses):
            detail = f"endpoint answered {head.status}"
            self.end(EndReason.MISLEADING_STATUS, detail)
            return
        self.exchange.answer(head.status, head.headers, body, head.reason)
        self._set_end(RequestOutcome.ANSWERED, EndReason.ANSWERED, head.status, "")

    def end_failed(self, detail: str) -> None:
        """End the request after a failed attempt without a retry."""
        if self.progress.retry_reason_ is RetryReason.QUARANTINED:
            self.end_quarantined()
            return
        is_held = self._send_delay_s() > 0.0
        if is_held and not self.progress.may_have_run_:
            self.end_held_back(detail)
            return
        self.end(EndReason.ATTEMPTS_FAILED, detail)

    def end_held_back(self, detail: str) -> None:
        """End a request because every endpoint asks for a pause."""
        self.end(EndReason.HELD_BACK, detail, self._send_delay_s())

    def _send_delay_s(self) -> float:
        """Return in how many seconds an endpoint may get the request."""
        progress = self.progress
        return self.state.service_send_delay_s(
            progress.match_.service.service_id, progress.origin_
        )

    def end_quarantined(self) -> None:
        """End a request that ran at too many endpoints that crashed."""
        verdict = self.state.quarantine_verdict(self.progress.prompt_keys_)
        may_have_run = self.progress.may_have_run_
        self.end(
            EndReason.QUARANTINED,
            QUARANTINED_DETAIL,
            verdict.retry_after_s,
            body=quarantined_text(verdict.retry_after_s, may_have_run=may_have_run),
        )

    def end(
        self,
        reason: EndReason,
        detail: str,
        retry_after_s: float = RETRY_AFTER_S,
        *,
        body: str = "",
    ) -> None:
        """End the request with an answer made by this process."""
        answer = final_answer(
            reason,
            may_have_run=self.progress.may_have_run_,
            has_begun=self.has_begun,
            retry_after_s=retry_after_s,
        )
        if answer.outcome is RequestOutcome.BROKEN_OFF:
            self.exchange.abort()
        else:
            headers = self.state.codec.refusal_headers(answer.retry_after_s)
            if body:
                headers = [*headers, TEXT_CONTENT_TYPE]
            self.exchange.answer(answer.status, headers, body.encode())
        self._set_end(answer.outcome, reason, answer.status, detail)

    def _set_end(
        self, outcome: RequestOutcome, reason: EndReason, status: int, detail: str
    ) -> None:
        self.progress.end_ = RequestEnd(outcome, reason, status, detail)
