"""Run the stages of requests: send the pieces that can be made, and take their results.

Owns the jobs of the requests that this entry holds, and what it has admitted and not
yet made. Which pieces can be made follows from the graph of a request; what follows a
piece that was not made is decided in `leadford.forwarding.batching`.
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
from leadford.forwarding.routes import PieceLimits, StageSpec
from leadford_server.forwarding._state import ForwardState
from leadford_server.forwarding.batching._groups import GroupChooser
from leadford_server.forwarding.batching._jobs import (
    LiveEntries,
    PieceResult,
    ResultMaker,
    SchedulerLinks,
    SentPiece,
    StageJob,
)
from leadford_server.forwarding.batching._results import ResultLedger
from leadford_server.forwarding.batching._scheduler import BatchScheduler
from leadford_server.forwarding.batching._sent import SentPieces
from leadford_server.forwarding.batching._tasks import TaskMaker

# Characters of a failure that the log line of a piece made again holds.
REASON_LOGGED = 120
# What the log says of stages that are given up because endpoints ended under them.
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
        self.results = ResultLedger(
            entry_id=entry_id,
            release_here=self.scheduler_.release,
        )
        self.backlog_ = AdmittedBacklog()
        self.tasks = TaskMaker(state=state, entry_id=entry_id, results=self.results)
        self.sent = SentPieces(
            state=state,
            entry_id=entry_id,
            scheduler=self.scheduler_,
            groups=self.groups,
            on_lost=self._not_made,
        )
        self.links: SchedulerLinks | None = None

    def connect(self, live_entries: LiveEntries, links: SchedulerLinks) -> None:
        """Use links to other entries from now on."""
        self.groups.live_entries = live_entries
        self.links = links
        self.sent.links = links
        self.results.links = links

    def give_back(self) -> None:
        """Leave waiting pieces to the entries that schedule their groups now."""
        self.scheduler_.give_back(
            lambda group: self.groups.scheduler_of(group) != self.entry_id
        )

    def open(self, job: StageJob) -> None:
        """Count the pieces of a job that begins; those that are late give way."""
        if job.is_late:
            return
        for key in job.graph.pieces_by_key_:
            job.in_backlog_.add(key)
            self.backlog_.add(self._backlog_key(job, key), 1)

    async def complete(self, job: StageJob) -> None:
        """Make what is missing; raises StageFailure."""
        if job.graph.is_done:
            return
        if job.done_.done():
            job.done_ = self.state.loop.create_future()
        self._advance(job)
        await job.done_

    def close(self, job: StageJob) -> None:
        """End a job: drop what waits and release all its results."""
        if job.is_over_:
            return
        job.is_over_ = True
        for key in list(job.in_backlog_):
            self._leave_backlog(job, key)
        self.sent.cancel(job)
        self.release(job)

    def release(self, job: StageJob) -> None:
        """Release every result of a job; they can be made again."""
        self.results.release(job.graph.take_all())

    def restart(self, job: StageJob) -> None:
        """Forget the results that the request itself reads: one of them is gone."""
        self.results.release(job.graph.drop_stage(job.graph.sinks_))

    def bytes_by_hall(self, job: StageJob) -> dict[HallId, int]:
        """Return where the results lie that the request itself reads."""
        return self.results.bytes_by_hall(job.graph.final_inputs())

    def _backlog_key(self, job: StageJob, key: PieceKey) -> BacklogKey:
        return BacklogKey(job.graph.stages[key.stage].service_id, job.is_urgent)

    def _leave_backlog(self, job: StageJob, key: PieceKey) -> None:
        """Count a piece as made, or as wanted no more."""
        if key not in job.in_backlog_:
            return
        job.in_backlog_.discard(key)
        self.backlog_.add(self._backlog_key(job, key), -1)

    def _advance(self, job: StageJob) -> None:
        """Send the pieces that are due."""
        if job.is_over_ or job.done_.done():
            return
        self.results.release(job.graph.take_unread())
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
        """Send pieces of one stage, those that fit in one call to one group."""
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
            near_bytes_by_hall=self.tasks.near_bytes_by_hall(job, keys[0].stage),
            now=now,
        )
        if group is None:
            self.state.loop.call_later(
                NO_ENDPOINT_WAIT_S, self._send_later, job, stage, limits, keys
            )
            return
        scheduler_id = self.groups.scheduler_of(group)
        for key in keys:
            correlation_id = self.sent.new_correlation_id()
            task = self.tasks.make(
                job, key, correlation_id=correlation_id, excluded=excluded, now=now
            )
            self.sent.hand_over(
                SentPiece(task, job, group, scheduler_id, 0.0), limits, now
            )

    def _send_later(
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
        """Take an answer of the scheduler here, for this entry or for another."""
        if task.origin != self.entry_id:
            self.links.reply(task, answer)
            return
        self.on_answer(self.entry_id, task.correlation_id, answer)

    def _on_inputs_read(self, tasks: list[PieceTask]) -> None:
        """Tell the entries of pieces that these have fetched their inputs."""
        ids_by_origin: dict[EntryId, list[int]] = {}
        for task in tasks:
            ids_by_origin.setdefault(task.origin, []).append(task.correlation_id)
        for origin, correlation_ids in ids_by_origin.items():
            if origin == self.entry_id:
                self.on_working(self.entry_id, correlation_ids)
            else:
                self.links.send_inputs_read(origin, correlation_ids)

    def on_working(self, scheduler_id: EntryId, correlation_ids: list[int]) -> None:
        """Release results that all readers have fetched."""
        jobs: dict[int, StageJob] = {}
        for correlation_id in correlation_ids:
            sent = self.sent.awaited(scheduler_id, correlation_id)
            if sent is None or sent.job.is_over_:
                continue
            sent.job.graph.record_working(sent.task.key)
            jobs[id(sent.job)] = sent.job
        for job in jobs.values():
            self.results.release(job.graph.take_unread())

    def on_answer(
        self, scheduler_id: EntryId, correlation_id: int, answer: PieceResult
    ) -> None:
        """Record what became of a piece."""
        sent = self.sent.awaited(scheduler_id, correlation_id)
        if sent is None:
            # Made for nobody: cancelled, overdue, or of an earlier process.
            if answer.handle is not None and answer.endpoint_id is not None:
                self.results.release_at(
                    scheduler_id, answer.endpoint_id, [answer.handle]
                )
            return
        self.sent.settle(sent)
        job = sent.job
        if answer.handle is None:
            self._not_made(sent, answer)
            return
        record = self.state.roster_.record(answer.endpoint_id)
        hall = record.listed.hall if record is not None else self.state.hall
        maker = ResultMaker(
            answer.endpoint_id, hall, scheduler_id, sent.task.result_bytes
        )
        self.results.record(answer.handle, maker)
        if job.is_over_:
            self.results.release([answer.handle])
            return
        self._leave_backlog(job, sent.task.key)
        job.graph.record_done(sent.task.key, answer.handle)
        self._advance(job)

    def _not_made(self, sent: SentPiece, answer: PieceResult) -> None:
        """Follow the rule for a piece that was not made."""
        job = sent.job
        key = sent.task.key
        if job.is_over_ or job.done_.done():
            return
        if answer.failure is PieceFailure.LOST and answer.endpoint_id is not None:
            # The call may have held pieces of others, which get a case as well.
            self.state.quarantine_.record_lost(
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
            self.results.release(job.graph.drop_stage(before))
        if decision.action is RemakeAction.FAIL_TRIES:
            job.fail(f"piece failed {decision.tries} times: {answer.reason}")
            return
        self.sent.believe_lost(sent, answer)
        if answer.endpoint_id is not None and decision.excludes_endpoint:
            job.excluded_by_key_[key] = frozenset({answer.endpoint_id})
        self.state.log.report(
            Event.PIECE_REMADE,
            request=job.request_id,
            stage=key.stage,
            piece=key.piece,
            endpoint=answer.endpoint_id or "",
            keeper=sent.scheduler_id,
            reason=answer.reason[:REASON_LOGGED],
        )
        job.graph.record_failed(key)
        if decision.action is RemakeAction.REMAKE_LATER:
            # The scheduler's listing differs from ours: give both a moment to agree.
            load = GroupLoad.unavailable(self.state.now())
            self.groups.loads_.record_load(sent.group, load)
            self.state.loop.call_later(NO_ENDPOINT_WAIT_S, self._advance, job)
            return
        self._advance(job)
