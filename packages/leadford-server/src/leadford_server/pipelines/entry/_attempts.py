"""Run the attempts of one request's stages: send, wait, hedge, match, settle."""

import asyncio

import msgspec

from leadford.common import EndpointId, RefusalReason, RequestId
from leadford.events import Event
from leadford.pipelines.admission import StageNeed, forecast_pool
from leadford.pipelines.costs import StageCost
from leadford.pipelines.ejection import EndpointState
from leadford.pipelines.execution import Attempt, RequestExecution, StrayKind
from leadford.pipelines.retries import AttemptFailure, FailureKind
from leadford.pipelines.routing import EndpointView, RoutingRequest
from leadford.protocol import (
    Ack,
    Attach,
    Cancel,
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
from leadford_server.metrics import COST_MS_TOTAL, STRAYS_TOTAL, TOKENS_TOTAL
from leadford_server.pipelines.entry._answers import AnswerBuffer
from leadford_server.pipelines.entry._body import RequestBody
from leadford_server.pipelines.entry._directory import EndpointLink
from leadford_server.pipelines.entry._services import EntryServices
from leadford_server.pipelines.entry._trail import Trail

CREDIT_TOKENS = 64
PROBE_HEDGE_FRACTION = 0.25
PROBE_HEDGE_MIN_MS = 20.0
LOOK_S = 0.25
NOWHERE = EndpointId("")


class PeerLost(msgspec.Struct, frozen=True):
    """Tell a request that the connection to an endpoint's agent ended."""

    endpoint_id: EndpointId


class AnswerDiverged(msgspec.Struct, frozen=True):
    """Tell a request that a later attempt gives another text than was shown."""

    stage: str
    attempt: int


class Wake(msgspec.Struct, frozen=True):
    """Tell a request to look again at what was asked of it."""


Delivery = Message | PeerLost | AnswerDiverged | Wake


class Settled(msgspec.Struct, frozen=True):
    """Say that an attempt ended, and why if it failed."""

    failure: AttemptFailure | None = None


def make_failure(
    kind: FailureKind,
    reason: RefusalReason,
    endpoint_id: EndpointId = NOWHERE,
    detail: str = "",
) -> AttemptFailure:
    """Return a failure."""
    return AttemptFailure(kind, reason, endpoint_id, detail=detail)


class StageAttempts:
    """Hold the live attempts of a request and match what comes back to them."""

    def __init__(
        self,
        *,
        execution: RequestExecution,
        body: RequestBody,
        priority: int,
        services: EntryServices,
        trail: Trail,
    ) -> None:
        self.execution = execution
        self.body = body
        self.priority = priority
        self.services = services
        self.trail = trail
        self.inbox_: asyncio.Queue[Delivery] = asyncio.Queue()
        self.answer_ = AnswerBuffer(texts=execution.delivered_, on_consumed=self._grant)
        self.links_by_number_: dict[int, EndpointLink] = {}
        self.cancel_asked_ = False
        self.granted_ = CREDIT_TOKENS
        self.hedges_ = 0
        self.first_token_at_: float | None = None
        self.first_at_by_number_: dict[int, float] = {}

    @property
    def request_id(self) -> RequestId:
        """Return the id of the request."""
        return self.execution.request_id

    def deliver(self, message: Delivery) -> None:
        """Take in a message for this request."""
        if isinstance(message, Tokens):
            # Tokens are the bulk of all messages and need no decision.
            self._take_tokens(message)
            return
        self.inbox_.put_nowait(message)

    def cancel(self) -> None:
        """Give up what may still be given up."""
        self.cancel_asked_ = True
        self.inbox_.put_nowait(Wake())

    def candidates(self) -> list[EndpointView]:
        """Return the endpoints that were not tried yet for this stage."""
        stage = self.execution.stage
        return self.services.directory.candidates(
            stage.pool, self.execution.tried_endpoints_, stage.model
        )

    async def run_one(self) -> AttemptFailure | None:
        """Run one attempt, and a hedge beside it where one is due."""
        budget = self.execution.budget(self.services.clock())
        if self.cancel_asked_:
            return make_failure(FailureKind.NOT_SENT, RefusalReason.CANCELLED)
        if budget.remaining_ms <= 0:
            return make_failure(FailureKind.NOT_SENT, RefusalReason.DEADLINE)
        link = self._choose()
        if link is None:
            return make_failure(FailureKind.NOT_SENT, RefusalReason.NO_ENDPOINT)
        before = self.execution.effect_may_have_left_
        if not self._send(link):
            self.execution.effect_may_have_left_ = before
            return make_failure(
                FailureKind.NOT_SENT,
                RefusalReason.ENDPOINT_LOST,
                link.view.endpoint_id,
            )
        return await self._wait(self._hedge_delay_ms(link), before)

    async def take_over(self, note: Note) -> AttemptFailure | None:
        """Wait for an attempt that another process began."""
        endpoint_id = EndpointId(note.endpoint_id)
        attempt = self.execution.adopt(note.stage, note.attempt, endpoint_id)
        link = self.services.directory.link(endpoint_id)
        if link is None or not await self._reach(link):
            return make_failure(
                FailureKind.LOST, RefusalReason.ENDPOINT_LOST, endpoint_id
            )
        self.services.log.report(
            Event.REQUEST_TAKEN_OVER, request=self.request_id, endpoint=endpoint_id
        )
        self.links_by_number_[attempt.number] = link
        self.answer_.locator_ = f"{endpoint_id}/{attempt.number}"
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
        return await self._wait(None, effect_before=True)

    async def _reach(self, link: EndpointLink) -> bool:
        while link.peer is None:
            if self.services.clock() >= self.execution.deadline_at:
                return False
            await asyncio.sleep(0.01)
        return True

    def _choose(self) -> EndpointLink | None:
        stage = self.execution.stage
        services = self.services
        pool = services.directory.pool(stage.pool)
        candidates = self.candidates()
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
        if view is None:
            return None
        wait_ms = view.wait_ms(self.priority, view.report_.service_ms, now)
        self.trail.add(
            now,
            f"{stage.name}: chose {view.endpoint_id} of {len(candidates)}, wait about "
            f"{wait_ms:.0f} ms, {view.report_.running} running",
        )
        return pool.links_by_id_[view.endpoint_id]

    def _hedge_delay_ms(self, link: EndpointLink) -> float | None:
        """Return after which wait a second attempt starts beside the first."""
        stage = self.execution.stage
        if not stage.repeatable:
            return None
        ejector = self.services.directory.pool(stage.pool).ejector
        if ejector.state(link.view.endpoint_id) is EndpointState.PROBING:
            # Whoever serves as a probe must not pay for it.
            return max(PROBE_HEDGE_MIN_MS, PROBE_HEDGE_FRACTION * stage.expected_ms)
        if stage.hedge:
            return self.services.hedge_policy(stage.name).delay_ms()
        return None

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
        self, hedge_ms: float | None, effect_before: bool
    ) -> AttemptFailure | None:
        """Wait until one attempt succeeds, all have failed, or time is up."""
        clock = self.services.clock
        hedge_at = clock() + hedge_ms / 1000.0 if hedge_ms is not None else None
        look_at = clock() + LOOK_S
        while True:
            limit = min(self.execution.deadline_at, look_at)
            if hedge_at is not None:
                limit = min(limit, hedge_at)
            try:
                async with asyncio.timeout(max(0.0, limit - clock())):
                    message = await self.inbox_.get()
            except TimeoutError:
                if clock() >= self.execution.deadline_at:
                    return self._time_is_up()
                if hedge_at is not None and clock() >= hedge_at:
                    hedge_at = None
                    self._hedge()
                if clock() >= look_at:
                    look_at = clock() + LOOK_S
                    slow = self._give_up_slow()
                    if slow is not None:
                        return slow
                continue
            if self.cancel_asked_ and self.execution.stage.repeatable:
                return make_failure(FailureKind.FAILED, RefusalReason.CANCELLED)
            settled = self._take(message, effect_before)
            if settled is None:
                continue
            if settled.failure is None or not self.execution.live_by_number_:
                return settled.failure

    def _hedge(self) -> None:
        """Start a second attempt, unless the answer has begun to arrive."""
        if self.execution.delivered_ or not self.services.budget_.try_spend():
            return
        link = self._choose()
        if link is not None:
            self.hedges_ += 1
            self._send(link)

    def _give_up_slow(self) -> AttemptFailure | None:
        """Give up a generation that would be late here and in time elsewhere."""
        execution = self.execution
        stage = execution.stage
        movable = stage.repeatable and stage.expected_tokens and not self.answer_.shown_
        if not movable or len(execution.live_by_number_) != 1:
            return None
        now = self.services.clock()
        need = StageNeed.from_config(stage)
        forecast = forecast_pool(self.candidates(), need, self.priority, now)
        if forecast is None:
            return None
        attempt = next(iter(execution.live_by_number_.values()))
        first_at = self.first_at_by_number_.get(attempt.number, now)
        moves = self.services.rescue_.moves(
            received=execution.sequences_by_number_.get(attempt.number, 0),
            expected=stage.expected_tokens,
            generating_ms=(now - first_at) * 1000.0,
            remaining_ms=execution.budget(now).own_ms,
            elsewhere_ms=forecast.finish_ms,
        )
        if not moves or not self.services.budget_.try_spend():
            return None
        self.trail.add(now, f"{stage.name}: {attempt.endpoint_id} is too slow")
        self._lose_race(attempt)
        return make_failure(
            FailureKind.MOVED,
            RefusalReason.DEADLINE,
            attempt.endpoint_id,
            "too slow there",
        )

    def _time_is_up(self) -> AttemptFailure:
        endpoint_id = EndpointId("")
        now = self.services.clock()
        stage = self.execution.stage
        for attempt in self.execution.live_by_number_.values():
            endpoint_id = attempt.endpoint_id
            self._note_unfinished(attempt, now)
        self.services.directory.report_ejections(stage.pool)
        return make_failure(FailureKind.LOST, RefusalReason.DEADLINE, endpoint_id)

    def _note_unfinished(self, attempt: Attempt, now: float) -> None:
        """Tell the ejector how slow an attempt that is given up was at least."""
        pool = self.services.directory.pool(self.execution.stage.pool)
        if pool is None:
            return
        slowness = self._slowness_at_least(attempt, now)
        if slowness is None:
            pool.ejector.note_abandoned(attempt.endpoint_id)
            return
        pool.ejector.note_late(attempt.endpoint_id, slowness, now)

    def _slowness_at_least(self, attempt: Attempt, now: float) -> float | None:
        """Return the least time an attempt takes, against what is expected of it.

        None while it may only have waited: a queue speaks of load, not of speed.
        """
        stage = self.execution.stage
        elapsed_ms = (now - attempt.sent_at) * 1000.0
        received = self.execution.sequences_by_number_.get(attempt.number, 0)
        report = self.links_by_number_[attempt.number].view.report_
        waits = report.queued > 0 or report.running >= report.concurrency
        if waits and not received:
            return None
        if not stage.expected_tokens:
            return elapsed_ms / stage.expected_ms
        whole_ms = elapsed_ms / (received + 1) * stage.expected_tokens
        return whole_ms / stage.expected_ms

    def _take(self, message: Delivery, effect_before: bool) -> Settled | None:
        match message:
            case Done():
                return self._take_done(message)
            case Refused():
                return self._take_refused(message, effect_before)
            case AnswerDiverged():
                return self._take_diverged(message)
            case PeerLost():
                return self._take_lost(message)
            case NotHeld():
                return self._take_not_held(message)
        return None

    def _take_tokens(self, message: Tokens) -> None:
        for part in message.parts:
            accepted = self.execution.accept_tokens(part)
            added = accepted.value_or(None)
            if added is None:
                self._stray(accepted.failure(), part.stage, part.attempt)
                if accepted.failure() is StrayKind.DIVERGED:
                    self.inbox_.put_nowait(AnswerDiverged(part.stage, part.attempt))
                continue
            if part.sequence == 0:
                self.first_at_by_number_[part.attempt] = self.services.clock()
            if added and self.first_token_at_ is None:
                self.first_token_at_ = self.services.clock()
                self._end_race(part)
            TOKENS_TOTAL.inc(added)
            if added:
                self.answer_.note_grown()
            else:
                self._grant_replayed(part)

    def _end_race(self, part: TokenPart) -> None:
        """Give up the attempts that were slower to begin than this one."""
        winner = self.links_by_number_[part.attempt].view.endpoint_id
        for attempt in list(self.execution.live_by_number_.values()):
            if attempt.number != part.attempt:
                self._lose_race(attempt)
        self.answer_.locator_ = f"{winner}/{part.attempt}"

    def _lose_race(self, attempt: Attempt) -> None:
        now = self.services.clock()
        self._note_unfinished(attempt, now)
        self.services.directory.report_ejections(self.execution.stage.pool)
        self._cancel_attempt(attempt)

    def _take_diverged(self, diverged: AnswerDiverged) -> Settled | None:
        """Give up an answer whose second half would not fit its first."""
        matched = self.execution.match(diverged.stage, diverged.attempt)
        attempt = matched.value_or(None)
        if attempt is None:
            return None
        self._cancel_attempt(attempt)
        failure = make_failure(
            FailureKind.FAILED,
            RefusalReason.ENDPOINT_LOST,
            attempt.endpoint_id,
            "another endpoint gave another text",
        )
        return Settled(failure)

    def _grant_replayed(self, part: TokenPart) -> None:
        """Allow as many tokens as were only compared with what is known."""
        peer = self.links_by_number_[part.attempt].peer
        if peer is not None:
            count = len(part.texts)
            peer.send(Credit(self.request_id, part.stage, part.attempt, count))

    def _take_done(self, done: Done) -> Settled | None:
        accepted = self.execution.accept_done(done)
        attempt = accepted.value_or(None)
        if attempt is None:
            self._stray(accepted.failure(), done.stage, done.attempt)
            return None
        link = self._settle_link(attempt)
        now = self.services.clock()
        pool = self.services.directory.pool(self.execution.stage.pool)
        if done.status is not DoneStatus.OK:
            if pool is not None:
                pool.ejector.note_failure(attempt.endpoint_id, done.error[:80], now)
                self.services.directory.report_ejections(self.execution.stage.pool)
            self._account(done, StageCost.RETRIED)
            if link.peer is not None:
                link.peer.send(self._ack(attempt))
            failure = make_failure(
                FailureKind.FAILED,
                RefusalReason.ENDPOINT_ERROR,
                attempt.endpoint_id,
                done.error,
            )
            return Settled(failure)
        if pool is not None:
            # What the endpoint bills shrinks with its batch; the clock does not. Taken
            # against what is expected, stages of all lengths compare.
            elapsed_ms = (now - attempt.sent_at) * 1000.0 - done.queue_ms
            slowness = elapsed_ms / self.execution.stage.expected_ms
            pool.ejector.note_success(attempt.endpoint_id, slowness, now)
            self.services.directory.report_ejections(self.execution.stage.pool)
        if self.body.prefix and done.prefill_tokens and not done.cached_tokens:
            link.view.prefixes_.note_cached(self.body.prefix, now)
        if self.execution.stage.hedge:
            begun_at = self.first_token_at_ or now
            elapsed_ms = (begun_at - attempt.sent_at) * 1000.0
            self.services.hedge_policy(done.stage).note(elapsed_ms)
        self._account(done, StageCost.USEFUL)
        if not self.execution.is_final_stage and link.peer is not None:
            link.peer.send(self._ack(attempt))
        for slower in list(self.execution.live_by_number_.values()):
            self._lose_race(slower)
        self.execution.advance(done.result)
        return Settled()

    def _take_refused(self, refused: Refused, effect_before: bool) -> Settled | None:
        matched = self.execution.match(refused.stage, refused.attempt)
        attempt = matched.value_or(None)
        if attempt is None:
            self._stray(matched.failure(), refused.stage, refused.attempt)
            return None
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
        self.trail.add(
            self.services.clock(),
            f"{refused.stage}: {attempt.endpoint_id} refused, {reason.value}",
        )
        failure = make_failure(kind, reason, attempt.endpoint_id)
        failure = msgspec.structs.replace(
            failure, retry_after_ms=refused.retry_after_ms
        )
        return Settled(failure)

    def _take_lost(self, lost: PeerLost) -> Settled | None:
        failure: AttemptFailure | None = None
        for attempt in list(self.execution.live_by_number_.values()):
            if attempt.endpoint_id != lost.endpoint_id:
                continue
            self._settle_link(attempt)
            self.execution.end_attempt(attempt)
            pool = self.services.directory.pool(self.execution.stage.pool)
            if pool is not None:
                pool.ejector.note_abandoned(attempt.endpoint_id)
            failure = make_failure(
                FailureKind.LOST, RefusalReason.ENDPOINT_LOST, attempt.endpoint_id
            )
        return Settled(failure) if failure is not None else None

    def _take_not_held(self, message: NotHeld) -> Settled | None:
        matched = self.execution.match(message.stage, message.attempt)
        attempt = matched.value_or(None)
        if attempt is None:
            return None
        self.execution.end_attempt(attempt)
        failure = make_failure(
            FailureKind.LOST, RefusalReason.ENDPOINT_LOST, attempt.endpoint_id
        )
        return Settled(failure)

    def _settle_link(self, attempt: Attempt) -> EndpointLink:
        link = self.links_by_number_[attempt.number]
        link.view.note_ended(self.execution.stage.expected_tokens)
        return link

    def abandon(self) -> None:
        """Cancel attempts that nobody waits for any more."""
        for attempt in list(self.execution.live_by_number_.values()):
            self._cancel_attempt(attempt)

    def _cancel_attempt(self, attempt: Attempt) -> None:
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


def _reason_of(text: str) -> RefusalReason:
    try:
        return RefusalReason(text)
    except ValueError:
        # A newer agent may know reasons that this process does not.
        return RefusalReason.ENDPOINT_ERROR
