"""Run the stages of requests: send the pieces that are ready, and handle the results.

Owns the jobs of the requests that this entry holds, and the backlog of pieces that are
admitted and not yet made. The graph of a request determines which pieces are ready;
`leadford.forwarding.batching` decides what follows a piece that was not made.
"""

from leadford.common import EntryId, HallId
from leadford.events import Event
from leadford.forwarding.batching import (
    NO_ENDPOINT_WAIT_S,
    AdmittedBacklog,
    BacklogKey,
    GroupLoad,
    PieceFailure,
    PieceKey,
    PieceTask,
    RemakeAction,
    decide_remake,
)
from leadford.forwarding.routes import PieceLimits, ServiceId, StageSpec
from leadford_server.forwarding._state import ForwardState
from leadford_server.forwarding.batching._groups import GroupChooser
from leadford_server.forwarding.batching._jobs import (
    LiveEntries,
    PieceResult,
    ResultLocation,
    SchedulerLinks,
    SentPiece,
    StageJob,
)
from leadford_server.forwarding.batching._results import ResultTable
from leadford_server.forwarding.batching._scheduler import BatchScheduler
from leadford_server.forwarding.batching._sent import SentPieces
from leadford_server.forwarding.batching._tasks import TaskMaker

# Bounds the reason in the log line of a piece that is made again.
MAX_REASON_CHARACTERS = 120
# Logged for stages that are given up because endpoints ended while running them.
DETAIL_QUARANTINED = "quarantined"


class StageRunner:
    """Advance the graphs of requests; a piece that is lost is made again."""

    def __init__(self, *, state: ForwardState, entry_id: EntryId) -> None:
        self.state = state
        self.entry_id = entry_id
        self.scheduler_ = BatchScheduler(
            state=state, reply=self._on_result, on_inputs_read=self._on_inputs_read
        )
        self.groups = GroupChooser(
            state=state, entry_id=entry_id, scheduler=self.scheduler_
        )
        self.results = ResultTable(
            entry_id=entry_id,
            release_locally=self.scheduler_.release,
        )
        self.backlog_ = AdmittedBacklog()
        self.tasks = TaskMaker(state=state, entry_id=entry_id, results=self.results)
        self.sent = SentPieces(
            state=state,
            entry_id=entry_id,
            scheduler=self.scheduler_,
            groups=self.groups,
            on_lost=self._on_piece_failed,
        )
        self.links: SchedulerLinks | None = None

    def connect(self, live_entries: LiveEntries, links: SchedulerLinks) -> None:
        """Set the links to other entries."""
        self.groups.live_entries = live_entries
        self.links = links
        self.sent.links = links
        self.results.links = links

    def return_waiting_pieces(self) -> None:
        """Return waiting pieces of groups that other entries schedule now."""
        self.scheduler_.return_waiting_pieces(
            lambda group: self.groups.scheduler_of(group) != self.entry_id
        )

    def open(self, job: StageJob) -> None:
        """Add the pieces of a new job to the backlog.

        A late job is not counted: it gives way to others.
        """
        if job.is_late:
            return
        for key in job.graph.pieces_by_key_:
            job.backlog_keys_.add(key)
            self.backlog_.add(self._backlog_key(job, key), 1)

    async def complete(self, job: StageJob) -> None:
        """Make the missing results; raises StageFailure."""
        if job.graph.is_done:
            return
        if job.done_.done():
            job.done_ = self.state.loop.create_future()
        self._advance(job)
        await job.done_

    def close(self, job: StageJob) -> None:
        """End a job: cancel its waiting pieces and release all its results."""
        if job.is_over_:
            return
        job.is_over_ = True
        for key in list(job.backlog_keys_):
            self._remove_from_backlog(job, key)
        self.sent.cancel(job)
        self.release(job)

    def release(self, job: StageJob) -> None:
        """Release every result of a job; they can be made again."""
        self.results.release(job.graph.take_all())

    def drop_final_inputs(self, job: StageJob) -> None:
        """Drop the results that the request itself reads: one no longer exists."""
        self.results.release(job.graph.drop_results(job.graph.sinks_))

    def bytes_by_hall(self, job: StageJob) -> dict[HallId, int]:
        """Return how many bytes of the inputs of the request are in each hall."""
        return self.results.bytes_by_hall(job.graph.final_inputs())

    def _backlog_key(self, job: StageJob, key: PieceKey) -> BacklogKey:
        service_id = job.graph.stages[key.stage].service_id
        return BacklogKey(service_id, job.levels.level(service_id))

    def _remove_from_backlog(self, job: StageJob, key: PieceKey) -> None:
        """Remove a piece that was made, or is no longer needed, from the backlog."""
        if key not in job.backlog_keys_:
            return
        job.backlog_keys_.discard(key)
        self.backlog_.add(self._backlog_key(job, key), -1)

    def _advance(self, job: StageJob) -> None:
        """Send the pieces that are ready, or end the job if none are left."""
        if job.is_over_ or job.done_.done():
            return
        self.results.release(job.graph.take_fetched())
        if job.graph.is_done:
            job.done_.set_result(None)
            return
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
        if job.is_over_ or job.done_.done():
            return
        if self.state.now() >= job.deadline:
            job.fail(PieceFailure.LATE.value)
            return
        self._send(job, stage, limits, keys)

    def _on_result(self, task: PieceTask, answer: PieceResult) -> None:
        """Handle an answer of the scheduler here, for this entry or for another."""
        if task.origin != self.entry_id:
            self.links.reply(task, answer)
            return
        self.on_answer(self.entry_id, task.correlation_id, answer)

    def _on_inputs_read(self, tasks: list[PieceTask]) -> None:
        """Tell the entries that submitted pieces that their inputs were fetched."""
        ids_by_origin: dict[EntryId, list[int]] = {}
        for task in tasks:
            ids_by_origin.setdefault(task.origin, []).append(task.correlation_id)
        for origin, correlation_ids in ids_by_origin.items():
            if origin == self.entry_id:
                self.record_inputs_read(self.entry_id, correlation_ids)
            else:
                self.links.send_inputs_read(origin, correlation_ids)

    def record_inputs_read(
        self, scheduler_id: EntryId, correlation_ids: list[int]
    ) -> None:
        """Record that inputs were fetched, and release results without readers."""
        jobs: dict[int, StageJob] = {}
        for correlation_id in correlation_ids:
            sent = self.sent.awaited(scheduler_id, correlation_id)
            if sent is None or sent.job.is_over_:
                continue
            sent.job.graph.record_inputs_read(sent.task.key)
            jobs[id(sent.job)] = sent.job
        for job in jobs.values():
            self.results.release(job.graph.take_fetched())

    def on_answer(
        self, scheduler_id: EntryId, correlation_id: int, answer: PieceResult
    ) -> None:
        """Record the outcome of a piece."""
        sent = self.sent.awaited(scheduler_id, correlation_id)
        if sent is None:
            # The piece was cancelled, overdue, or submitted by an earlier process.
            if answer.handle is not None and answer.endpoint_id is not None:
                self.results.release_at(
                    scheduler_id, answer.endpoint_id, [answer.handle]
                )
            return
        self.sent.settle(sent)
        job = sent.job
        if answer.handle is None:
            self._on_piece_failed(sent, answer)
            return
        record = self.state.roster_.record(answer.endpoint_id)
        hall = record.listed.hall if record is not None else self.state.hall
        location = ResultLocation(
            answer.endpoint_id,
            hall,
            scheduler_id,
            sent.task.result_bytes,
            self._reported_until(sent.group.service_id),
        )
        self.results.record(answer.handle, location)
        if job.is_over_:
            self.results.release([answer.handle])
            return
        self._remove_from_backlog(job, sent.task.key)
        job.graph.record_done(sent.task.key, answer.handle)
        self._advance(job)

    def _reported_until(self, service_id: ServiceId) -> float:
        """Return until when a result made now is reported if its scheduler is lost.

        Only contended services need it: there, a scheduler that assumes too much free
        room sends calls that are refused, and delays other requests.
        """
        service = self.state.service(service_id)
        if service is None or service.pieces is None:
            return 0.0
        if not self.state.is_contended(service_id):
            return 0.0
        return self.state.now() + service.pieces.retention_s

    def _on_piece_failed(self, sent: SentPiece, answer: PieceResult) -> None:
        """Apply `decide_remake` to a piece that was not made."""
        job = sent.job
        key = sent.task.key
        if job.is_over_ or job.done_.done():
            return
        if answer.failure is PieceFailure.LOST and answer.endpoint_id is not None:
            # Other requests with pieces in the same call get a case as well.
            self.state.quarantine_.record_connection_lost(
                job.digest, answer.endpoint_id, is_under_way=False
            )
        if self.state.quarantine_.verdict(job.digest).refuses:
            job.fail(DETAIL_QUARANTINED)
            return
        decision = decide_remake(answer.failure, job.tries_by_key_.get(key, 0))
        job.tries_by_key_[key] = decision.tries
        if decision.action is RemakeAction.FAIL_LATE:
            job.fail(PieceFailure.LATE.value)
            return
        if decision.drops_inputs:
            before = job.graph.stages[key.stage].after
            self.results.release(job.graph.drop_results(before))
        if decision.action is RemakeAction.FAIL_TRIES:
            job.fail(f"piece failed {decision.tries} times: {answer.reason}")
            return
        self.sent.record_reported_loss(sent, answer)
        if answer.endpoint_id is not None and decision.excludes_endpoint:
            job.excluded_by_key_[key] = frozenset({answer.endpoint_id})
        self.state.log.report(
            Event.PIECE_REMADE,
            request=job.request_id,
            stage=key.stage,
            piece=key.piece,
            endpoint=answer.endpoint_id or "",
            keeper=sent.scheduler_id,
            reason=answer.reason[:MAX_REASON_CHARACTERS],
        )
        job.graph.record_failed(key)
        if decision.action is RemakeAction.REMAKE_LATER:
            # The scheduler's listing differs from this entry's: wait for both to agree.
            load = GroupLoad.unavailable(self.state.now())
            self.groups.loads_.record_load(sent.group, load)
            self.state.loop.call_later(NO_ENDPOINT_WAIT_S, self._advance, job)
            return
        self._advance(job)
