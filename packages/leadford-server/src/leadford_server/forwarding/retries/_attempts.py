"""Make the attempts of one request at endpoints, one at a time.

An attempt chooses an endpoint, takes a connection from the pool, sends the request and
waits for the head of the answer. `_evidence` records what the attempt shows about the
endpoint, and the connection returns to the pool. `leadford.forwarding.retries` decides
whether another attempt follows; `leadford.forwarding.endpoints`, called by `_choice`,
decides which endpoint receives it.
"""

from collections.abc import Callable
from functools import partial

from leadford.forwarding.endpoints import (
    EndpointFailure,
    EndpointRecord,
    SentPrompt,
)
from leadford.forwarding.retries import max_hold_s
from leadford.forwarding.routes import PRIORITY_HIGHEST, PRIORITY_LOWEST
from leadford_server.forwarding._contract import ForwardCall, NotRunCause
from leadford_server.forwarding._endpoint_timeout import EndpointTimeout
from leadford_server.forwarding._heads import record_head
from leadford_server.forwarding._progress import RequestProgress
from leadford_server.forwarding._state import ForwardState
from leadford_server.forwarding.batching import RequestInputs
from leadford_server.forwarding.endpoints import (
    BreakKind,
    EndpointConnection,
    ExchangeBroken,
    LiveAnswer,
)
from leadford_server.forwarding.retries._attempt import (
    NO_ENDPOINT,
    Attempt,
    BorrowedConnection,
    NotRun,
)
from leadford_server.forwarding.retries._choice import EndpointChoice
from leadford_server.forwarding.retries._evidence import EndpointEvidence
from leadford_server.forwarding.retries._retries import RequestRetries

# Time for the body of a refusal, after which its connection is closed.
REFUSAL_BODY_MAX_S = 0.25
MAX_REFUSAL_BODY_BYTES = 64 * 1024
# An endpoint is never sent a remaining time of 0 or less.
MIN_REMAINING_MS = 1.0


class EndpointAttempts:
    """Start and end the attempts of one request."""

    def __init__(
        self, *, state: ForwardState, inputs: RequestInputs, progress: RequestProgress
    ) -> None:
        self.state = state
        self.inputs = inputs
        self.progress = progress
        self.choice = EndpointChoice(state=state, inputs=inputs, progress=progress)
        self.evidence = EndpointEvidence(state=state, progress=progress)
        self.retries = RequestRetries(
            state=state,
            progress=progress,
            choice=self.choice,
            evidence=self.evidence,
            inputs=inputs,
        )
        self.sent_prompt_: SentPrompt | None = None
        # Whether the current attempt is counted in `suspect_requests_in_flight_`.
        self.is_suspect_ = False

    def choose(self) -> EndpointRecord | None:
        """Return the endpoint for another attempt, None if there is none."""
        return self.choice.choose()

    async def begin(self, limit_at: float) -> Attempt:
        """Send the request to an endpoint and wait for the head of the answer.

        The time until an endpoint is chosen extends the limit, because no endpoint was
        slow during it. From the limit on, the attempt ends once another one is allowed.

        Units: limit_at in seconds of the monotonic clock.
        Errors: raises NotRun when the attempt has certainly not run, ExchangeBroken
        when it may have run, TimeoutError when the deadline of the request has passed.
        """
        asked_at = self.state.now()
        borrowed = await self._borrow()
        limit_at += borrowed.began_at - asked_at
        record, connection = borrowed.record, borrowed.connection
        try:
            answer = await self._send(borrowed, limit_at)
        except ExchangeBroken as failure:
            if failure.kind is BreakKind.LOST:
                self.evidence.record_connection_lost(borrowed, has_head=False)
            self._abandon(record, connection)
            self.evidence.record_failure(record, failure.endpoint_failure)
            if failure.kind is BreakKind.NOT_SENT:
                raise NotRun(str(failure)) from failure
            raise
        except TimeoutError as error:
            self._abandon(record, connection)
            if self.retries.is_out_of_time():
                raise
            raise ExchangeBroken(BreakKind.LOST, "slow") from error
        except BaseException:
            self._abandon(record, connection)
            raise
        self.retries.return_reserved()
        self.evidence.record_alive(record, borrowed.began_at)
        now = self.state.now()
        if now >= limit_at:
            # The head came late; the rest gets as much time again.
            limit_at = now + limit_at - borrowed.began_at
        attempt = Attempt(borrowed, answer, limit_at)
        await self._check_head(attempt)
        return attempt

    async def _borrow(self) -> BorrowedConnection:
        """Return a connection to an endpoint that still accepts new work.

        While this waits for a connection, the endpoint may announce that it is leaving
        or reach a rate limit that it announces. In both cases another endpoint is
        chosen, and the first does not count as tried.

        Errors: raises NotRun when there is no endpoint or no connection, or when the
        request is quarantined.
        """
        if self.retries.is_quarantined:
            raise NotRun("quarantined")
        wait_until = self.state.now() + max_hold_s(self.progress.match_.route)
        while True:
            record = await self.choice.choose_by(wait_until)
            if record is None:
                raise NotRun(NO_ENDPOINT)
            mark = self.state.loop_turns_.mark(self._count_begin(record))
            match = self.progress.match_
            try:
                connection = await self.state.pool_.acquire(
                    record,
                    match.service.connections_max,
                    request_id=self.progress.request.request_id,
                )
            except ExchangeBroken as failure:
                self._abandon(record, None)
                self.evidence.record_failure(record, failure.endpoint_failure)
                raise NotRun(str(failure)) from failure
            except BaseException:
                self._abandon(record, None)
                raise
            is_refused = self.retries.is_quarantined
            if self._may_send(record) and not is_refused:
                self.state.record_sent(record)
                software = record.listed.known_software
                return BorrowedConnection(record, connection, mark, software)
            # Nothing was sent, so the connection can be used again.
            self._count_end(record)
            self.state.pool_.release(record, connection)
            self.progress.forget_tried()
            if is_refused:
                raise NotRun("quarantined")

    def _may_send(self, record: EndpointRecord) -> bool:
        """Return whether an endpoint that was chosen before still takes a request."""
        if not self.choice.fits_stream(record):
            # Another software version has started under the same id meanwhile.
            return False
        return self.state.is_usable(record) and self.state.send_delay_s(record) <= 0.0

    def may_give_up(
        self,
        borrowed: BorrowedConnection,
        failure: EndpointFailure = EndpointFailure.SLOW,
    ) -> Callable[[], bool]:
        """Return what tells whether to give up an attempt that waits in vain."""
        return partial(
            self.retries.may_give_up, borrowed.record, borrowed.began_at, failure
        )

    def release(self, attempt: Attempt) -> None:
        """End an attempt and return its connection to the pool."""
        self._count_end(attempt.record)
        self.state.pool_.release(attempt.record, attempt.connection)

    def record_first_token(self, elapsed_s: float | None) -> None:
        """Record that an engine has read the prompt, and how long it took.

        Units: elapsed_s in seconds, None if it is not known.
        """
        sent = self.sent_prompt_
        if sent is None or elapsed_s is None:
            self.record_prompt_read()
            return
        elapsed_ms = elapsed_s * 1_000.0
        self.state.engines_.record_first_token(sent, elapsed_ms)
        record = self.state.roster_.record(sent.endpoint_id)
        # Only the placing entry knows which parts of the prompt the engine had cached.
        if record is not None and not sent.waits and self.choice.places_for_all:
            self.state.pace_meter_.record_prefill(
                record, sent.prefill_tokens, elapsed_ms, self.state.now()
            )
        self.record_prompt_read()

    def record_prompt_read(self) -> None:
        """Record that the engine has read the prompt, or that the attempt is over."""
        sent = self.sent_prompt_
        if sent is not None:
            self.state.engines_.record_prefilled(sent)
            self.sent_prompt_ = None
        self.choice.report_prefilled()

    def _count_begin(self, record: EndpointRecord) -> float:
        """Count an attempt that starts now, and return the current time."""
        self.progress.record_tried(record.listed)
        self.retries.begin_attempt(record.listed.endpoint_id)
        self.inputs.record_attempt()
        began_at = self.state.now()
        self.progress.pace_ = record.pace(began_at)
        self.progress.pace_age_s_ = record.pace_.age_s(began_at)
        record.in_flight_ += 1
        self.is_suspect_ = self.choice.runs_apart
        record.suspect_requests_in_flight_ += self.is_suspect_
        service = self.progress.match_.service
        self.state.cold_endpoints_.record_sent(record, service.cold_limits, began_at)
        engine = service.engine
        if engine is not None:
            self.sent_prompt_ = self.state.engines_.record_sent(
                record, self.progress.request.prompt, engine.memory_tokens
            )
        return began_at

    def _count_end(self, record: EndpointRecord) -> None:
        """Remove an attempt that has ended from the counts."""
        self.record_prompt_read()
        record.in_flight_ -= 1
        record.suspect_requests_in_flight_ -= self.is_suspect_

    async def _send(self, borrowed: BorrowedConnection, limit_at: float) -> LiveAnswer:
        request = self.progress.request
        record, connection = borrowed.record, borrowed.connection
        outbound = self.state.codec.forward(request, self._call(record))
        self.inputs.release_soon(record)
        turns = self.state.loop_turns_
        self.progress.was_sent_ = True
        async with EndpointTimeout(
            limit_at, turns, borrowed.mark, may_end=self.may_give_up(borrowed)
        ):
            return await connection.begin(outbound, request.request_id)

    def _call(self, record: EndpointRecord) -> ForwardCall:
        progress = self.progress
        match = progress.match_
        left_ms = (progress.deadline_ - self.state.now()) * 1_000.0
        priority = None
        if match.service.engine is not None:
            priority = min(PRIORITY_LOWEST, max(PRIORITY_HIGHEST, match.priority))
        return ForwardCall(
            endpoint_id=record.listed.endpoint_id,
            remaining_ms=max(MIN_REMAINING_MS, left_ms),
            workspace=match.workspace_id,
            priority=priority,
            inputs=self.inputs.handles(),
            last_event_id=progress.last_event_id_,
            model_version=progress.model_version_,
        )

    async def _check_head(self, attempt: Attempt) -> None:
        """Raise if the head of an answer shows that the attempt failed.

        Errors: raises NotRun when the head says that the request did not run,
        ExchangeBroken when the answer may not be passed on.
        """
        head = attempt.answer.head
        record = attempt.record
        record_head(
            self.state,
            record,
            head,
            sent_at=attempt.began_at,
            expects_version=self.progress.model_version_ is not None,
        )
        if head.fault:
            self.release(attempt)
            raise ExchangeBroken(BreakKind.INVALID_ANSWER, head.fault)
        if head.not_run is None:
            return
        self.progress.was_sent_ = False
        limit_at = self.state.now() + REFUSAL_BODY_MAX_S
        reader = attempt.answer.reader
        reader.limit_body(MAX_REFUSAL_BODY_BYTES, is_kept=False)
        try:
            async with EndpointTimeout(limit_at, self.state.loop_turns_):
                await attempt.answer.wait_until_complete()
        except (ExchangeBroken, TimeoutError):
            # The head says that the request did not run; the body is not needed.
            if reader.is_too_long:
                self.evidence.record_failure(record, EndpointFailure.BROKEN_OFF)
        finally:
            self.release(attempt)
        has_stages = bool(self.progress.match_.route.stages)
        raise NotRun(
            f"not run: {head.status}",
            inputs_gone=head.not_run is NotRunCause.INPUTS_GONE and has_stages,
        )

    def _abandon(
        self, record: EndpointRecord, connection: EndpointConnection | None
    ) -> None:
        """End an attempt whose answer did not begin, and close its connection."""
        self._count_end(record)
        if connection is not None:
            connection.close()
            self.state.pool_.release(record, connection)
