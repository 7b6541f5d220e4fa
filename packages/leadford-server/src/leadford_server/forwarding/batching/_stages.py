"""Run the stages of requests: send the pieces that are ready, and handle the results.

Owns the jobs of the requests that this entry holds, and the backlog of pieces that are
admitted and not yet made. The graph of a request determines which pieces are ready;
`_sending` sends them, and `_remaking` handles those that were not made.
"""

from leadford.common import EntryId, HallId
from leadford.forwarding.batching import (
    AdmittedBacklog,
    BacklogKey,
    PieceKey,
    PieceTask,
)
from leadford.forwarding.routes import ServiceId
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
from leadford_server.forwarding.batching._remaking import PieceRemaker
from leadford_server.forwarding.batching._results import ResultTable
from leadford_server.forwarding.batching._scheduler import BatchScheduler
from leadford_server.forwarding.batching._sending import PieceSender
from leadford_server.forwarding.batching._sent import SentPieces
from leadford_server.forwarding.batching._tasks import TaskMaker


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
        self.sender = PieceSender(
            state=state, groups=self.groups, tasks=self.tasks, sent=self.sent
        )
        self.remaker = PieceRemaker(
            state=state,
            groups=self.groups,
            results=self.results,
            sent=self.sent,
            advance=self._advance,
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
        self.begin(job)
        await job.done_

    def begin(self, job: StageJob) -> None:
        """Begin to make the missing results, unless they are being made."""
        if job.done_.done():
            job.done_ = self.state.loop.create_future()
        self._advance(job)

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
        self.sender.send_ready(job)

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
        """Make a piece that was not made again, or end its job."""
        self.remaker.handle(sent, answer)
