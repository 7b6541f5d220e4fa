"""Run one request: its stages in turn, claims, retries, and a true end.

The flow of a request of the own interface. Each stage is held back while its pipeline
can wait and the pool is full, claimed if it must run at most once, then attempted
(`_attempts`) until it has a result, a retry is not allowed, or the time is over. The
answer says "not run" only where nothing of an effect can have run.
"""

import asyncio
from random import Random

import msgspec

from leadford.common import Objective, Outcome, RefusalReason, RequestId
from leadford.events import Event
from leadford.pipelines.admission import StageNeed, forecast_pool
from leadford.pipelines.execution import RequestExecution
from leadford.pipelines.retries import AttemptFailure, FailureKind, RetryDecision
from leadford.protocol import ClaimVerdict, Note
from leadford_server.metrics import RETRIES_TOTAL
from leadford_server.pipelines.entry._answers import Answer, AnswerBuffer
from leadford_server.pipelines.entry._attempts import StageAttempts
from leadford_server.pipelines.entry._body import RequestBody
from leadford_server.pipelines.entry._deliveries import Delivery, make_failure
from leadford_server.pipelines.entry._problems import problem_of
from leadford_server.pipelines.entry._services import EntryServices
from leadford_server.pipelines.entry._trail import Trail

# Time between checks for free capacity while a request is deferred.
ROOM_POLL_INTERVAL_S = 0.05
# Age of its note up to which an attempt may not have reached its endpoint yet, and the
# time after which the endpoint is asked for it again.
ARRIVAL_MAX_MS = 1000.0
REATTACH_INTERVAL_S = 0.05

_REASON_BY_VERDICT = {
    ClaimVerdict.ALREADY_CLAIMED: RefusalReason.ALREADY_CLAIMED,
    ClaimVerdict.STORE_UNAVAILABLE: RefusalReason.STORE_UNAVAILABLE,
    ClaimVerdict.FULL: RefusalReason.CLAIMS_FULL,
}


class RequestRun:
    """Run one request to its answer, whoever reads the answer."""

    def __init__(
        self,
        *,
        execution: RequestExecution,
        body: RequestBody,
        priority: int,
        keyed: bool,
        services: EntryServices,
    ) -> None:
        self.execution = execution
        self.body = body
        self.priority = priority
        self.keyed = keyed
        self.services = services
        self.started_at_ = services.clock()
        self.trail_ = Trail(started_at=self.started_at_)
        self.attempts_ = StageAttempts(
            execution=execution,
            body=body,
            priority=priority,
            services=services,
            trail=self.trail_,
        )
        self.claimed_ = False
        # Whether another process may have begun the request.
        self.is_begun_elsewhere_ = False
        self.repeats_ = 0

    @property
    def request_id(self) -> RequestId:
        """Return the id of the request."""
        return self.execution.request_id

    @property
    def answer_(self) -> AnswerBuffer:
        """Return the answer as far as it has arrived."""
        return self.attempts_.answer_

    @property
    def retries_(self) -> int:
        """Return how many attempts were made beyond the first of each stage."""
        return self.repeats_ + self.attempts_.hedges_

    @property
    def ended_not_run(self) -> bool:
        """Tell whether the request was refused, so that it may be made again."""
        final = self.answer_.final_
        return final is not None and final.outcome is Outcome.NOT_RUN

    def deliver(self, message: Delivery) -> None:
        """Handle a message for this request."""
        self.attempts_.deliver(message)

    def record_begun_elsewhere(self) -> None:
        """Record that another process may have begun the request."""
        self.is_begun_elsewhere_ = True

    def interrupt(self, error: str) -> None:
        """Answer a run that ended without an answer."""
        outcome = Outcome.UNKNOWN
        if not self.is_begun_elsewhere_:
            outcome = self.execution.failure_outcome(shown=bool(self.answer_.shown_))
        kind = FailureKind.LOST
        if outcome is Outcome.NOT_RUN:
            kind = FailureKind.NOT_SENT
        failure = make_failure(kind, RefusalReason.INTERRUPTED, detail=error)
        self.answer_.end(Answer(outcome, problem=problem_of(failure, outcome)))
        self._report_failure(failure, outcome, error=error)

    def abandon(self) -> None:
        """Cancel the attempts that this run began and nobody waits for."""
        if not self.is_begun_elsewhere_:
            self.attempts_.abandon()

    def cancel(self) -> None:
        """Cancel the request, as far as that is still possible."""
        self.attempts_.cancel()

    async def run(self) -> Answer:
        """Run the stages that are left and return how the request ended."""
        execution = self.execution
        failure: AttemptFailure | None = None
        while not execution.is_finished and failure is None:
            failure = await self._run_stage()
        self.attempts_.abandon()
        if failure is None:
            return Answer(Outcome.COMPLETE, execution.previous_)
        outcome = execution.failure_outcome(shown=bool(self.answer_.shown_))
        self._report_failure(failure, outcome)
        return Answer(outcome, problem=problem_of(failure, outcome))

    async def resume(self, note: Note) -> Answer:
        """Resume a request that another entry began, from the agent's record."""
        failure = await self._take_over(note)
        if failure is None:
            return Answer(Outcome.COMPLETE, self.execution.previous_)
        # What another process began can no longer be proved not to have run.
        problem = problem_of(failure, Outcome.UNKNOWN)
        return Answer(Outcome.UNKNOWN, problem=problem)

    async def _take_over(self, note: Note) -> AttemptFailure | None:
        """Attach to the attempt of a note, again while it may not have arrived.

        A note is sent beside its attempt, on another connection. The note is looked up
        again since an attempt that was refused goes on elsewhere.
        """
        self.trail_.add(self.services.clock(), f"taken over from {note.endpoint_id}")
        while True:
            limit = self.services.clock() + (ARRIVAL_MAX_MS - note.age_ms) / 1000.0
            failure = await self.attempts_.take_over(note)
            if failure is None or failure.kind is not FailureKind.NOT_HELD:
                return failure
            if self.services.clock() >= limit:
                return failure
            self.trail_.add(self.services.clock(), f"not at {note.endpoint_id} yet")
            await asyncio.sleep(REATTACH_INTERVAL_S)
            found = await self.services.entries.find_note(self.request_id)
            if found is None:
                return failure
            note = found

    async def _run_stage(self) -> AttemptFailure | None:
        await self._wait_for_room()
        refusal = await self._claim_if_needed()
        if refusal is not None:
            return refusal
        self.services.budget_.record_fresh()
        while True:
            failure = await self.attempts_.run_one()
            if failure is None:
                return None
            decision = self._decide_retry(failure)
            if not decision.retry:
                reason = decision.reason or failure.reason
                return msgspec.structs.replace(failure, reason=reason)
            if not self.answer_.shown_:
                self.execution.restart_answer()
            self.repeats_ += 1
            RETRIES_TOTAL.labels(stage=self.execution.stage.name).inc()
            self.services.log.report(
                Event.ATTEMPT_RETRIED,
                request=self.request_id,
                stage=self.execution.stage.name,
                endpoint=failure.endpoint_id,
                reason=failure.reason.value,
            )
            self.trail_.add(
                self.services.clock(),
                f"{self.execution.stage.name}: tried again after "
                f"{failure.reason.value} at {failure.endpoint_id or 'no endpoint'}",
            )
            if decision.wait_ms > 0:
                await asyncio.sleep(decision.wait_ms / 1000.0)

    def _decide_retry(self, failure: AttemptFailure) -> RetryDecision:
        execution = self.execution
        if self.attempts_.live.is_quarantined:
            return RetryDecision(False, reason=RefusalReason.QUARANTINED)
        stage = execution.stage
        services = self.services
        now = services.clock()
        others = self.attempts_.candidates()
        needed_ms = 0.0
        if others and failure.kind is FailureKind.REFUSED:
            need = StageNeed.from_config(stage)
            needed_ms = forecast_pool(others, need, self.priority, now).finish_ms
        return services.retry_policy_.decide(
            failure,
            repeatable=stage.repeatable and not execution.diverged_,
            attempt=execution.stage_attempts_,
            others=len(others) if not self.attempts_.cancel_asked_ else 0,
            remaining_ms=execution.budget(now).own_ms,
            needed_ms=needed_ms,
        )

    async def _wait_for_room(self) -> None:
        """Defer a request that can wait while cost matters and the pool is full."""
        services = self.services
        stage = self.execution.stage
        patient = self.execution.pipeline.can_wait and stage.expected_tokens
        if not patient or services.config_.objective is not Objective.COST:
            return
        held = False
        while not self.attempts_.cancel_asked_:
            loads = [view.load_ for view in self.attempts_.candidates()]
            budget = self.execution.budget(services.clock())
            if not services.deferral_.holds_back(
                loads, remaining_ms=budget.own_ms, needed_ms=stage.expected_ms
            ):
                return
            if not held:
                held = True
                self.trail_.add(services.clock(), f"{stage.name}: held back, pool full")
            await asyncio.sleep(ROOM_POLL_INTERVAL_S)

    async def _claim_if_needed(self) -> AttemptFailure | None:
        stage = self.execution.stage
        if stage.repeatable or not self.keyed or self.claimed_:
            return None
        remaining_s = self.execution.deadline_at - self.services.clock()
        verdict = await self.services.claims.claim(self.request_id, remaining_s)
        self.trail_.add(self.services.clock(), f"claim: {verdict.name.lower()}")
        if verdict is ClaimVerdict.GRANTED:
            self.claimed_ = True
            return None
        return make_failure(FailureKind.REFUSED, _REASON_BY_VERDICT[verdict])

    def _report_failure(
        self, failure: AttemptFailure, outcome: Outcome, **more: str
    ) -> None:
        self.trail_.add(
            self.services.clock(),
            f"ended {outcome.value}: {failure.reason.value} {failure.detail}".strip(),
        )
        event = Event.REQUEST_REFUSED
        if outcome is Outcome.UNKNOWN:
            event = Event.REQUEST_UNKNOWN
        self.services.log.report(
            event,
            request=self.request_id,
            pipeline=self.execution.pipeline_id,
            reason=failure.reason.value,
            endpoint=failure.endpoint_id,
            **more,
        )


def make_request_id(random: Random) -> RequestId:
    """Return a fresh id for a request without a key."""
    return RequestId(f"r{random.getrandbits(128):032x}")
