"""Hold the state of one request and match answers to its attempts.

An entry of the own interface holds one `RequestExecution` for each running request. It
decides which answers are accepted (from a live attempt, with the next sequence and the
same tokens as before), and what the caller may be told about execution. Sending,
retries and hedges are decided elsewhere.
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
    """Name the reason why an answer is not accepted."""

    NO_ATTEMPT = "no-attempt"
    REPEATED = "repeated"
    GAP = "gap"
    AFTER_END = "after-end"
    DIVERGED = "diverged"


class Attempt(msgspec.Struct, frozen=True):
    """Identify one attempt of one stage at one endpoint."""

    stage: StageId
    number: AttemptNumber
    endpoint_id: EndpointId
    sent_at: float


class StageBudget(msgspec.Struct, frozen=True):
    """Hold the time that is left for a stage.

    Units: milliseconds; tail_ms is reserved for the later stages.
    """

    remaining_ms: float
    tail_ms: float

    @property
    def own_ms(self) -> float:
        """Return the time in milliseconds that the stage itself may use."""
        return self.remaining_ms - self.tail_ms


class RequestExecution:
    """Track one request through the stages of its pipeline.

    It accepts only answers that match a live (stage, attempt), and knows at any time
    whether the outcome "not run" would be true.
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
        # Attempts that may have started an effect.
        self.effect_numbers_: set[AttemptNumber] = set()
        self.is_begun_elsewhere_ = False

    @property
    def stage(self) -> StageConfig:
        """Return the current stage."""
        return self.pipeline.stages[self.stage_index_]

    @property
    def is_final_stage(self) -> bool:
        """Return whether the current stage produces the answer."""
        return self.stage_index_ == len(self.pipeline.stages) - 1

    @property
    def is_finished(self) -> bool:
        """Return whether all stages have returned a result."""
        return self.stage_index_ >= len(self.pipeline.stages)

    def budget(self, now: float) -> StageBudget:
        """Return the time budget of the current stage."""
        remaining_ms = (self.deadline_at - now) * 1000.0
        later = self.pipeline.stages[self.stage_index_ + 1 :]
        tail_ms = sum(stage.expected_ms for stage in later)
        return StageBudget(remaining_ms, min(tail_ms, max(0.0, remaining_ms)))

    def begin(self, endpoint_id: EndpointId, now: float) -> Attempt:
        """Begin an attempt of the current stage; call this before any byte is sent."""
        self.attempts_made_ += 1
        self.stage_attempts_ += 1
        number = AttemptNumber(self.attempts_made_)
        attempt = Attempt(StageId(self.stage.name), number, endpoint_id, now)
        self.live_by_number_[number] = attempt
        self.tried_endpoints_.add(endpoint_id)
        return attempt

    def has_stage(self, name: str) -> bool:
        """Return whether the pipeline has a stage of a name."""
        return any(stage.name == name for stage in self.pipeline.stages)

    def register_attempt(
        self, stage: str, number: int, endpoint_id: EndpointId
    ) -> Attempt:
        """Register an attempt that another process began as live."""
        names = [configured.name for configured in self.pipeline.stages]
        self.stage_index_ = names.index(stage)
        self.attempts_made_ = number
        attempt = Attempt(StageId(stage), AttemptNumber(number), endpoint_id, 0.0)
        self.live_by_number_[attempt.number] = attempt
        self.is_begun_elsewhere_ = True
        return attempt

    def record_possible_send(self, attempt: Attempt) -> None:
        """Record that a byte of an attempt of the current stage may have been sent."""
        if self.stage.effect or not self.stage.repeatable:
            self.effect_numbers_.add(attempt.number)

    def record_not_started(self, attempt: Attempt) -> None:
        """End an attempt that started nothing; what others may have started stays."""
        self.end_attempt(attempt)
        self.effect_numbers_.discard(attempt.number)

    def end_attempt(self, attempt: Attempt) -> None:
        """Mark an attempt as ended, so that its answers are no longer accepted."""
        self.live_by_number_.pop(attempt.number, None)
        self.ended_numbers_.add(attempt.number)

    def match(self, stage: str, number: int) -> Result[Attempt, StrayKind]:
        """Return the live attempt that an answer belongs to.

        Errors: the attempt has ended or is unknown.
        """
        attempt = self.live_by_number_.get(AttemptNumber(number))
        if attempt is not None and attempt.stage == stage:
            return Success(attempt)
        if number in self.ended_numbers_:
            return Failure(StrayKind.AFTER_END)
        return Failure(StrayKind.NO_ATTEMPT)

    def accept_tokens(self, part: TokenPart) -> Result[int, StrayKind]:
        """Accept new tokens; return how many were added to the answer.

        A later attempt starts again at sequence 0. Its tokens are compared with those
        already delivered, so that the answer continues only with the same text from the
        same model version.

        Errors: the part belongs to no live attempt, was already received, follows a
        gap, or differs from the delivered tokens.
        """
        matched = self.match(part.stage, part.attempt)
        if isinstance(matched, Failure):
            return Failure(matched.failure())
        number = matched.unwrap().number
        position = self.sequences_by_number_.get(number, 0)
        if part.sequence > position:
            return Failure(StrayKind.GAP)
        seen_count = position - part.sequence
        if seen_count >= len(part.texts):
            return Failure(StrayKind.REPEATED)
        new_texts = part.texts[seen_count:]
        delivered = self.delivered_[position : position + len(new_texts)]
        same_model = self.model_version_ in ("", part.model_version)
        if delivered != new_texts[: len(delivered)] or (delivered and not same_model):
            self.diverged_ = True
            return Failure(StrayKind.DIVERGED)
        self.model_version_ = part.model_version
        self.sequences_by_number_[number] = position + len(new_texts)
        added = new_texts[len(delivered) :]
        self.delivered_.extend(added)
        return Success(len(added))

    def restart_answer(self) -> None:
        """Discard tokens that the caller has not seen, to start the answer again."""
        self.delivered_.clear()
        self.model_version_ = ""

    def accept_done(self, done: Done) -> Result[Attempt, StrayKind]:
        """End and return the attempt once all tokens before its end have arrived.

        Errors: the end matches no live attempt, or tokens before it are missing.
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
        """Store the result of the stage and move to the next one."""
        self.previous_ = result
        self.stage_index_ += 1
        self.stage_attempts_ = 0
        self.tried_endpoints_.clear()
        for attempt in list(self.live_by_number_.values()):
            self.end_attempt(attempt)

    def failure_outcome(self, *, shown: bool) -> Outcome:
        """Return the outcome to report if the request fails now.

        `shown` says that the caller has received a part of the answer.
        """
        if self.effect_numbers_ or self.is_begun_elsewhere_ or shown:
            return Outcome.UNKNOWN
        return Outcome.NOT_RUN
