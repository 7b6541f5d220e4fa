"""Serve a request whose answer is passed on once it is complete.

Attempts follow each other until one returns an answer or no retry is allowed. The rules
are in `leadford.forwarding.retries`.
"""

from leadford.forwarding.endpoints import EndpointFailure
from leadford.forwarding.retries import (
    AttemptEnd,
    AttemptTiming,
    plain_attempt_deadline,
    usual_duration_s,
)
from leadford_server.forwarding._endpoint_timeout import EndpointTimeout
from leadford_server.forwarding._progress import RequestProgress
from leadford_server.forwarding._state import ForwardState
from leadford_server.forwarding.answers._answer import CallerAnswer
from leadford_server.forwarding.endpoints import BreakKind, ExchangeBroken
from leadford_server.forwarding.retries import Attempt, EndpointAttempts, NotRun


class PlainForwarder:
    """Serve one plain request."""

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

    async def serve(self) -> None:
        """Attempt the request until an answer can be passed on or no retry follows."""
        while True:
            try:
                attempt = await self.attempts.begin(self._limit_at())
                await self._wait_until_complete(attempt)
            except NotRun as failure:
                if self._may_retry(AttemptEnd.NOT_RUN, failure.detail):
                    continue
                return
            except ExchangeBroken as failure:
                if self._may_retry(AttemptEnd.MAY_HAVE_RUN, str(failure)):
                    continue
                return
            self.attempts.evidence.record_answer(attempt)
            if attempt.is_error:
                decision = self.attempts.retries.ask(AttemptEnd.ERROR_STATUS, "failed")
                if decision.retry:
                    continue
            self.answer.pass_on(attempt)
            return

    def _may_retry(self, end: AttemptEnd, detail: str) -> bool:
        """Return whether a retry follows; end the request if none does."""
        if self.attempts.retries.ask(end, detail).retry:
            return True
        self.answer.end_failed(detail)
        return False

    def _limit_at(self) -> float:
        """Return the time by which the next attempt must be answered.

        Units: seconds of the monotonic clock.
        """
        match = self.progress.match_
        timing = AttemptTiming(
            len(self.progress.tried_endpoint_ids_) + 1,
            self.state.now(),
            self.progress.deadline_,
            self.attempts.choice.endpoints_left(),
        )
        usual_answer_s = usual_duration_s(self.state.usable(match.service.service_id))
        return plain_attempt_deadline(match.route, timing, usual_answer_s)

    async def _wait_until_complete(self, attempt: Attempt) -> None:
        """Wait for the end of an answer and return the connection to the pool.

        Errors: raises ExchangeBroken when the rest of the answer does not arrive.
        """
        try:
            async with EndpointTimeout(
                attempt.limit_at,
                self.state.loop_turns_,
                attempt.mark,
                may_end=self.attempts.may_give_up(attempt.borrowed),
            ):
                await attempt.answer.wait_until_complete()
        except ExchangeBroken:
            self.attempts.evidence.record_broken(attempt)
            if not attempt.was_left_unread:
                self.attempts.evidence.record_failure(
                    attempt.record, EndpointFailure.BROKEN_OFF
                )
            raise
        except TimeoutError as error:
            raise ExchangeBroken(BreakKind.LOST, "slow") from error
        finally:
            self.attempts.release(attempt)
