"""Run one request: choose, send, wait, retry, hedge, claim and answer."""

import asyncio
from random import Random

import msgspec

from leadford.admission import StageNeed, forecast_pool
from leadford.common import (
    EndpointId,
    Outcome,
    RefusalReason,
    RequestId,
    stable_hash,
)
from leadford.costs import StageCost
from leadford.events import Event
from leadford.execution import Attempt, RequestExecution, StrayKind
from leadford.protocol import (
    Ack,
    Attach,
    Cancel,
    ClaimVerdict,
    Credit,
    Done,
    DoneStatus,
    Message,
    Note,
    NotHeld,
    Refused,
    Submit,
    TokenPart,
    Tokens,
)
from leadford.retries import AttemptFailure, FailureKind, RetryDecision
from leadford.routing import EndpointView, RoutingRequest
from leadford_server.entry._answers import Answer, AnswerBuffer, Problem
from leadford_server.entry._directory import EndpointLink
from leadford_server.entry._services import EntryServices
from leadford_server.metrics import (
    COST_MS_TOTAL,
    RETRIES_TOTAL,
    STRAYS_TOTAL,
    TOKENS_TOTAL,
)

CREDIT_TOKENS = 64

_REASON_BY_VERDICT = {
    ClaimVerdict.ALREADY_CLAIMED: RefusalReason.ALREADY_CLAIMED,
    ClaimVerdict.STORE_UNAVAILABLE: RefusalReason.STORE_UNAVAILABLE,
    ClaimVerdict.FULL: RefusalReason.CLAIMS_FULL,
}

_STATUS_BY_REASON = {
    RefusalReason.DEADLINE: 504,
    RefusalReason.ENDPOINT_ERROR: 502,
    RefusalReason.ENDPOINT_LOST: 502,
    RefusalReason.ALREADY_CLAIMED: 409,
    RefusalReason.CANCELLED: 499,
}


class PeerLost(msgspec.Struct, frozen=True):
    """Tell a run that the connection to an endpoint's agent ended."""

    endpoint_id: EndpointId


class AnswerDiverged(msgspec.Struct, frozen=True):
    """Tell a run that a later attempt gives another text than was shown."""

    stage: str
    attempt: int


class RequestBody(msgspec.Struct, frozen=True):
    """Hold what a caller sent.

    Units: prefill_tokens is a rough count of the prompt's words.
    """

    data: bytes
    digest: str
    prefix: str = ""
    prefill_tokens: int = 0


class _PromptHints(msgspec.Struct):
    """Read from a body what routing can use."""

    system: str = ""
    prompt: str = ""


def read_body(data: bytes) -> RequestBody:
    """Return a body with its digest and prompt hints; raise on malformed JSON."""
    msgspec.json.decode(data)
    digest = f"{stable_hash(data.decode()):016x}"
    try:
        hints = msgspec.json.decode(data, type=_PromptHints)
    except msgspec.ValidationError:
        return RequestBody(data, digest)
    prefix = f"{stable_hash(hints.system):016x}" if hints.system else ""
    words = hints.system.count(" ") + hints.prompt.count(" ") + 2
    return RequestBody(data, digest, prefix, words)


class RequestRun:
    """Drive one request to its answer; whoever reads the answer does not matter."""

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
        self.inbox_: asyncio.Queue[Message | PeerLost | AnswerDiverged] = (
            asyncio.Queue()
        )
        self.answer_ = AnswerBuffer(texts=execution.delivered_, on_consumed=self._grant)
        self.links_by_number_: dict[int, EndpointLink] = {}
        self.claimed_ = False
        self.cancel_asked_ = False
        self.granted_ = CREDIT_TOKENS
        self.retries_ = 0
        self.first_token_at_: float | None = None
        self.started_at_ = services.clock()

    @property
    def request_id(self) -> RequestId:
        """Return the id of the request."""
        return self.execution.request_id

    @property
    def ended_not_run(self) -> bool:
        """Tell whether the request was refused, so that it may be made again."""
        final = self.answer_.final_
        return final is not None and final.outcome is Outcome.NOT_RUN

    def deliver(self, message: Message | PeerLost) -> None:
        """Take in a message for this request."""
        if isinstance(message, Tokens):
            # Tokens are the bulk of all messages and need no decision.
            self._take_tokens(message)
            return
        self.inbox_.put_nowait(message)

    def cancel(self) -> None:
        """Give the request up, as far as that is still possible."""
        self.cancel_asked_ = True
        self.inbox_.put_nowait(PeerLost(EndpointId("")))

    async def run(self) -> Answer:
        """Run the stages that are left and return how the request ended."""
        execution = self.execution
        failure: AttemptFailure | None = None
        while not execution.is_finished and failure is None:
            failure = await self._run_stage()
        self._abandon_live()
        if failure is None:
            return Answer(Outcome.COMPLETE, execution.previous_)
        outcome = execution.failure_outcome(shown=bool(self.answer_.shown_))
        self._report_failure(failure, outcome)
        return Answer(outcome, problem=self._problem(failure, outcome))

    async def resume(self, note: Note) -> Answer:
        """Serve on a request that another entry began, from the agent's record."""
        link = self.services.directory.link(EndpointId(note.endpoint_id))
        attempt = self.execution.adopt(
            note.stage, note.attempt, EndpointId(note.endpoint_id)
        )
        failure = self._failure(
            FailureKind.LOST, RefusalReason.ENDPOINT_LOST, attempt.endpoint_id
        )
        if link is not None and await self._reach(link):
            self.services.log.report(
                Event.REQUEST_TAKEN_OVER,
                request=self.request_id,
                endpoint=note.endpoint_id,
            )
            self.links_by_number_[attempt.number] = link
            self.answer_.locator_ = f"{attempt.endpoint_id}/{attempt.number}"
            link.peer.send(
                Attach(
                    self.request_id,
                    note.stage,
                    note.attempt,
                    0,
                    self.granted_,
                    self.execution.workspace,
                )
            )
            failure = await self._wait(None)
        if failure is None:
            return Answer(Outcome.COMPLETE, self.execution.previous_)
        # What another process began can no longer be proved not to have run.
        problem = self._problem(failure, Outcome.UNKNOWN)
        return Answer(Outcome.UNKNOWN, problem=problem)

    async def _reach(self, link: EndpointLink) -> bool:
        while link.peer is None:
            if self.services.clock() >= self.execution.deadline_at:
                return False
            await asyncio.sleep(0.01)
        return True

    async def _run_stage(self) -> AttemptFailure | None:
        refusal = await self._claim_if_needed()
        if refusal is not None:
            return refusal
        self.services.budget_.note_fresh()
        while True:
            failure = await self._attempt()
            if failure is None:
                return None
            decision = self._decide_retry(failure)
            if not decision.retry:
                reason = decision.reason or failure.reason
                return msgspec.structs.replace(failure, reason=reason)
            if not self.answer_.shown_:
                self.execution.restart_answer()
            self.retries_ += 1
            RETRIES_TOTAL.labels(stage=self.execution.stage.name).inc()
            self.services.log.report(
                Event.ATTEMPT_RETRIED,
                request=self.request_id,
                stage=self.execution.stage.name,
                endpoint=failure.endpoint_id,
                reason=failure.reason.value,
            )
            if decision.wait_ms > 0:
                await asyncio.sleep(decision.wait_ms / 1000.0)

    def _decide_retry(self, failure: AttemptFailure) -> RetryDecision:
        execution = self.execution
        stage = execution.stage
        services = self.services
        now = services.clock()
        others = self._candidates()
        needed_ms = 0.0
        forecast = forecast_pool(others, self.priority, now)
        if forecast is not None and failure.kind is FailureKind.REFUSED:
            need = StageNeed(stage.pool, stage.expected_ms, stage.expected_tokens)
            service_ms = services.admission_.service_ms(need, forecast)
            needed_ms = forecast.wait_ms + service_ms
        return services.retry_policy_.decide(
            failure,
            repeatable=stage.repeatable and not execution.diverged_,
            attempt=execution.stage_attempts_,
            others=len(others) if not self.cancel_asked_ else 0,
            remaining_ms=execution.budget(now).own_ms,
            needed_ms=needed_ms,
        )

    async def _claim_if_needed(self) -> AttemptFailure | None:
        stage = self.execution.stage
        if stage.repeatable or not self.keyed or self.claimed_:
            return None
        remaining_s = self.execution.deadline_at - self.services.clock()
        verdict = await self.services.claims.claim(self.request_id, remaining_s)
        if verdict is ClaimVerdict.GRANTED:
            self.claimed_ = True
            return None
        return self._failure(
            FailureKind.REFUSED, _REASON_BY_VERDICT[verdict], EndpointId("")
        )

    def _candidates(self) -> list[EndpointView]:
        stage = self.execution.stage
        return self.services.directory.candidates(
            stage.pool, self.execution.tried_endpoints_, stage.model
        )

    def _choose(self) -> EndpointLink | None:
        stage = self.execution.stage
        services = self.services
        pool = services.directory.pool(stage.pool)
        candidates = self._candidates()
        if pool is None or not candidates:
            return None
        now = services.clock()
        request = RoutingRequest(
            stage=stage.name,
            priority=self.priority,
            expected_ms=stage.expected_ms,
            expected_tokens=stage.expected_tokens,
            remaining_ms=self.execution.budget(now).own_ms,
            prefix=self.body.prefix if stage.expected_tokens else "",
            prefill_tokens=self.body.prefill_tokens if stage.expected_tokens else 0,
            hall=services.hall,
            objective=services.config_.objective,
        )
        view = pool.policy.choose(request, candidates, now)
        return pool.links_by_id_[view.endpoint_id] if view is not None else None

    async def _attempt(self) -> AttemptFailure | None:
        """Run one attempt, and a hedge beside it where the stage allows one."""
        budget = self.execution.budget(self.services.clock())
        if budget.remaining_ms <= 0 or self.cancel_asked_:
            reason = RefusalReason.DEADLINE
            if self.cancel_asked_:
                reason = RefusalReason.CANCELLED
            return self._failure(FailureKind.NOT_SENT, reason, EndpointId(""))
        link = self._choose()
        if link is None:
            return self._failure(
                FailureKind.NOT_SENT, RefusalReason.NO_ENDPOINT, EndpointId("")
            )
        before = self.execution.effect_may_have_left_
        if not self._send(link):
            self.execution.effect_may_have_left_ = before
            return self._failure(
                FailureKind.NOT_SENT,
                RefusalReason.ENDPOINT_LOST,
                link.view.endpoint_id,
            )
        hedge_ms = None
        if self.execution.stage.hedge:
            policy = self.services.hedge_policy(self.execution.stage.name)
            hedge_ms = policy.delay_ms()
        return await self._wait(hedge_ms, before)

    def _send(self, link: EndpointLink) -> bool:
        execution = self.execution
        stage = execution.stage
        now = self.services.clock()
        endpoint_id = link.view.endpoint_id
        attempt = execution.begin(endpoint_id, now)
        peer = link.peer
        if peer is None:
            execution.end_attempt(attempt)
            return False
        self.links_by_number_[attempt.number] = link
        execution.note_may_have_left()
        streams = bool(stage.expected_tokens) and execution.is_final_stage
        if execution.is_final_stage:
            self.answer_.locator_ = f"{endpoint_id}/{attempt.number}"
            self.services.entries.publish(self._note(attempt, streams))
        budget = execution.budget(now)
        sent = peer.send(
            Submit(
                request_id=self.request_id,
                stage=stage.name,
                attempt=attempt.number,
                pipeline=execution.pipeline_id,
                workspace=execution.workspace,
                priority=self.priority,
                remaining_ms=budget.remaining_ms,
                repeatable=stage.repeatable,
                stream=streams,
                credit=CREDIT_TOKENS,
                body=self.body.data,
                previous=execution.previous_,
                expected_tokens=stage.expected_tokens,
                prefix=self.body.prefix if stage.expected_tokens else "",
                final=execution.is_final_stage,
                tail_ms=budget.tail_ms,
                model=stage.model,
            )
        )
        if not sent:
            execution.end_attempt(attempt)
            return False
        link.view.note_sent(stage.expected_tokens)
        link.view.prefixes_.note_cached(self.body.prefix, now)
        self.services.directory.pool(stage.pool).ejector.note_sent(endpoint_id)
        return True

    def _note(self, attempt: Attempt, streams: bool) -> Note:
        execution = self.execution
        return Note(
            request_id=self.request_id,
            workspace=execution.workspace,
            pipeline=execution.pipeline_id,
            stage=attempt.stage,
            attempt=attempt.number,
            endpoint_id=attempt.endpoint_id,
            final=True,
            stream=streams,
            entry_id=self.services.entry_id,
            body_digest=self.body.digest,
        )

    async def _wait(
        self, hedge_ms: float | None, effect_before: bool = True
    ) -> AttemptFailure | None:
        """Wait until one attempt succeeds, all have failed, or time is up."""
        clock = self.services.clock
        hedge_at = clock() + hedge_ms / 1000.0 if hedge_ms is not None else None
        while True:
            limit = self.execution.deadline_at
            if hedge_at is not None:
                limit = min(limit, hedge_at)
            try:
                async with asyncio.timeout(max(0.0, limit - clock())):
                    message = await self.inbox_.get()
            except TimeoutError:
                if hedge_at is not None and clock() < self.execution.deadline_at:
                    hedge_at = None
                    self._hedge()
                    continue
                return self._time_is_up()
            if self.cancel_asked_ and self.execution.stage.repeatable:
                return self._cancelled()
            ended, failure = self._take(message, effect_before)
            if ended and failure is None:
                return None
            if ended and not self.execution.live_by_number_:
                return failure

    def _hedge(self) -> None:
        if self.execution.delivered_ or not self.services.budget_.try_spend():
            return
        link = self._choose()
        if link is not None:
            self.retries_ += 1
            self._send(link)

    def _time_is_up(self) -> AttemptFailure:
        endpoint_id = EndpointId("")
        now = self.services.clock()
        stage = self.execution.stage
        pool = self.services.directory.pool(stage.pool)
        for attempt in self.execution.live_by_number_.values():
            endpoint_id = attempt.endpoint_id
            waited_ms = (now - attempt.sent_at) * 1000.0
            # Only an attempt that had ample time speaks against its endpoint.
            if pool is not None and waited_ms > 4 * stage.expected_ms:
                pool.ejector.note_failure(endpoint_id, "no answer in time", now)
            elif pool is not None:
                pool.ejector.note_abandoned(endpoint_id)
        self.services.directory.report_ejections(stage.pool)
        return self._failure(FailureKind.LOST, RefusalReason.DEADLINE, endpoint_id)

    def _cancelled(self) -> AttemptFailure:
        return self._failure(
            FailureKind.FAILED, RefusalReason.CANCELLED, EndpointId("")
        )

    def _take(
        self, message: Message | PeerLost | AnswerDiverged, effect_before: bool
    ) -> tuple[bool, AttemptFailure | None]:
        match message:
            case AnswerDiverged():
                return self._take_diverged(message)
            case Done():
                return self._take_done(message)
            case Refused():
                return self._take_refused(message, effect_before)
            case PeerLost():
                return self._take_lost(message)
            case NotHeld():
                return self._take_not_held(message)
        return False, None

    def _take_tokens(self, message: Tokens) -> None:
        for part in message.parts:
            accepted = self.execution.accept_tokens(part)
            added = accepted.value_or(None)
            if added is None:
                self._stray(accepted.failure(), part.stage, part.attempt)
                if accepted.failure() is StrayKind.DIVERGED:
                    self.inbox_.put_nowait(AnswerDiverged(part.stage, part.attempt))
                continue
            if added and self.first_token_at_ is None:
                self.first_token_at_ = self.services.clock()
            TOKENS_TOTAL.inc(added)
            if added:
                self.answer_.note_grown()
            else:
                self._grant_replayed(part)

    def _take_diverged(
        self, diverged: AnswerDiverged
    ) -> tuple[bool, AttemptFailure | None]:
        """Give up an answer whose second half would not fit its first."""
        matched = self.execution.match(diverged.stage, diverged.attempt)
        attempt = matched.value_or(None)
        if attempt is None:
            return False, None
        self._cancel_attempt(attempt)
        failure = self._failure(
            FailureKind.FAILED,
            RefusalReason.ENDPOINT_LOST,
            attempt.endpoint_id,
            "another endpoint gave another text",
        )
        return True, failure

    def _grant_replayed(self, part: TokenPart) -> None:
        """Allow as many tokens as were only compared with what is known."""
        peer = self.links_by_number_[part.attempt].peer
        if peer is not None:
            count = len(part.texts)
            peer.send(Credit(self.request_id, part.stage, part.attempt, count))

    def _take_done(self, done: Done) -> tuple[bool, AttemptFailure | None]:
        accepted = self.execution.accept_done(done)
        attempt = accepted.value_or(None)
        if attempt is None:
            self._stray(accepted.failure(), done.stage, done.attempt)
            return False, None
        link = self._settle_link(attempt)
        now = self.services.clock()
        pool = self.services.directory.pool(self.execution.stage.pool)
        if done.status is not DoneStatus.OK:
            if pool is not None:
                pool.ejector.note_failure(attempt.endpoint_id, done.error[:80], now)
                self.services.directory.report_ejections(self.execution.stage.pool)
            self._account(done, StageCost.RETRIED)
            link.peer and link.peer.send(self._ack(attempt))
            failure = self._failure(
                FailureKind.FAILED,
                RefusalReason.ENDPOINT_ERROR,
                attempt.endpoint_id,
                done.error,
            )
            return True, failure
        if pool is not None:
            latency_ms = done.service_ms
            if self.execution.stage.expected_tokens:
                latency_ms /= max(1, done.sequence)
            pool.ejector.note_success(attempt.endpoint_id, latency_ms, now)
            self.services.directory.report_ejections(self.execution.stage.pool)
        if self.body.prefix and done.prefill_tokens and not done.cached_tokens:
            link.view.prefixes_.note_cached(self.body.prefix, now)
        if self.execution.stage.hedge:
            elapsed_ms = (now - attempt.sent_at) * 1000.0
            self.services.hedge_policy(done.stage).note(elapsed_ms)
        self._account(done, StageCost.USEFUL)
        if not self.execution.is_final_stage and link.peer is not None:
            link.peer.send(self._ack(attempt))
        self._abandon_live()
        self.execution.advance(done.result)
        return True, None

    def _take_refused(
        self, refused: Refused, effect_before: bool
    ) -> tuple[bool, AttemptFailure | None]:
        matched = self.execution.match(refused.stage, refused.attempt)
        attempt = matched.value_or(None)
        if attempt is None:
            self._stray(matched.failure(), refused.stage, refused.attempt)
            return False, None
        self._settle_link(attempt)
        pool = self.services.directory.pool(self.execution.stage.pool)
        if pool is not None:
            pool.ejector.note_abandoned(attempt.endpoint_id)
        if refused.begun:
            self.execution.end_attempt(attempt)
            kind = FailureKind.LOST
        else:
            self.execution.note_proved_not_begun(attempt, effect_before)
            kind = FailureKind.REFUSED
        reason = _reason_of(refused.reason)
        failure = self._failure(kind, reason, attempt.endpoint_id)
        failure = msgspec.structs.replace(
            failure, retry_after_ms=refused.retry_after_ms
        )
        return True, failure

    def _take_lost(self, lost: PeerLost) -> tuple[bool, AttemptFailure | None]:
        failure: AttemptFailure | None = None
        for attempt in list(self.execution.live_by_number_.values()):
            if attempt.endpoint_id != lost.endpoint_id:
                continue
            self._settle_link(attempt)
            self.execution.end_attempt(attempt)
            pool = self.services.directory.pool(self.execution.stage.pool)
            if pool is not None:
                pool.ejector.note_abandoned(attempt.endpoint_id)
            failure = self._failure(
                FailureKind.LOST, RefusalReason.ENDPOINT_LOST, attempt.endpoint_id
            )
        return failure is not None, failure

    def _take_not_held(self, message: NotHeld) -> tuple[bool, AttemptFailure | None]:
        matched = self.execution.match(message.stage, message.attempt)
        attempt = matched.value_or(None)
        if attempt is None:
            return False, None
        self.execution.end_attempt(attempt)
        failure = self._failure(
            FailureKind.LOST, RefusalReason.ENDPOINT_LOST, attempt.endpoint_id
        )
        return True, failure

    def _settle_link(self, attempt: Attempt) -> EndpointLink:
        link = self.links_by_number_[attempt.number]
        link.view.note_ended(self.execution.stage.expected_tokens)
        return link

    def _abandon_live(self) -> None:
        """Cancel attempts that nobody waits for any more."""
        for attempt in list(self.execution.live_by_number_.values()):
            link = self._settle_link(attempt)
            if link.peer is not None:
                link.peer.send(Cancel(self.request_id, attempt.stage, attempt.number))
            self.execution.end_attempt(attempt)

    def _ack(self, attempt: Attempt) -> Ack:
        return Ack(self.request_id, attempt.stage, attempt.number)

    def _grant(self, consumed: int) -> None:
        """Allow the agent more tokens as readers take them."""
        wanted = consumed + CREDIT_TOKENS
        if wanted - self.granted_ < CREDIT_TOKENS // 2:
            return
        more = wanted - self.granted_
        self.granted_ = wanted
        for attempt in self.execution.live_by_number_.values():
            peer = self.links_by_number_[attempt.number].peer
            if peer is not None:
                peer.send(Credit(self.request_id, attempt.stage, attempt.number, more))

    def _account(self, done: Done, use: StageCost) -> None:
        COST_MS_TOTAL.labels(stage=done.stage, use=use.value).inc(done.service_ms)
        self.services.costs_.add(
            stage=done.stage,
            pipeline=self.execution.pipeline_id,
            workspace=self.execution.workspace,
            use=use,
            service_ms=done.service_ms,
        )

    def _stray(self, kind: StrayKind, stage: str, attempt: int) -> None:
        STRAYS_TOTAL.labels(kind=kind.value).inc()
        self.services.log.report(
            Event.ANSWER_STRAY,
            request=self.request_id,
            stage=stage,
            attempt=attempt,
            kind=kind.value,
        )

    def _failure(
        self,
        kind: FailureKind,
        reason: RefusalReason,
        endpoint_id: EndpointId,
        detail: str = "",
    ) -> AttemptFailure:
        return AttemptFailure(kind, reason, endpoint_id, detail=detail)

    def _report_failure(self, failure: AttemptFailure, outcome: Outcome) -> None:
        event = Event.REQUEST_REFUSED
        if outcome is Outcome.UNKNOWN:
            event = Event.REQUEST_UNKNOWN
        self.services.log.report(
            event,
            request=self.request_id,
            pipeline=self.execution.pipeline_id,
            reason=failure.reason.value,
            endpoint=failure.endpoint_id,
        )

    def _problem(self, failure: AttemptFailure, outcome: Outcome) -> Problem:
        retry_after_ms = 0.0
        if outcome is Outcome.NOT_RUN:
            retry_after_ms = max(100.0, failure.retry_after_ms)
        status = _STATUS_BY_REASON.get(failure.reason, 503)
        if outcome is Outcome.NOT_RUN and failure.may_have_begun is False:
            status = 503 if failure.reason is RefusalReason.DEADLINE else status
        return Problem(status, failure.reason, failure.detail[:200], retry_after_ms)


def _reason_of(text: str) -> RefusalReason:
    try:
        return RefusalReason(text)
    except ValueError:
        # A newer agent may know reasons that this process does not.
        return RefusalReason.ENDPOINT_ERROR


def make_request_id(random: Random) -> RequestId:
    """Return a fresh id for a request without a key."""
    return RequestId(f"r{random.getrandbits(128):032x}")
