"""Hold the state of one request and match what comes back to it.

One for each request that an entry of the own interface runs. It decides which answers
count (a live attempt, the next sequence, the same tokens as before) and what may be
told to the caller about what ran. Sending, retries and hedges are decided elsewhere.
"""

from enum import Enum

import msgspec
from returns.result import Failure, Result, Success

from leadford.common import (
    AttemptNumber,
    EndpointId,
    Outcome,
    PipelineId,
    RequestId,
    StageId,
    WorkspaceId,
)
from leadford.pipelines.config import PipelineConfig, StageConfig
from leadford.protocol import Done, TokenPart


class StrayKind(Enum):
    """Say why an answer matches nothing that is waited for."""

    NO_ATTEMPT = "no-attempt"
    REPEATED = "repeated"
    GAP = "gap"
    AFTER_END = "after-end"
    DIVERGED = "diverged"


class Attempt(msgspec.Struct, frozen=True):
    """Name one try of one stage at one endpoint."""

    stage: StageId
    number: AttemptNumber
    endpoint_id: EndpointId
    sent_at: float


class StageBudget(msgspec.Struct, frozen=True):
    """Say how long a stage may take.

    Units: milliseconds; tail_ms is kept for the stages after it.
    """

    remaining_ms: float
    tail_ms: float

    @property
    def own_ms(self) -> float:
        """Return what the stage itself may use."""
        return self.remaining_ms - self.tail_ms


class RequestExecution:
    """Follow one request through the stages of its pipeline.

    It accepts only answers that match a live (stage, attempt), and knows at every
    moment whether "not run" would be true.
    """

    def __init__(
        self,
        *,
        request_id: RequestId,
        pipeline_id: PipelineId,
        pipeline: PipelineConfig,
        workspace: WorkspaceId,
        deadline_at: float,
    ) -> None:
        self.request_id = request_id
        self.pipeline_id = pipeline_id
        self.pipeline = pipeline
        self.workspace = workspace
        self.deadline_at = deadline_at
        self.stage_index_ = 0
        self.previous_ = b"null"
        self.attempts_made_ = 0
        self.stage_attempts_ = 0
        self.live_by_number_: dict[AttemptNumber, Attempt] = {}
        self.ended_numbers_: set[AttemptNumber] = set()
        self.tried_endpoints_: set[EndpointId] = set()
        self.delivered_: list[str] = []
        self.sequences_by_number_: dict[AttemptNumber, int] = {}
        self.model_version_ = ""
        self.diverged_ = False
        self.effect_may_have_left_ = False

    @property
    def stage(self) -> StageConfig:
        """Return the stage that runs now."""
        return self.pipeline.stages[self.stage_index_]

    @property
    def is_final_stage(self) -> bool:
        """Tell whether the stage that runs now gives the answer."""
        return self.stage_index_ == len(self.pipeline.stages) - 1

    @property
    def is_finished(self) -> bool:
        """Tell whether every stage has given its result."""
        return self.stage_index_ >= len(self.pipeline.stages)

    def budget(self, now: float) -> StageBudget:
        """Return what is left for the stage that runs now."""
        remaining_ms = (self.deadline_at - now) * 1000.0
        later = self.pipeline.stages[self.stage_index_ + 1 :]
        tail_ms = sum(stage.expected_ms for stage in later)
        return StageBudget(remaining_ms, min(tail_ms, max(0.0, remaining_ms)))

    def begin(self, endpoint_id: EndpointId, now: float) -> Attempt:
        """Begin an attempt of the stage that runs now; call before a byte leaves."""
        self.attempts_made_ += 1
        self.stage_attempts_ += 1
        number = AttemptNumber(self.attempts_made_)
        attempt = Attempt(StageId(self.stage.name), number, endpoint_id, now)
        self.live_by_number_[number] = attempt
        self.tried_endpoints_.add(endpoint_id)
        return attempt

    def adopt(self, stage: str, number: int, endpoint_id: EndpointId) -> Attempt:
        """Wait for an attempt that another process began."""
        names = [configured.name for configured in self.pipeline.stages]
        self.stage_index_ = names.index(stage)
        self.attempts_made_ = number
        attempt = Attempt(StageId(stage), AttemptNumber(number), endpoint_id, 0.0)
        self.live_by_number_[attempt.number] = attempt
        self.record_may_have_left()
        return attempt

    def record_may_have_left(self) -> None:
        """Record that a byte of the stage that runs now may have left."""
        if self.stage.effect or not self.stage.repeatable:
            self.effect_may_have_left_ = True

    def record_proved_not_begun(self, attempt: Attempt, before: bool) -> None:
        """Take back a `may have left` mark that a refusal disproved."""
        self.end_attempt(attempt)
        self.effect_may_have_left_ = before

    def end_attempt(self, attempt: Attempt) -> None:
        """Stop waiting for an attempt."""
        self.live_by_number_.pop(attempt.number, None)
        self.ended_numbers_.add(attempt.number)

    def match(self, stage: str, number: int) -> Result[Attempt, StrayKind]:
        """Return the live attempt that an answer names.

        Errors: an answer to an attempt that ended or never was.
        """
        attempt = self.live_by_number_.get(AttemptNumber(number))
        if attempt is not None and attempt.stage == stage:
            return Success(attempt)
        if number in self.ended_numbers_:
            return Failure(StrayKind.AFTER_END)
        return Failure(StrayKind.NO_ATTEMPT)

    def accept_tokens(self, part: TokenPart) -> Result[int, StrayKind]:
        """Take the tokens that are new; return how many were added to the answer.

        A later attempt begins at 0 again. What was delivered already is compared with
        it, so that the answer goes on only with the same text of the same model.

        Errors: a part of another attempt, one seen before, one past a gap, or one
        that differs from what was delivered.
        """
        matched = self.match(part.stage, part.attempt)
        if isinstance(matched, Failure):
            return Failure(matched.failure())
        number = matched.unwrap().number
        position = self.sequences_by_number_.get(number, 0)
        if part.sequence > position:
            return Failure(StrayKind.GAP)
        seen = position - part.sequence
        if seen >= len(part.texts):
            return Failure(StrayKind.REPEATED)
        fresh = part.texts[seen:]
        known = self.delivered_[position : position + len(fresh)]
        same_model = self.model_version_ in ("", part.model_version)
        if known != fresh[: len(known)] or (known and not same_model):
            self.diverged_ = True
            return Failure(StrayKind.DIVERGED)
        self.model_version_ = part.model_version
        self.sequences_by_number_[number] = position + len(fresh)
        added = fresh[len(known) :]
        self.delivered_.extend(added)
        return Success(len(added))

    def restart_answer(self) -> None:
        """Forget tokens that no caller was shown, so that an attempt begins anew."""
        self.delivered_.clear()
        self.model_version_ = ""

    def accept_done(self, done: Done) -> Result[Attempt, StrayKind]:
        """Return the attempt that ended, once every token before its end arrived.

        Errors: an end that matches no live attempt, or one past a gap.
        """
        matched = self.match(done.stage, done.attempt)
        if isinstance(matched, Failure):
            return matched
        position = self.sequences_by_number_.get(AttemptNumber(done.attempt), 0)
        if self.is_final_stage and done.sequence > position:
            return Failure(StrayKind.GAP)
        self.end_attempt(matched.unwrap())
        return matched

    def advance(self, result: bytes) -> None:
        """Take the stage's result and move to the next stage."""
        self.previous_ = result
        self.stage_index_ += 1
        self.stage_attempts_ = 0
        self.tried_endpoints_.clear()
        for attempt in list(self.live_by_number_.values()):
            self.end_attempt(attempt)

    def failure_outcome(self, *, shown: bool) -> Outcome:
        """Return what may truly be said of a request that is given up now.

        `shown` tells that the caller has read a part of the answer.
        """
        if self.effect_may_have_left_ or shown:
            return Outcome.UNKNOWN
        return Outcome.NOT_RUN
