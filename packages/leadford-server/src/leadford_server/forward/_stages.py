"""Run the pieces of many requests in shared batches."""

import asyncio

import msgspec
from returns.result import Failure

from leadford.common import EndpointId, RequestId
from leadford.endpoints import EndpointRecord
from leadford.events import Event
from leadford.forwarding import PieceLimits, Service, ServiceId, StageSpec
from leadford.pieces import LaneTable, PieceGraph, PieceKey, PieceQueue, PieceTask
from leadford.pieces._graph import ResultHandle
from leadford.pieces._lanes import PAUSE_FULL_S, PAUSE_ROOM_S
from leadford_server.forward._connection import ExchangeBroken
from leadford_server.forward._contract import PieceOutcome
from leadford_server.forward._state import ForwardState
from leadford_server.metrics import PIECE_CALLS_TOTAL, PIECES_TOTAL

PIECE_TRIES_MAX = 5
CALL_PATIENCE = 3.0
CALL_SLACK_S = 0.4
FREE_DELAY_S = 0.02
FREE_TIMEOUT_S = 1.0
LOOK_S = 0.06


class StageFailure(Exception):
    """Tell that the stages of a request cannot be completed."""

    def __init__(self, detail: str) -> None:
        super().__init__(detail)
        self.detail = detail


class StageJob:
    """Hold the stages of one request while they run."""

    def __init__(
        self,
        *,
        request_id: RequestId,
        graph: PieceGraph,
        private_key: str,
        priority: int,
        deadline: float,
        done: asyncio.Future[None],
    ) -> None:
        self.request_id = request_id
        self.graph = graph
        self.private_key = private_key
        self.priority = priority
        self.deadline = deadline
        self.done_ = done
        self.is_over_ = False
        self.tries_by_key_: dict[PieceKey, int] = {}
        self.excluded_by_key_: dict[PieceKey, frozenset[EndpointId]] = {}

    def fail(self, detail: str) -> None:
        """End the job without its results."""
        if not self.done_.done():
            self.done_.set_exception(StageFailure(detail))


class _Call(msgspec.Struct, eq=False):
    """Hold one call that is under way."""

    record: EndpointRecord
    tasks: list[PieceTask]
    limits: PieceLimits
    began_at: float


class StageRunner:
    """Queue pieces by service, fill calls, and give results up once they are read."""

    def __init__(self, *, state: ForwardState) -> None:
        self.state = state
        self.lanes_ = LaneTable(hall=state.hall)
        self.queues_by_service_: dict[ServiceId, PieceQueue] = {}
        self.jobs_by_id_: dict[RequestId, StageJob] = {}
        self.maker_by_handle_: dict[ResultHandle, EndpointRecord] = {}
        self.unread_by_id_: dict[EndpointId, list[ResultHandle]] = {}
        self.tasks_: set[asyncio.Task[None]] = set()
        self.pump_due_: set[ServiceId] = set()
        self.look_due_: set[ServiceId] = set()

    def open(
        self,
        *,
        request_id: RequestId,
        graph: PieceGraph,
        private_key: str,
        priority: int,
        deadline: float,
    ) -> StageJob:
        """Return a job for the stages of a request."""
        job = StageJob(
            request_id=request_id,
            graph=graph,
            private_key=private_key,
            priority=priority,
            deadline=deadline,
            done=self.state.loop.create_future(),
        )
        self.jobs_by_id_[request_id] = job
        return job

    async def complete(self, job: StageJob) -> tuple[ResultHandle, ...]:
        """Make what is missing; raises StageFailure."""
        if not job.graph.is_done:
            if job.done_.done():
                job.done_ = self.state.loop.create_future()
            self._advance(job)
            await job.done_
        return job.graph.final_inputs()

    def close(self, job: StageJob) -> None:
        """End a job: drop what waits and give all its results up."""
        if job.is_over_:
            return
        job.is_over_ = True
        self.jobs_by_id_.pop(job.request_id, None)
        for queue in self.queues_by_service_.values():
            queue.discard(lambda task: task.request_id != job.request_id)
        self.release(job)

    def release(self, job: StageJob) -> None:
        """Give up every result of a job; they can be made again."""
        self._give_up(job.graph.take_all())

    def restart(self, job: StageJob) -> None:
        """Forget the results that the request itself reads: one of them is gone."""
        self._give_up(job.graph.drop_stage(job.graph.sinks_))

    def waiting(self, service_id: ServiceId) -> int:
        """Return how many pieces of a service wait here."""
        queue = self.queues_by_service_.get(service_id)
        return len(queue) if queue is not None else 0

    def wake(self) -> None:
        """Look again whether calls can leave."""
        for service_id in list(self.queues_by_service_):
            self._pump(service_id)

    def _advance(self, job: StageJob) -> None:
        """Queue the pieces that can be made now."""
        if job.is_over_ or job.done_.done():
            return
        self._give_up(job.graph.take_unread())
        if job.graph.is_done:
            job.done_.set_result(None)
            return
        now = self.state.now()
        for key in job.graph.ready():
            stage = job.graph.stages[key.stage]
            job.graph.note_queued(key)
            self._queue(stage.service_id).push(self._task(job, key, stage, now))
            self._pump_soon(stage.service_id)

    def _task(
        self, job: StageJob, key: PieceKey, stage: StageSpec, now: float
    ) -> PieceTask:
        return PieceTask(
            request_id=job.request_id,
            key=key,
            private_key="" if stage.after else job.private_key,
            inputs=job.graph.inputs(key.stage),
            result_bytes=stage.result_bytes,
            priority=job.priority,
            deadline=job.deadline,
            queued_at=now,
            excluded=job.excluded_by_key_.get(key, frozenset()),
        )

    def _queue(self, service_id: ServiceId) -> PieceQueue:
        return self.queues_by_service_.setdefault(service_id, PieceQueue())

    def _pump_soon(self, service_id: ServiceId) -> None:
        """Fill calls after everything of this moment has been queued."""
        if service_id in self.pump_due_:
            return
        self.pump_due_.add(service_id)
        self.state.loop.call_soon(self._pump, service_id)

    def _pump(self, service_id: ServiceId) -> None:
        self.pump_due_.discard(service_id)
        queue = self._queue(service_id)
        service = self._service(service_id)
        while len(queue) > 0:
            if service is None or service.pieces is None:
                self._fail_all(queue, f"{service_id} takes no pieces")
                return
            now = self.state.now()
            for task in queue.discard(lambda task: task.deadline > now):
                self._fail_task(task, "no time left")
            if not self._send_next(service, queue, now):
                return

    def _service(self, service_id: ServiceId) -> Service | None:
        table = self.state.table_
        return table.config.services_by_id.get(service_id) if table else None

    def _send_next(self, service: Service, queue: PieceQueue, now: float) -> bool:
        """Send one call if an endpoint takes it; return whether to go on."""
        records = self.state.roster_.usable(service.service_id)
        limits = service.pieces
        free = self.lanes_.ranked(records, limits, waiting=len(queue), now=now)
        for record in free or self._others(records, limits, queue, now):
            lane = self.lanes_.lane(record.listed.endpoint_id, limits)
            tasks = queue.take(
                batch=limits.batch,
                room_bytes=lane.room_bytes(now),
                endpoint_id=record.listed.endpoint_id,
            )
            if tasks:
                self._begin(service, record, tasks, now)
                return True
            # No room there, or every piece has failed there: look again soon.
            lane.pause(PAUSE_ROOM_S, now)
        self._look_again(service.service_id)
        return False

    def _others(
        self,
        records: list[EndpointRecord],
        limits: PieceLimits,
        queue: PieceQueue,
        now: float,
    ) -> list[EndpointRecord]:
        """Return every free endpoint when some piece may not go to the best ones."""
        if not any(task.excluded for task in queue.tasks_):
            return []
        return [
            record
            for record in records
            if self.lanes_.lane(record.listed.endpoint_id, limits).is_free(now)
        ]

    def _look_again(self, service_id: ServiceId) -> None:
        """Look again later: a pause ends without any other event."""
        if service_id in self.look_due_:
            return
        self.look_due_.add(service_id)
        self.state.loop.call_later(LOOK_S, self._look, service_id)

    def _look(self, service_id: ServiceId) -> None:
        self.look_due_.discard(service_id)
        self._pump(service_id)

    def _begin(
        self,
        service: Service,
        record: EndpointRecord,
        tasks: list[PieceTask],
        now: float,
    ) -> None:
        lane = self.lanes_.lane(record.listed.endpoint_id, service.pieces)
        lane.begin(len(tasks), _bytes(tasks), now)
        record.in_flight_ += 1
        call = _Call(record, tasks, service.pieces, now)
        running = asyncio.ensure_future(self._call(service, call))
        self.tasks_.add(running)
        running.add_done_callback(self.tasks_.discard)

    async def _call(self, service: Service, call: _Call) -> None:
        record = call.record
        lane = self.lanes_.lane(record.listed.endpoint_id, call.limits)
        outcomes: list[PieceOutcome] | None = None
        detail = "lost"
        ahead = 1 + record.waiting_elsewhere(call.began_at)
        expected_s = call.limits.duration_ms(len(call.tasks)) / 1_000.0 * ahead
        try:
            async with asyncio.timeout(expected_s * CALL_PATIENCE + CALL_SLACK_S):
                outcomes, detail = await self._exchange(service, call)
        except ExchangeBroken as error:
            detail = str(error)
            record.note_failure(self.state.now(), heavy=True)
        except TimeoutError:
            detail = "silent"
            record.note_failure(self.state.now(), heavy=True)
        finally:
            lane.end(_bytes(call.tasks))
            record.in_flight_ -= 1
        PIECE_CALLS_TOTAL.labels(end=detail.split(":")[0]).inc()
        self._log_call(service, call, detail)
        self._settle(call, outcomes, detail)
        self._pump(service.service_id)

    async def _exchange(
        self, service: Service, call: _Call
    ) -> tuple[list[PieceOutcome] | None, str]:
        """Return the outcomes, or None with the reason."""
        state = self.state
        record = call.record
        connection = await state.pool_.acquire(record, service.connections_max)
        try:
            outbound = state.wire.piece_call(
                call.tasks, record.listed.endpoint_id, state.now()
            )
            body, head = await connection.fetch(outbound)
        finally:
            state.pool_.release(record, connection)
        now = state.now()
        if head.load is not None:
            record.note_load(head.load, now)
        if head.status == 421:
            record.note_replaced()
            return None, "replaced"
        if head.is_not_run:
            self.lanes_.lane(record.listed.endpoint_id, call.limits).pause(
                PAUSE_FULL_S, now
            )
            return None, "full"
        if head.status != 200:
            record.note_failure(now, heavy=False)
            return None, f"status {head.status}"
        read = state.wire.read_pieces(body)
        if isinstance(read, Failure) or len(read.unwrap()) != len(call.tasks):
            record.note_failure(now, heavy=False)
            return None, "spoiled"
        elapsed_ms = (now - call.began_at) * 1_000.0
        expected_ms = call.limits.duration_ms(len(call.tasks))
        record.note_success(elapsed_ms, elapsed_ms / expected_ms)
        return read.unwrap(), "done"

    def _settle(
        self, call: _Call, outcomes: list[PieceOutcome] | None, detail: str
    ) -> None:
        now = self.state.now()
        endpoint_id = call.record.listed.endpoint_id
        if outcomes is None:
            counted = detail != "full"
            for task in call.tasks:
                self._again(task, endpoint_id, detail, counted=counted)
            return
        lane = self.lanes_.lane(endpoint_id, call.limits)
        for task, outcome in zip(call.tasks, outcomes, strict=True):
            PIECES_TOTAL.labels(end=outcome.reason or "done").inc()
            if outcome.handle is None:
                self._not_made(task, endpoint_id, outcome.reason, now)
                continue
            lane.hold(outcome.handle, task.result_bytes, now)
            self.maker_by_handle_[outcome.handle] = call.record
            job = self.jobs_by_id_.get(task.request_id)
            if job is None or job.is_over_:
                self._give_up([outcome.handle])
                continue
            job.graph.note_done(task.key, outcome.handle)
            self._advance(job)

    def _not_made(
        self, task: PieceTask, endpoint_id: EndpointId, reason: str, now: float
    ) -> None:
        if reason == "late":
            self._fail_task(task, "late")
            return
        if reason == "room":
            lane = self.lanes_.lanes_by_id_[endpoint_id]
            lane.pause(PAUSE_ROOM_S, now)
            self._again(task, endpoint_id, reason, counted=False)
            return
        if reason == "gone":
            job = self.jobs_by_id_.get(task.request_id)
            if job is not None and not job.is_over_:
                before = job.graph.stages[task.key.stage].after
                self._give_up(job.graph.drop_stage(before))
        self._again(task, endpoint_id, reason, counted=True)

    def _again(
        self, task: PieceTask, endpoint_id: EndpointId, detail: str, *, counted: bool
    ) -> None:
        """Make a piece again, elsewhere if it failed here."""
        job = self.jobs_by_id_.get(task.request_id)
        if job is None or job.is_over_:
            return
        if counted:
            tries = job.tries_by_key_.get(task.key, 0) + 1
            job.tries_by_key_[task.key] = tries
            if tries >= PIECE_TRIES_MAX:
                job.fail(f"piece failed {tries} times: {detail}")
                return
            # Only the last failure excludes, or a small pool would be used up.
            service_id = job.graph.stages[task.key.stage].service_id
            if len(self.state.roster_.usable(service_id)) > 1:
                job.excluded_by_key_[task.key] = frozenset({endpoint_id})
        job.graph.note_failed(task.key)
        self._advance(job)

    def _fail_task(self, task: PieceTask, detail: str) -> None:
        job = self.jobs_by_id_.get(task.request_id)
        if job is not None and not job.is_over_:
            job.fail(detail)

    def _fail_all(self, queue: PieceQueue, detail: str) -> None:
        for task in queue.discard(lambda task: False):
            self._fail_task(task, detail)

    def _give_up(self, handles: list[ResultHandle]) -> None:
        """Tell the makers of results that nobody reads them any more."""
        for handle in handles:
            record = self.maker_by_handle_.pop(handle, None)
            if record is None:
                continue
            endpoint_id = record.listed.endpoint_id
            lane = self.lanes_.lanes_by_id_.get(endpoint_id)
            if lane is not None:
                lane.free(handle)
            due = self.unread_by_id_.setdefault(endpoint_id, [])
            due.append(handle)
            if len(due) == 1:
                self.state.loop.call_later(FREE_DELAY_S, self._send_free, record)

    def _send_free(self, record: EndpointRecord) -> None:
        handles = self.unread_by_id_.pop(record.listed.endpoint_id, [])
        service = self._service(record.listed.service_id)
        if not handles or service is None:
            return
        freeing = asyncio.ensure_future(self._free(service, record, handles))
        self.tasks_.add(freeing)
        freeing.add_done_callback(self.tasks_.discard)

    async def _free(
        self, service: Service, record: EndpointRecord, handles: list[ResultHandle]
    ) -> None:
        """Free results; what is lost here ends by its retention."""
        state = self.state
        outbound = state.wire.free_call(handles, record.listed.endpoint_id)
        try:
            async with asyncio.timeout(FREE_TIMEOUT_S):
                connection = await state.pool_.acquire(record, service.connections_max)
                try:
                    await connection.fetch(outbound)
                finally:
                    state.pool_.release(record, connection)
        except (ExchangeBroken, TimeoutError):
            return
        self._pump(service.service_id)

    def _log_call(self, service: Service, call: _Call, detail: str) -> None:
        self.state.log.report(
            Event.PIECES_CALLED,
            service=service.service_id,
            endpoint=call.record.listed.endpoint_id,
            pieces=len(call.tasks),
            requests=",".join(sorted({task.request_id for task in call.tasks})),
            waited_ms=round(
                (call.began_at - min(task.queued_at for task in call.tasks)) * 1_000.0
            ),
            took_ms=round((self.state.now() - call.began_at) * 1_000.0),
            waiting=self.waiting(service.service_id),
            outcome=detail,
        )


def _bytes(tasks: list[PieceTask]) -> int:
    return sum(task.result_bytes for task in tasks)
