"""Decide, before anything of a request runs, whether the entry begins it.

Asked by the table of requests for each new one, in this order: a planned stop, a paused
pipeline, and whether the stages would probably be in time. The forecast and the
decision are `leadford.pipelines.admission`; here the candidates of each stage are
looked up and the refusal is worded for the caller.
"""

import msgspec

from leadford.common import Outcome, PipelineId, RefusalReason, RequestId, WorkspaceId
from leadford.pipelines.admission import PoolForecast, StageNeed, forecast_pool
from leadford.pipelines.config import PipelineConfig
from leadford.quarantine import RequestDigest
from leadford_server.pipelines.entry._answers import Problem
from leadford_server.pipelines.entry._body import RequestBody
from leadford_server.pipelines.entry._services import EntryServices

# The least urgent priority.
PRIORITY_LAST = 9
# Retry delays of refused callers: during a planned stop, and of a paused pipeline.
DRAINING_RETRY_AFTER_MS = 1000.0
PAUSED_RETRY_AFTER_MS = 30_000.0


class NewRequest(msgspec.Struct, frozen=True):
    """Hold a checked request of a caller.

    Units: deadline_ms counts from now.
    """

    pipeline_id: PipelineId
    workspace: WorkspaceId
    body: RequestBody
    deadline_ms: float
    key: str = ""

    @property
    def content_digest(self) -> RequestDigest:
        """Return the digest by which two requests are known to be the same work."""
        return self.body.content_digest(self.pipeline_id, self.workspace)


class Refusal(msgspec.Struct, frozen=True):
    """Say why a request was not begun here."""

    request_id: RequestId
    problem: Problem
    outcome: Outcome = Outcome.NOT_RUN


class RequestAdmission:
    """Decide whether new requests of one entry begin."""

    def __init__(self, *, services: EntryServices) -> None:
        self.services = services

    def refusal(
        self,
        request_id: RequestId,
        pipeline: PipelineConfig,
        new: NewRequest,
        *,
        live: int,
        draining: bool,
    ) -> Refusal | None:
        """Return why a request is not begun, or None.

        `live` requests run at this entry now.
        """
        problem = self._standing_problem(pipeline, new, draining=draining)
        if problem is None and self.services.config_.tuning.admission:
            problem = self._forecast_problem(pipeline, new, live=live)
        return Refusal(request_id, problem) if problem is not None else None

    def _standing_problem(
        self, pipeline: PipelineConfig, new: NewRequest, *, draining: bool
    ) -> Problem | None:
        """Return why a request cannot begin, whatever the load."""
        if draining:
            return Problem(
                503, RefusalReason.DRAINING, retry_after_ms=DRAINING_RETRY_AFTER_MS
            )
        if pipeline.paused:
            return Problem(
                503, RefusalReason.PAUSED, retry_after_ms=PAUSED_RETRY_AFTER_MS
            )
        quarantined = self.services.quarantine_.verdict(new.content_digest)
        if not quarantined.refuses:
            return None
        # A retry is the same work: without this it would crash one endpoint after the
        # other.
        return Problem(
            503,
            RefusalReason.QUARANTINED,
            retry_after_ms=quarantined.retry_after_s * 1_000.0,
        )

    def _forecast_problem(
        self, pipeline: PipelineConfig, new: NewRequest, *, live: int
    ) -> Problem | None:
        """Return why a request is unlikely to meet its deadline, or None."""
        forecasts = self._forecasts(pipeline, new.workspace)
        verdict = self.services.admission_.decide(
            forecasts, remaining_ms=new.deadline_ms, live=live
        )
        if verdict.reason is None:
            return None
        text = _forecast_text(
            pipeline, forecasts, verdict.predicted_ms, new.deadline_ms
        )
        return Problem(503, verdict.reason, text, verdict.retry_after_ms)

    def _forecasts(
        self, pipeline: PipelineConfig, workspace: WorkspaceId
    ) -> list[PoolForecast | None]:
        """Return what is expected of each stage, by the best candidate."""
        forecasts: list[PoolForecast | None] = []
        directory = self.services.directory
        priority = self.priority(pipeline, workspace)
        if self.services.ledger_.is_entitled(workspace):
            # It is queued before the backlog of others in its class.
            priority = max(0, priority - 1)
        now = self.services.clock()
        for stage in pipeline.stages:
            need = StageNeed.from_config(stage)
            candidates = directory.candidates(stage.pool, set(), stage.model)
            forecasts.append(forecast_pool(candidates, need, priority, now))
        return forecasts

    def priority(self, pipeline: PipelineConfig, workspace_id: WorkspaceId) -> int:
        """Return the priority of a request, with the offset of its workspace."""
        workspace = self.services.config_.workspaces.get(workspace_id)
        offset = workspace.priority_offset if workspace is not None else 0
        return min(PRIORITY_LAST, max(0, pipeline.priority + offset))


def _forecast_text(
    pipeline: PipelineConfig,
    forecasts: list[PoolForecast | None],
    predicted_ms: float,
    deadline_ms: float,
) -> str:
    stages = ", ".join(
        f"{stage.name} {forecast.wait_ms:.0f}+{forecast.service_ms:.0f}"
        for stage, forecast in zip(pipeline.stages, forecasts, strict=True)
        if forecast is not None
    )
    return (
        f"predicted {predicted_ms:.0f} ms of {deadline_ms:.0f} (wait+service: {stages})"
    )
