"""Run the attempts of one request's stages: send, wait, hedge, move, settle.

This is the flow; `_sending` chooses and sends, `_tokens` takes what streams,
`_settling` says how attempts end, `_live_attempts` holds those that run. Hedges and
moves of slow generations are decided in `leadford.pipelines.retries`.
"""

import asyncio

from leadford.common import EndpointId, RefusalReason
from leadford.events import Event
from leadford.pipelines.admission import StageNeed, forecast_pool
from leadford.pipelines.execution import RequestExecution
from leadford.pipelines.retries import AttemptFailure, FailureKind
from leadford.pipelines.routing import EndpointView
from leadford.protocol import Attach, Note, Tokens
from leadford_server.pipelines.entry._answers import AnswerBuffer
from leadford_server.pipelines.entry._body import RequestBody
from leadford_server.pipelines.entry._deliveries import (
    AnswerDiverged,
    Delivery,
    Wake,
    make_failure,
)
from leadford_server.pipelines.entry._endpoint_links import EndpointLink
from leadford_server.pipelines.entry._live_attempts import LiveAttempts
from leadford_server.pipelines.entry._sending import AttemptSender
from leadford_server.pipelines.entry._services import EntryServices
from leadford_server.pipelines.entry._settling import AttemptSettler
from leadford_server.pipelines.entry._tokens import TokenStream
from leadford_server.pipelines.entry._trail import Trail

# Interval between checks whether a generation is too slow at its endpoint.
RESCUE_POLL_INTERVAL_S = 0.25
# Interval between checks whether a connection is open again.
CONNECT_POLL_INTERVAL_S = 0.01


class StageAttempts:
    """Run the attempts of one request."""

    def __init__(
        self,
        *,
        execution: RequestExecution,
        body: RequestBody,
        priority: int,
        services: EntryServices,
        trail: Trail,
    ) -> None:
        self.live = LiveAttempts(
            execution=execution,
            body=body,
            priority=priority,
            services=services,
            trail=trail,
        )
        self.inbox_: asyncio.Queue[Delivery] = asyncio.Queue()
        self.tokens = TokenStream(live=self.live, on_diverged=self._on_diverged)
        self.sender = AttemptSender(live=self.live, tokens=self.tokens)
        self.settler = AttemptSettler(live=self.live, tokens=self.tokens)
        self.cancel_asked_ = False
        self.hedges_ = 0

    @property
    def answer_(self) -> AnswerBuffer:
        """Return the answer as it is shown to readers."""
        return self.tokens.answer_

    @property
    def first_token_at_(self) -> float | None:
        """Return when the first token came.

        Units: seconds of the monotonic clock.
        """
        return self.tokens.first_token_at_

    def deliver(self, message: Delivery) -> None:
        """Handle a message for this request."""
        if isinstance(message, Tokens):
            # Most messages are tokens, and they need no decision.
            self.tokens.take(message)
            return
        self.inbox_.put_nowait(message)

    def _on_diverged(self, stage: str, attempt: int) -> None:
        self.inbox_.put_nowait(AnswerDiverged(stage, attempt))

    def cancel(self) -> None:
        """Cancel the request, as far as that is still possible."""
        self.cancel_asked_ = True
        self.inbox_.put_nowait(Wake())

    def abandon(self) -> None:
        """Cancel attempts whose answer is no longer needed."""
        self.live.cancel_all()

    def candidates(self) -> list[EndpointView]:
        """Return the endpoints that were not tried yet for this stage."""
        return self.sender.candidates()

    async def run_one(self) -> AttemptFailure | None:
        """Run one attempt, and a hedge beside it where one is due."""
        budget = self.live.execution.budget(self.live.services.clock())
        if self.cancel_asked_:
            return make_failure(FailureKind.NOT_SENT, RefusalReason.CANCELLED)
        if budget.remaining_ms <= 0:
            return make_failure(FailureKind.NOT_SENT, RefusalReason.DEADLINE)
        if self.live.is_quarantined:
            return make_failure(FailureKind.NOT_SENT, RefusalReason.QUARANTINED)
        link = self.sender.choose()
        if link is None:
            return make_failure(FailureKind.NOT_SENT, RefusalReason.NO_ENDPOINT)
        if not self.sender.send(link):
            return make_failure(
                FailureKind.NOT_SENT,
                RefusalReason.ENDPOINT_LOST,
                link.view.endpoint_id,
            )
        return await self._wait(self.sender.hedge_delay_ms(link))

    async def take_over(self, note: Note) -> AttemptFailure | None:
        """Wait for an attempt that another process began."""
        endpoint_id = EndpointId(note.endpoint_id)
        if not self.live.execution.has_stage(note.stage):
            return make_failure(
                FailureKind.LOST,
                RefusalReason.ENDPOINT_LOST,
                endpoint_id,
                f"the pipeline has no stage {note.stage!r} any more",
            )
        attempt = self.live.execution.register_attempt(
            note.stage, note.attempt, endpoint_id
        )
        link = self.live.services.directory.link(endpoint_id)
        if link is None or not await self._reach(link):
            return make_failure(
                FailureKind.LOST, RefusalReason.ENDPOINT_LOST, endpoint_id
            )
        locator = f"{endpoint_id}/{attempt.number}"
        if self.tokens.answer_.locator_ != locator:
            self.live.services.log.report(
                Event.REQUEST_TAKEN_OVER,
                request=self.live.request_id,
                endpoint=endpoint_id,
            )
        self.live.links_by_number_[attempt.number] = link
        self.tokens.answer_.locator_ = locator
        link.peer.send(
            Attach(
                self.live.request_id,
                note.stage,
                note.attempt,
                0,
                self.tokens.granted_,
                self.live.execution.workspace,
            )
        )
        return await self._wait(None)

    async def _reach(self, link: EndpointLink) -> bool:
        while link.peer is None:
            if self.live.services.clock() >= self.live.execution.deadline_at:
                return False
            await asyncio.sleep(CONNECT_POLL_INTERVAL_S)
        return True

    async def _wait(self, hedge_ms: float | None) -> AttemptFailure | None:
        """Wait until one attempt succeeds, all have failed, or time is up."""
        clock = self.live.services.clock
        hedge_at = clock() + hedge_ms / 1000.0 if hedge_ms is not None else None
        look_at = clock() + RESCUE_POLL_INTERVAL_S
        while True:
            limit = min(self.live.execution.deadline_at, look_at)
            if hedge_at is not None:
                limit = min(limit, hedge_at)
            try:
                async with asyncio.timeout(max(0.0, limit - clock())):
                    message = await self.inbox_.get()
            except TimeoutError:
                if clock() >= self.live.execution.deadline_at:
                    return self._time_is_up()
                if hedge_at is not None and clock() >= hedge_at:
                    hedge_at = None
                    self._hedge()
                if clock() >= look_at:
                    look_at = clock() + RESCUE_POLL_INTERVAL_S
                    slow = self._give_up_slow()
                    if slow is not None:
                        return slow
                continue
            if self.cancel_asked_ and self.live.execution.stage.repeatable:
                return make_failure(FailureKind.FAILED, RefusalReason.CANCELLED)
            settled = self.settler.take(message)
            if settled is None:
                continue
            if settled.failure is None or not self.live.execution.live_by_number_:
                return settled.failure

    def _hedge(self) -> None:
        """Start a second attempt, unless the answer has begun to arrive."""
        if self.live.is_quarantined or self.live.execution.delivered_:
            return
        if not self.live.services.budget_.try_spend():
            return
        link = self.sender.choose()
        if link is not None:
            self.hedges_ += 1
            self.sender.send(link)

    def _give_up_slow(self) -> AttemptFailure | None:
        """Cancel a generation that would be late here and in time elsewhere."""
        execution = self.live.execution
        stage = execution.stage
        movable = (
            stage.repeatable
            and stage.expected_tokens
            and not self.tokens.answer_.shown_
        )
        if not movable or len(execution.live_by_number_) != 1:
            return None
        now = self.live.services.clock()
        need = StageNeed.from_config(stage)
        forecast = forecast_pool(
            self.sender.candidates(), need, self.live.priority, now
        )
        if forecast is None:
            return None
        attempt = next(iter(execution.live_by_number_.values()))
        first_at = self.tokens.first_at_by_number_.get(attempt.number, now)
        moves = self.live.services.rescue_.moves(
            received=execution.sequences_by_number_.get(attempt.number, 0),
            expected=stage.expected_tokens,
            generating_ms=(now - first_at) * 1000.0,
            remaining_ms=execution.budget(now).own_ms,
            elsewhere_ms=forecast.finish_ms,
        )
        if not moves or not self.live.services.budget_.try_spend():
            return None
        self.live.trail.add(now, f"{stage.name}: {attempt.endpoint_id} is too slow")
        self.live.lose_race(attempt)
        return make_failure(
            FailureKind.MOVED,
            RefusalReason.DEADLINE,
            attempt.endpoint_id,
            "too slow there",
        )

    def _time_is_up(self) -> AttemptFailure:
        endpoint_id = EndpointId("")
        now = self.live.services.clock()
        stage = self.live.execution.stage
        for attempt in self.live.execution.live_by_number_.values():
            endpoint_id = attempt.endpoint_id
            self.live.record_unfinished(attempt, now)
        self.live.services.directory.report_ejections(stage.pool)
        return make_failure(FailureKind.LOST, RefusalReason.DEADLINE, endpoint_id)
