"""Hold the live requests of an entry: begin, join, resume and cancel them.

A request with a key that runs here is joined, one that another entry runs is taken over
by its note (`_entries`). `RequestRun` drives each request; messages of agents are
handed to the run that they name. `_recent` remembers ended and refused requests.
"""

import asyncio
from collections.abc import Coroutine

from returns.result import Failure, Result, Success

from leadford.common import (
    EndpointId,
    Outcome,
    PipelineId,
    RefusalReason,
    RequestId,
    WorkspaceId,
)
from leadford.events import Event
from leadford.pipelines.claims import request_id_for_key
from leadford.pipelines.config import PipelineConfig
from leadford.pipelines.execution import RequestExecution
from leadford.protocol import Done, Message, Note, NotHeld, Refused, Tokens
from leadford_server.logs import error_text
from leadford_server.metrics import (
    FIRST_TOKEN_SECONDS,
    LIVE_REQUESTS,
    REQUEST_SECONDS,
    REQUESTS_TOTAL,
    STRAYS_TOTAL,
)
from leadford_server.pipelines.entry._admitting import (
    NewRequest,
    Refusal,
    RequestAdmission,
)
from leadford_server.pipelines.entry._answers import Answer, Problem
from leadford_server.pipelines.entry._body import RequestBody
from leadford_server.pipelines.entry._deliveries import PeerLost
from leadford_server.pipelines.entry._locator import Locator, note_from_locator
from leadford_server.pipelines.entry._recent import RecentRequests
from leadford_server.pipelines.entry._run import RequestRun, make_request_id
from leadford_server.pipelines.entry._services import EntryServices
from leadford_server.pipelines.entry._trail import TrailStep

# Interval between look-ups of the note of a key, and maximum time for all of them.
LOOKUP_POLL_INTERVAL_S = 0.05
LOOKUP_MAX_S = 1.0
# Deadline of a request that is taken over, since its note holds none.
RESUMED_DEADLINE_S = 30.0


class RequestTable:
    """Hold runs by request id, and route messages to them."""

    def __init__(self, *, services: EntryServices) -> None:
        self.services = services
        self.admission_ = RequestAdmission(services=services)
        self.runs_by_id_: dict[RequestId, RequestRun] = {}
        self.recent_ = RecentRequests(clock=services.clock)
        self.tasks_: set[asyncio.Task[Answer]] = set()
        # A planned stop is announced first; requests are refused a little later, so
        # that those on their way are served.
        self.is_leaving_ = False
        self.draining_ = False

    def begin(self, new: NewRequest) -> Result[RequestRun, Refusal]:
        """Begin a request, or join the one that its key names.

        Errors: a refusal; nothing of the request has run.
        """
        services = self.services
        pipeline = services.config_.pipelines[new.pipeline_id]
        if new.key:
            request_id = request_id_for_key(new.workspace, new.key)
            known = self.find(request_id)
            if known is not None and not known.ended_not_run:
                return self._join(known, new)
        else:
            request_id = make_request_id(services.secure_random)
        refusal = self.admission_.refusal(
            request_id,
            pipeline,
            new,
            live=len(self.runs_by_id_),
            draining=self.draining_,
        )
        if refusal is not None:
            self._count(new.pipeline_id, Outcome.NOT_RUN, refusal.problem.reason)
            self.recent_.add_refused(refusal)
            services.log.report(
                Event.REQUEST_REFUSED,
                request=request_id,
                pipeline=new.pipeline_id,
                reason=refusal.problem.reason.value,
            )
            return Failure(refusal)
        run = self._make_run(request_id, pipeline, new)
        self._start(run, self._drive(run, new))
        return Success(run)

    def trail(self, request_id: RequestId) -> list[TrailStep]:
        """Return what was decided here for a request, as far as it is remembered."""
        run = self.find(request_id)
        if run is not None:
            return run.trail_.steps_
        return self.recent_.refused_trail(request_id)

    def _join(self, run: RequestRun, new: NewRequest) -> Result[RequestRun, Refusal]:
        same = run.body.digest in ("", new.body.digest)
        if same and run.execution.pipeline_id == new.pipeline_id:
            return Success(run)
        text = "the key was used with another request"
        problem = Problem(422, RefusalReason.BAD_REQUEST, text)
        return Failure(Refusal(run.request_id, problem))

    def _make_run(
        self, request_id: RequestId, pipeline: PipelineConfig, new: NewRequest
    ) -> RequestRun:
        services = self.services
        execution = RequestExecution(
            request_id=request_id,
            pipeline_id=new.pipeline_id,
            pipeline=pipeline,
            workspace=new.workspace,
            deadline_at=services.clock() + new.deadline_ms / 1000.0,
        )
        return RequestRun(
            execution=execution,
            body=new.body,
            priority=self.admission_.priority(pipeline, new.workspace),
            keyed=bool(new.key),
            services=services,
        )

    def _start(self, run: RequestRun, work: Coroutine[object, object, Answer]) -> None:
        self.runs_by_id_[run.request_id] = run
        self.services.ledger_.record_began(run.execution.workspace)
        LIVE_REQUESTS.set(len(self.runs_by_id_))
        task = asyncio.create_task(work)
        self.tasks_.add(task)
        # A task that is cancelled before its first step ends here only.
        task.add_done_callback(lambda ended: self._finish(run, ended))

    def _finish(self, run: RequestRun, task: asyncio.Task[Answer]) -> None:
        """Answer the callers of a run, whatever ended its task."""
        self.tasks_.discard(task)
        if task.cancelled():
            run.interrupt("cancelled")
        elif (error := task.exception()) is not None:
            run.interrupt(error_text(error))
        else:
            run.answer_.end(task.result())
        self._end(run)
        run.abandon()

    async def _drive(self, run: RequestRun, new: NewRequest) -> Answer:
        answer = await run.run()
        problem = answer.problem
        claimed = RefusalReason.ALREADY_CLAIMED
        if problem is not None and problem.reason is claimed and not run.claimed_:
            return await self._follow_claim(run, new, problem)
        return answer

    async def _follow_claim(
        self, run: RequestRun, new: NewRequest, problem: Problem
    ) -> Answer:
        """Answer a repeated key from the record of its first run."""
        run.record_begun_elsewhere()
        # The first run may not have told the holders of its note yet.
        tries = int(LOOKUP_MAX_S / LOOKUP_POLL_INTERVAL_S)
        note: Note | None = None
        for _ in range(tries):
            note = await self.services.entries.find_note(run.request_id)
            if note is not None:
                break
            await asyncio.sleep(LOOKUP_POLL_INTERVAL_S)
        if note is None:
            return Answer(Outcome.UNKNOWN, problem=problem)
        if note.body_digest != new.body.digest:
            text = "the key was used with another request"
            return Answer(
                Outcome.NOT_RUN,
                problem=Problem(422, RefusalReason.BAD_REQUEST, text),
            )
        return await run.resume(note)

    def _end(self, run: RequestRun) -> None:
        self.runs_by_id_.pop(run.request_id, None)
        self.services.ledger_.record_ended(run.execution.workspace)
        self.recent_.add_ended(run)
        LIVE_REQUESTS.set(len(self.runs_by_id_))
        final = run.answer_.final_
        pipeline_id = run.execution.pipeline_id
        reason = final.problem.reason if final.problem is not None else None
        self._count(pipeline_id, final.outcome, reason)
        elapsed_s = self.services.clock() - run.started_at_
        REQUEST_SECONDS.labels(pipeline=pipeline_id).observe(elapsed_s)
        if run.attempts_.first_token_at_ is not None:
            first_s = run.attempts_.first_token_at_ - run.started_at_
            FIRST_TOKEN_SECONDS.labels(pipeline=pipeline_id).observe(first_s)

    def _count(
        self, pipeline_id: PipelineId, outcome: Outcome, reason: RefusalReason | None
    ) -> None:
        REQUESTS_TOTAL.labels(
            pipeline=pipeline_id,
            outcome=outcome.value,
            reason=reason.value if reason is not None else "",
        ).inc()

    def find(self, request_id: RequestId) -> RequestRun | None:
        """Return a run that is live or ended a short while ago."""
        return self.runs_by_id_.get(request_id) or self.recent_.find_ended(request_id)

    async def resume(
        self, request_id: RequestId, workspace: WorkspaceId, locator: Locator | None
    ) -> RequestRun | None:
        """Return a run that resumes a request begun here or elsewhere."""
        known = self.find(request_id)
        if known is not None:
            return known if known.execution.workspace == workspace else None
        note = await self.services.entries.find_note(request_id)
        known = self.find(request_id)
        if known is not None:
            return known if known.execution.workspace == workspace else None
        if note is None and locator is not None:
            note = note_from_locator(
                self.services.config_, request_id, workspace, locator
            )
        if note is None or note.workspace != workspace:
            return None
        pipeline = self.services.config_.pipelines.get(note.pipeline)
        if pipeline is None:
            return None
        new = NewRequest(
            PipelineId(note.pipeline),
            workspace,
            RequestBody(b"null", ""),
            RESUMED_DEADLINE_S * 1000.0,
        )
        run = self._make_run(request_id, pipeline, new)
        run.record_begun_elsewhere()
        self._start(run, run.resume(note))
        return run

    def peer_message(self, message: Message) -> bool:
        """Hand a message to its request; return whether it was one for a request."""
        if isinstance(message, Tokens):
            for part in message.parts:
                run = self.runs_by_id_.get(RequestId(part.request_id))
                if run is None:
                    STRAYS_TOTAL.labels(kind="no-request").inc()
                    continue
                run.deliver(Tokens([part]))
            return True
        if isinstance(message, Done | Refused | NotHeld):
            run = self.runs_by_id_.get(RequestId(message.request_id))
            if run is None:
                STRAYS_TOTAL.labels(kind="no-request").inc()
                return True
            run.deliver(message)
            return True
        return False

    def peer_lost(self, endpoint_id: EndpointId) -> None:
        """Tell the requests with an attempt at an endpoint that its agent is gone."""
        lost = PeerLost(endpoint_id)
        for run in self.runs_by_id_.values():
            for attempt in run.execution.live_by_number_.values():
                if attempt.endpoint_id == endpoint_id:
                    run.deliver(lost)
                    break
