"""Describe the pieces of a request to the schedulers that make them.

A task says what a piece reads, when it is due, and which halls store its inputs.
`leadford.forwarding.batching` decides how tasks are ordered and placed.
"""

from leadford.common import EndpointId, EntryId, HallId
from leadford.forwarding.batching import PieceKey, PieceTask
from leadford.forwarding.routes import StageSpec
from leadford_server.forwarding._state import ForwardState
from leadford_server.forwarding.batching._jobs import StageJob
from leadford_server.forwarding.batching._results import ResultTable


class TaskMaker:
    """Make the tasks of requests that this entry holds."""

    def __init__(
        self, *, state: ForwardState, entry_id: EntryId, results: ResultTable
    ) -> None:
        self.state = state
        self.entry_id = entry_id
        self.results = results

    def make(
        self,
        job: StageJob,
        key: PieceKey,
        *,
        correlation_id: int,
        excluded: frozenset[EndpointId],
        now: float,
    ) -> PieceTask:
        """Return the task for one piece of a request, which is sent now."""
        stage = job.graph.stages[key.stage]
        due_at = job.due_at - self._downstream_s(job, key.stage)
        return PieceTask(
            correlation_id=correlation_id,
            origin=self.entry_id,
            request_id=job.request_id,
            key=key,
            request_key="" if stage.after else job.request_key,
            inputs=job.graph.inputs(key.stage),
            result_bytes=stage.result_bytes,
            deadline=job.deadline,
            due_at=due_at,
            rank_at=due_at + job.delay_s,
            queued_at=now,
            excluded=excluded,
            local_bytes_by_hall=self.local_bytes_by_hall(job, key.stage),
            is_suspect=self.state.quarantine_.is_suspect(job.digest),
            level=job.levels.contended_level(stage.service_id),
            is_suspect_once=self.state.is_contended(stage.service_id)
            and self.state.quarantine_.is_suspect_once(job.digest),
            is_resumed=job.is_resumed,
        )

    def excluded(
        self, job: StageJob, stage: StageSpec, keys: list[PieceKey]
    ) -> frozenset[EndpointId]:
        """Return the endpoints where pieces failed, or none if no others are usable."""
        excluded = frozenset().union(
            *(job.excluded_by_key_.get(key, frozenset()) for key in keys)
        )
        usable = self.state.usable(stage.service_id)
        others = [r for r in usable if r.listed.endpoint_id not in excluded]
        return excluded if others else frozenset()

    def local_bytes_by_hall(self, job: StageJob, number: int) -> dict[HallId, int]:
        """Return, for each hall, the bytes that need not move if a piece is made there.

        A piece reads every input. A result that the engine reads, or that has no inputs
        itself, is best made in the hall of the engine.
        """
        near = self.results.bytes_by_hall(job.graph.inputs(number))
        if number in job.graph.sinks_ or not near:
            result_bytes = job.graph.stages[number].result_bytes
            near[job.hall] = near.get(job.hall, 0) + result_bytes
        return near

    def _downstream_s(self, job: StageJob, number: int) -> float:
        """Return how long the longest chain of stages after a stage takes."""
        total_s = 0.0
        readers = [
            later
            for later, stage in enumerate(job.graph.stages)
            if number in stage.after and job.graph.counts[later] > 0
        ]
        for later in readers:
            service = self.state.service(job.graph.stages[later].service_id)
            if service is None or service.pieces is None:
                continue
            call_s = service.pieces.full_call_s
            total_s = max(total_s, call_s + self._downstream_s(job, later))
        return total_s
