"""Forward one request of a caller, from the route lookup to the final answer.

A request goes through the steps of docs/ARCHITECTURE.md: look up its route, admit it,
make its inputs, then attempt it at endpoints until an answer is passed on or no further
attempt is possible. The rules in `leadford.forwarding` make every decision; this module
only calls them in order.
"""

import asyncio

from returns.result import Failure, Result, Success

from leadford.forwarding.admission import (
    AdmissionDecision,
    AdmissionRequest,
    ForwardAdmission,
    Verdict,
)
from leadford.forwarding.answers import (
    RETRY_AFTER_S,
    STOPPING_RETRY_AFTER_S,
    EndReason,
)
from leadford.forwarding.retries import answer_due_at, request_deadline
from leadford.forwarding.routes import (
    LookupFailure,
    RouteKind,
    RouteMatch,
    StartDenial,
    decide_start,
)
from leadford_server.forwarding._end_log import log_end
from leadford_server.forwarding._progress import RequestProgress
from leadford_server.forwarding._state import ForwardState
from leadford_server.forwarding.answers._answer import CallerAnswer
from leadford_server.forwarding.answers._callers import (
    CallerDisconnected,
    CallerExchange,
)
from leadford_server.forwarding.answers._plain import PlainForwarder
from leadford_server.forwarding.answers._resumed import ResumedStream
from leadford_server.forwarding.answers._returns import CallerReturn
from leadford_server.forwarding.answers._stream import StreamForwarder
from leadford_server.forwarding.batching import RequestInputs, StageFailure, StageRunner
from leadford_server.forwarding.retries import NO_ENDPOINT, EndpointAttempts
from leadford_server.metrics import (
    ADMISSION_TOTAL,
    INTERRUPTED_TOTAL,
    RETURNS_TOTAL,
)

# Log detail of a request that is not started. If the lookup failed, its fault comes
# before this text.
DETAIL_BY_DENIAL = {
    StartDenial.NO_CONFIG: "no configuration yet",
    StartDenial.NO_ROUTE: "",
    StartDenial.NO_KEY: "",
    StartDenial.CONFIG_MAY_BE_OLD: "in a configuration that may be old",
    StartDenial.STOPPING: "this process is about to stop",
}
SOFTWARE_DETAIL_BY_REASON = {
    EndReason.SOFTWARE_UNKNOWN: "nobody knows which version began the stream",
    EndReason.SOFTWARE_GONE: "no endpoint of the version that began the stream",
}


class RequestForwarder:
    """Serve one request."""

    def __init__(
        self,
        *,
        exchange: CallerExchange,
        state: ForwardState,
        stages: StageRunner,
        admission: ForwardAdmission,
    ) -> None:
        self.exchange = exchange
        self.state = state
        self.admission = admission
        self.request = exchange.request_
        self.progress = RequestProgress(
            request=self.request, mark=state.loop_turns_.mark(state.now())
        )
        self.inputs = RequestInputs(request=self.request, state=state, stages=stages)
        self.attempts = EndpointAttempts(
            state=state, inputs=self.inputs, progress=self.progress
        )
        self.caller_return = CallerReturn(
            state=state, admission=admission, progress=self.progress
        )
        self.resumed_stream = ResumedStream(state=state, progress=self.progress)
        self.answer = CallerAnswer(
            exchange=exchange,
            state=state,
            admission=admission,
            attempts=self.attempts,
            inputs=self.inputs,
            progress=self.progress,
        )

    async def serve(self) -> None:
        """Serve the request and log how it ended."""
        try:
            if self._look_up():
                await self._serve_within_deadline()
        except CallerDisconnected:
            self._end_caller_gone()
        except asyncio.CancelledError:
            # The exchange cancels this task when its caller leaves.
            if self.exchange.caller.is_closed:
                self._end_caller_gone()
            else:
                self._end_interrupted()
                raise
        except Exception as error:
            # The caller gets a final answer after any error; the exchange logs it.
            self.answer.end(EndReason.FAULT, f"{type(error).__name__}: {error}")
            raise
        finally:
            self.inputs.close()
            log_end(
                self.progress,
                stages_done_at=self.inputs.done_at_,
                closed_by=self.exchange.caller.closed_by_text,
                now=self.state.now(),
                log=self.state.log,
            )

    def _end_caller_gone(self) -> None:
        """End a request whose caller left."""
        self.answer.record_unanswered()
        self.progress.record_caller_gone()
        self.exchange.abort()

    def _end_interrupted(self) -> None:
        """Answer a request that is cancelled though its caller waits."""
        INTERRUPTED_TOTAL.inc()
        if self.exchange.is_over_:
            return
        self.progress.may_have_run_ |= self.progress.was_sent_
        self.answer.end(EndReason.INTERRUPTED, "cancelled")

    def _look_up(self) -> bool:
        """Look up the route of the request; return whether the request may start."""
        request = self.request
        self.state.request_rate_.record_request(self.state.now())
        if request.fault:
            self.answer.end(EndReason.MALFORMED, request.fault)
            return False
        table = self.state.table_
        lookup_result = None
        if table is not None:
            lookup_result = table.lookup(
                request.host, request.path, request.api_key, self.state.random
            )
        if isinstance(lookup_result, Success):
            self.progress.record_match(lookup_result.unwrap())
        start = decide_start(lookup_result, self.state.age(), request.deadline_ms)
        if isinstance(start, Failure):
            self._deny_start(start.failure(), lookup_result)
            return False
        return True

    def _deny_start(
        self,
        denial: StartDenial,
        lookup_result: Result[RouteMatch, LookupFailure] | None,
    ) -> None:
        """End a request that may not start."""
        detail = DETAIL_BY_DENIAL[denial]
        if isinstance(lookup_result, Failure):
            detail = f"{lookup_result.failure().fault.value} {detail}".strip()
        retry_after_s = RETRY_AFTER_S
        if denial is StartDenial.STOPPING:
            retry_after_s = STOPPING_RETRY_AFTER_S
        self.answer.end(EndReason(denial.value), detail, retry_after_s)

    async def _serve_within_deadline(self) -> None:
        """Serve a request that may start, and end it by its deadline in any case."""
        progress = self.progress
        match = progress.match_
        route = match.route
        progress.deadline_ = request_deadline(
            route, self.request.deadline_ms, self.request.received_at
        )
        self.exchange.due_at_ = progress.deadline_
        failure = await self.resumed_stream.find_origin()
        match = progress.match_
        budget = self.state.retry_budgets_.budget(match.service.service_id)
        budget.record_request(self.state.now())
        # A request that a caller repeats has the same digest at every entry, so it
        # would crash further endpoints and use up the retry budgets.
        if self.attempts.retries.is_quarantined:
            self.answer.end_quarantined()
            return
        if failure is not None:
            self.answer.end(failure, SOFTWARE_DETAIL_BY_REASON[failure])
            return
        if self._is_held_back():
            self.answer.end_held_back(NO_ENDPOINT)
            return
        if route.stages and not await self._admit():
            return
        try:
            async with self.state.deadlines_.until(answer_due_at(progress.deadline_)):
                if route.stages and not await self._make_inputs():
                    return
                if route.kind is RouteKind.STREAM:
                    await self._stream().serve()
                else:
                    await self._plain().serve()
        except TimeoutError:
            self._end_out_of_time()

    def _is_held_back(self) -> bool:
        """Return whether all endpoints ask for a pause that outlasts the deadline."""
        progress = self.progress
        send_delay_s = self.state.service_send_delay_s(
            progress.match_.service.service_id, progress.origin_
        )
        due_at = answer_due_at(progress.deadline_)
        return send_delay_s > 0.0 and self.state.now() + send_delay_s >= due_at

    def _end_out_of_time(self) -> None:
        """End a request that is past its deadline or that a planned stop cuts short."""
        is_late = self.attempts.retries.is_out_of_time()
        if (
            is_late
            or self.progress.may_have_run_
            or self.progress.was_sent_
            or self.state.stop_began_at_ is None
        ):
            self.answer.record_unanswered()
            self.answer.end(EndReason.OUT_OF_TIME, "out of time")
            return
        detail = DETAIL_BY_DENIAL[StartDenial.STOPPING]
        self.answer.end(EndReason.STOPPING, detail, STOPPING_RETRY_AFTER_S)

    async def _admit(self) -> bool:
        """Ask admission about a request with stages; return whether it is admitted."""
        counts = self.request.piece_counts or ()
        if len(counts) != len(self.progress.match_.route.stages):
            self.answer.end(
                EndReason.MALFORMED, "counts of pieces do not fit the stages"
            )
            return False
        request = await self.caller_return.claim(self._admission_request(counts))
        decision = self.admission.decide(request)
        if decision.verdict is Verdict.REFUSE:
            decision = await self.caller_return.book(request, decision)
        self._record_decision(decision)
        if decision.verdict is Verdict.ADMIT:
            return True
        detail = f"expected in {decision.expected_s:.2f} s"
        if decision.is_caller_retry:
            detail += ", returned"
        self.answer.end(EndReason.NOT_ADMITTED, detail, decision.retry_after_s)
        return False

    def _admission_request(self, counts: tuple[int, ...]) -> AdmissionRequest:
        """Return what admission needs to know of the request."""
        request = self.request
        progress = self.progress
        match = progress.match_
        now = self.state.now()
        caller_timeout_ms = request.deadline_ms
        return AdmissionRequest(
            match.route,
            counts,
            self.inputs.capacities(match),
            priority=match.priority,
            fingerprint=request.fingerprint,
            first_byte_s=self.state.first_byte_.expected_s(match.service.service_id),
            elapsed_s=now - request.received_at,
            timeout_s=progress.deadline_ - request.received_at,
            now=now,
            caller_timeout_s=None
            if caller_timeout_ms is None
            else caller_timeout_ms / 1_000.0,
            endpoint_wait_s=self.state.service_send_delay_s(
                match.service.service_id, progress.origin_
            ),
            workspace_id=match.workspace_id,
            contended_ids=self.state.level_service_ids(),
            is_resumed=progress.resumes_stream,
        )

    def _record_decision(self, decision: AdmissionDecision) -> None:
        """Count the decision, and record what the log says of it."""
        ADMISSION_TOTAL.labels(
            level=str(decision.level), verdict=decision.verdict.value
        ).inc()
        if decision.is_caller_retry:
            known_by = "refusal" if decision.is_refusal_known else "announced wait"
            RETURNS_TOTAL.labels(known_by=known_by).inc()
        progress = self.progress
        progress.level_ = decision.level
        progress.short_service_id_ = decision.short_service_id
        progress.expected_s_ = decision.expected_s
        progress.error_s_ = decision.error_s
        progress.limit_s_ = decision.limit_s
        progress.expected_delay_ = decision.delay
        progress.since_first_try_s_ = decision.since_first_try_s
        progress.is_late_ = decision.is_late

    async def _make_inputs(self) -> bool:
        """Run the stages; return whether the request can continue."""
        opened = self.inputs.open(self.progress)
        if isinstance(opened, Failure):
            self.answer.end(EndReason.MALFORMED, opened.failure())
            return False
        try:
            await self.inputs.wait_for_stages()
        except StageFailure as failure:
            if self.attempts.retries.is_quarantined:
                self.answer.end_quarantined()
                return False
            self.answer.end(EndReason.STAGES_FAILED, f"stages: {failure.detail}")
            return False
        return True

    def _plain(self) -> PlainForwarder:
        return PlainForwarder(
            state=self.state,
            attempts=self.attempts,
            answer=self.answer,
            progress=self.progress,
        )

    def _stream(self) -> StreamForwarder:
        return StreamForwarder(
            state=self.state,
            attempts=self.attempts,
            answer=self.answer,
            inputs=self.inputs,
            progress=self.progress,
            make_inputs=self._make_inputs,
        )
