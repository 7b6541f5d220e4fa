"""Ask for the retries of one request, and hold the one that is reserved.

An attempt that failed asks whether another one follows. One whose endpoint is silent
asks the same before it is given up, because the endpoint may go on while no other
attempt is allowed. `leadford.forwarding.retries` decides both.
"""

from collections.abc import Callable

from leadford.common import EndpointId
from leadford.events import Event
from leadford.forwarding.endpoints import EndpointFailure, EndpointRecord
from leadford.forwarding.retries import (
    AttemptEnd,
    FailedAttempt,
    RetryDecision,
    RetryReason,
    WindowedRetryBudget,
    answer_due_at,
    decide_retry,
    is_past_waiting,
    usual_duration_s,
)
from leadford.forwarding.routes import RouteKind
from leadford_server.forwarding._progress import RequestProgress
from leadford_server.forwarding._state import ForwardState
from leadford_server.forwarding.batching import RequestInputs
from leadford_server.forwarding.retries._choice import EndpointChoice
from leadford_server.forwarding.retries._evidence import EndpointEvidence

# Stages may take this many times as long when they are made again.
REMAKE_MARGIN = 1.25
# Length to which the failure detail in the log line of a retry is cut.
MAX_LOGGED_DETAIL_CHARS = 120


class RequestRetries:
    """Ask for the retries of one request."""

    def __init__(
        self,
        *,
        state: ForwardState,
        progress: RequestProgress,
        choice: EndpointChoice,
        evidence: EndpointEvidence,
        inputs: RequestInputs,
    ) -> None:
        self.state = state
        self.progress = progress
        self.inputs = inputs
        self.choice = choice
        self.evidence = evidence
        # Whether the budget was spent on the next attempt already.
        self.has_reserved_ = False
        # The endpoint that was given up last, until it is used again.
        self.given_up_id_: EndpointId | None = None
        # Attempts that failed after it was given up, which do not count.
        self.uncounted_ = 0
        # Whether the endpoint of the current attempt is silent beyond its limit.
        self.is_silent_ = False

    def begin_attempt(self, endpoint_id: EndpointId) -> None:
        """Record that another attempt begins."""
        self.is_silent_ = False
        if endpoint_id == self.progress.readmitted_id_:
            # It is used again only once.
            self.progress.readmitted_id_ = None
            self.given_up_id_ = None

    def ask(self, end: AttemptEnd, detail: str) -> RetryDecision:
        """Decide whether a retry follows a failed attempt, and log it if so."""
        progress = self.progress
        progress.may_have_run_ |= end.may_have_run
        progress.was_sent_ = False
        self._readmit_given_up(end)
        decision = self._decide(
            self._failed(end), lambda: self.choice.choose() is not None
        )
        progress.retry_reason_ = decision.reason
        if decision.reason is not RetryReason.ALLOWED:
            self.return_reserved()
        else:
            self.has_reserved_ = False
            self.state.log.report(
                Event.ATTEMPT_RETRIED,
                request=progress.request.request_id,
                attempt=len(progress.tried_endpoint_ids_),
                reason=detail[:MAX_LOGGED_DETAIL_CHARS],
            )
        return decision

    def _readmit_given_up(self, end: AttemptEnd) -> None:
        """Let the endpoint that was given up be used again if the next one fails.

        It would have gone on with the request. If the other one may have run it, no
        third one may do so where these two are all that the route allows.
        """
        progress = self.progress
        if self.given_up_id_ is None or self.has_reserved_:
            return
        if end is AttemptEnd.INPUTS_GONE:
            return
        if end.may_have_run and self._attempts < progress.match_.route.attempts_max:
            self.given_up_id_ = None
            return
        progress.readmitted_id_ = self.given_up_id_
        progress.is_bound_ = end.may_have_run
        if progress.tried_endpoint_ids_[-1] != self.given_up_id_:
            self.uncounted_ += 1
        if end.may_have_run:
            self.given_up_id_ = None

    @property
    def _attempts(self) -> int:
        """Return how many attempts count against the maximum of the route."""
        return len(self.progress.tried_endpoint_ids_) - self.uncounted_

    def may_give_up(
        self, record: EndpointRecord, sent_at: float, failure: EndpointFailure
    ) -> bool:
        """Return whether to give up an attempt because its endpoint is silent.

        If so, the retry that follows it is reserved, and its inputs are there: stages
        that make them again may fail. An endpoint that is as silent is not worth a
        retry.

        Units: sent_at in seconds of the monotonic clock.
        """
        if self.is_out_of_time():
            return True
        now = self.state.now()
        is_first = not self.is_silent_
        if is_first:
            self.is_silent_ = True
            self.evidence.record_failure(record, failure)
        else:
            record.record_still_silent(now)
            if self._is_past_waiting(record, sent_at, now):
                return True
            if not self.has_reserved_ and not self._budget.allows(now):
                return False
        failed = self._failed(AttemptEnd.SILENT, needed_s=self._needed_s(now - sent_at))
        decision = self._decide(failed, self.choice.has_better)
        self.has_reserved_ |= decision.retry
        is_given_up = decision.retry and self.inputs.prepare()
        if is_given_up:
            self.given_up_id_ = record.listed.endpoint_id
        if is_first or is_given_up:
            self.evidence.report_silent(
                record, sent_at, decision, is_given_up=is_given_up
            )
        return is_given_up

    def _is_past_waiting(
        self, record: EndpointRecord, sent_at: float, now: float
    ) -> bool:
        """Return whether a plain request ends because its endpoint is probably lost."""
        match = self.progress.match_
        if match.route.kind is RouteKind.STREAM or not match.route.is_repeatable:
            return False
        has_answered_since = record.answered_at_ >= sent_at
        if not is_past_waiting(now - sent_at, has_answered_since=has_answered_since):
            return False
        # Where it is not known how long answers usually take, its work may take long.
        usable = self.state.usable(match.service.service_id)
        return usual_duration_s(usable) is not None

    def record_heard(self, record: EndpointRecord) -> None:
        """Record that the endpoint of the current attempt goes on."""
        self.return_reserved()
        if self.is_silent_:
            self.is_silent_ = False
            record.record_heard()
            self.inputs.end_preparation()

    def return_reserved(self) -> None:
        """Return a reserved retry that will not be sent to the budget."""
        if self.has_reserved_:
            self.has_reserved_ = False
            self._budget.return_retry()

    def is_out_of_time(self) -> bool:
        """Return whether the request must be ended now to be answered in time."""
        return self.state.now() >= answer_due_at(self.progress.deadline_)

    @property
    def is_quarantined(self) -> bool:
        """Return whether too many endpoints crashed under the request or its prompt."""
        return self.state.quarantine_verdict(self.progress.prompt_keys_).refuses

    def _needed_s(self, waited_s: float) -> float:
        """Return how long another attempt would take until it answers.

        It makes its inputs again if they were released with the first event. An answer
        of unknown duration takes at least as long as it was waited for.

        Units: seconds.
        """
        progress = self.progress
        match = progress.match_
        service_id = match.service.service_id
        if match.route.kind is not RouteKind.STREAM:
            return usual_duration_s(self.state.usable(service_id)) or waited_s
        first_byte_s = self.state.first_byte_.expected_s(service_id)
        if self.inputs.is_complete or progress.first_byte_at_ is None:
            return first_byte_s
        begun_s = progress.first_byte_at_ - progress.request.received_at
        return max(first_byte_s, begun_s * REMAKE_MARGIN)

    @property
    def _budget(self) -> WindowedRetryBudget:
        service_id = self.progress.match_.service.service_id
        return self.state.retry_budgets_.budget(service_id)

    def _failed(self, end: AttemptEnd, needed_s: float = 0.0) -> FailedAttempt:
        progress = self.progress
        route = progress.match_.route
        return FailedAttempt(
            end=end,
            may_have_run=progress.may_have_run_,
            is_repeatable=route.is_repeatable,
            can_remake_inputs=route.kind is RouteKind.STREAM and bool(route.stages),
            attempts=self._attempts,
            attempts_max=route.attempts_max,
            input_remakes=progress.input_remakes_,
            now=self.state.now(),
            deadline=min(progress.deadline_, self.state.deadlines_.ends_by_),
            is_quarantined=self.is_quarantined,
            has_reserved_retry=self.has_reserved_,
            needed_s=needed_s,
        )

    def _decide(
        self, failed: FailedAttempt, has_other_endpoint: Callable[[], bool]
    ) -> RetryDecision:
        return decide_retry(
            failed, has_other_endpoint=has_other_endpoint, budget=self._budget
        )
