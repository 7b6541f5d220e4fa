"""Send the pieces of requests that are ready to the schedulers of their groups.

`_groups` chooses the group, `_tasks` describes the piece, and `_sent` tracks it.
"""

from leadford.forwarding.batching import NO_ENDPOINT_WAIT_S, PieceFailure, PieceKey
from leadford.forwarding.routes import PieceLimits, StageSpec
from leadford_server.forwarding._state import ForwardState
from leadford_server.forwarding.batching._groups import GroupChooser
from leadford_server.forwarding.batching._jobs import SentPiece, StageJob
from leadford_server.forwarding.batching._sent import SentPieces
from leadford_server.forwarding.batching._tasks import TaskMaker


class PieceSender:
    """Send pieces to groups; wait while no endpoint can make them."""

    def __init__(
        self,
        *,
        state: ForwardState,
        groups: GroupChooser,
        tasks: TaskMaker,
        sent: SentPieces,
    ) -> None:
        self.state = state
        self.groups = groups
        self.tasks = tasks
        self.sent = sent

    def send_ready(self, job: StageJob) -> None:
        """Send the pieces of a job that are ready; stop if this ends the job."""
        keys_by_stage: dict[int, list[PieceKey]] = {}
        for key in job.graph.ready():
            job.graph.record_queued(key)
            keys_by_stage.setdefault(key.stage, []).append(key)
        for stage, keys in keys_by_stage.items():
            self._send_stage(job, stage, keys)
            if job.done_.done():
                return

    def _send_stage(self, job: StageJob, number: int, keys: list[PieceKey]) -> None:
        """Send pieces of one stage; those that fit in one call go to one group."""
        stage = job.graph.stages[number]
        service = self.state.service(stage.service_id)
        if service is None or service.pieces is None:
            job.fail(f"{stage.service_id} takes no pieces")
            return
        batch = service.pieces.batch
        for start in range(0, len(keys), batch):
            self._send(job, stage, service.pieces, keys[start : start + batch])

    def _send(
        self,
        job: StageJob,
        stage: StageSpec,
        limits: PieceLimits,
        keys: list[PieceKey],
    ) -> None:
        now = self.state.now()
        excluded = self.tasks.excluded(job, stage, keys)
        group = self.groups.choose(
            stage,
            len(keys),
            limits,
            excluded=excluded,
            local_bytes_by_hall=self.tasks.local_bytes_by_hall(job, keys[0].stage),
            now=now,
        )
        if group is None:
            self.state.loop.call_later(
                NO_ENDPOINT_WAIT_S, self._retry_send, job, stage, limits, keys
            )
            return
        scheduler_id = self.groups.scheduler_of(group)
        for key in keys:
            correlation_id = self.sent.new_correlation_id()
            task = self.tasks.make(
                job, key, correlation_id=correlation_id, excluded=excluded, now=now
            )
            self.sent.submit_to_scheduler(
                SentPiece(
                    task, job, group, scheduler_id, self.state.loop_turns_.mark(now)
                ),
                limits,
                now,
            )

    def _retry_send(
        self,
        job: StageJob,
        stage: StageSpec,
        limits: PieceLimits,
        keys: list[PieceKey],
    ) -> None:
        """Send pieces that waited, unless their inputs were dropped meanwhile."""
        if job.is_over_ or job.done_.done():
            return
        if self.state.now() >= job.deadline:
            job.fail(PieceFailure.LATE.value)
            return
        if None in job.graph.inputs(keys[0].stage):
            # They are ready again once their inputs have been made again.
            for key in keys:
                job.graph.record_failed(key)
            return
        self._send(job, stage, limits, keys)
