"""Serve callers over HTTP.

Checks what a caller sends, begins or finds the request (`_requests`) and writes its
answer as a document or as a stream of events. A caller that goes cancels a request that
nobody else reads, a moment later. docs/operators/running.md
and docs/operators/failures.md say what callers may rely on.
"""

import asyncio
import hashlib
import json
from collections.abc import Callable

import msgspec
from returns.result import Failure
from tornado import web
from tornado.iostream import StreamClosedError

from leadford.common import (
    Outcome,
    PipelineId,
    RefusalReason,
    RequestId,
    WorkspaceId,
)
from leadford_server.pipelines.entry._admitting import NewRequest
from leadford_server.pipelines.entry._answers import (
    AnswerReader,
    Problem,
    problem_document,
)
from leadford_server.pipelines.entry._body import read_body
from leadford_server.pipelines.entry._locator import Locator, parse_locator
from leadford_server.pipelines.entry._requests import (
    RequestTable,
)
from leadford_server.pipelines.entry._run import RequestRun
from leadford_server.pipelines.entry._services import EntryServices

# Bytes of a body and characters of a key that are accepted; not measured.
BODY_BYTES_MAX = 1024 * 1024
KEY_CHARS_MAX = 256
# Milliseconds that a caller may ask for at most; not measured.
DEADLINE_MAX_MS = 600_000.0
# Seconds in which a caller that went may read on before its request is cancelled;
# commit 7457c0a, not measured.
RESUME_GRACE_S = 2.0


class CallerHandler(web.RequestHandler):
    """Share what serving callers needs."""

    def initialize(self, services: EntryServices, table: RequestTable) -> None:
        """Store what the handler works on."""
        self.services = services
        self.table = table
        self.reader_ = AnswerReader()

    def set_default_headers(self) -> None:
        """Leave out the server's name."""
        self.clear_header("Server")

    def prepare(self) -> None:
        """Count a request that is to be answered before a planned stop ends."""
        self.table.answering_ += 1
        if self.table.is_leaving_:
            self.set_header("Connection", "close")

    def on_finish(self) -> None:
        """Count that the answer was given to the connection."""
        self.table.answering_ -= 1

    def on_connection_close(self) -> None:
        """Note that the caller is gone."""
        self.reader_.leave()

    def workspace(self) -> WorkspaceId | None:
        """Return the workspace of the API key, or answer 401."""
        scheme, _, key = self.request.headers.get("Authorization", "").partition(" ")
        digest = hashlib.sha256(key.strip().encode()).hexdigest()
        found = self.services.workspace_by_key_hash_.get(digest)
        if scheme.lower() != "bearer" or found is None:
            self.set_header("WWW-Authenticate", "Bearer")
            self.refuse(Problem(401, RefusalReason.BAD_REQUEST, "unknown API key"))
            return None
        return found

    def refuse(
        self,
        problem: Problem,
        outcome: Outcome = Outcome.NOT_RUN,
        request_id: str = "",
    ) -> None:
        """Answer with a problem document."""
        self.set_status(problem.status, "Refused")
        self.set_header("Content-Type", "application/problem+json")
        self.set_header("Leadford-Outcome", outcome.value)
        if request_id:
            self.set_header("Leadford-Request-Id", request_id)
        if problem.retry_after_ms > 0:
            seconds = max(1, round(problem.retry_after_ms / 1000.0))
            self.set_header("Retry-After", str(seconds))
            self.set_header("Leadford-Retry-After-Ms", f"{problem.retry_after_ms:.0f}")
        self.finish(problem_document(problem, outcome, request_id))

    def wants_stream(self) -> bool:
        """Tell whether the caller asked for events."""
        return "text/event-stream" in self.request.headers.get("Accept", "")

    def write_error(self, status_code: int, **kwargs: object) -> None:
        """Answer an unexpected error; what ran is not known then."""
        outcome = Outcome.UNKNOWN if status_code >= 500 else Outcome.NOT_RUN
        self.refuse(
            Problem(status_code, RefusalReason.BAD_REQUEST, self._reason), outcome
        )

    async def answer(self, run: RequestRun, after: int) -> None:
        """Send the answer of a run, as events or whole."""
        run.answer_.readers_.add(self.reader_)
        try:
            if self.wants_stream():
                await _EventWriter(self, run, after).write()
            else:
                await self._answer_whole(run)
        finally:
            run.answer_.readers_.discard(self.reader_)
            self._cancel_if_unread(run)

    async def _answer_whole(self, run: RequestRun) -> None:
        buffer = run.answer_
        while buffer.final_ is None:
            if not await self.reader_.wait():
                return
            buffer.record_consumed(len(buffer.texts))
        final = buffer.final_
        if final.problem is not None:
            self.refuse(final.problem, final.outcome, run.request_id)
            return
        self.set_header("Content-Type", "application/json")
        self.set_header("Leadford-Outcome", final.outcome.value)
        self.set_header("Leadford-Request-Id", run.request_id)
        head = {"request_id": run.request_id, "retries": run.retries_}
        if buffer.texts:
            head["text"] = "".join(buffer.texts)
        opening = json.dumps(head).encode()[:-1]
        self.finish(b"".join((opening, b',"result":', final.result, b"}")))

    def _cancel_if_unread(self, run: RequestRun) -> None:
        """Give up a run that nobody reads; a stream's caller gets time to return."""
        if run.answer_.final_ is not None or run.answer_.readers_:
            return
        if run.keyed:
            return
        if not self.wants_stream():
            run.cancel()
            return

        def check() -> None:
            if not run.answer_.readers_ and run.answer_.final_ is None:
                run.cancel()

        asyncio.get_running_loop().call_later(RESUME_GRACE_S, check)


class _EventWriter:
    """Write an answer as server-sent events, each with an id to resume from."""

    def __init__(self, handler: CallerHandler, run: RequestRun, after: int) -> None:
        self.handler = handler
        self.run = run
        self.sent = after
        self.started_ = False

    async def write(self) -> None:
        """Write events until the end or until the caller is gone."""
        buffer = self.run.answer_
        handler = self.handler
        while True:
            texts = buffer.texts[self.sent :]
            if texts:
                self._start()
                self.sent += len(texts)
                buffer.shown_ = max(buffer.shown_, self.sent)
                handler.write(self._event("token", {"text": "".join(texts)}))
            elif buffer.final_ is not None:
                break
            elif not await handler.reader_.wait():
                return
            if texts:
                try:
                    await handler.flush()
                except StreamClosedError:
                    return
                buffer.record_consumed(self.sent)
        self._end()

    def _start(self) -> None:
        if self.started_:
            return
        self.started_ = True
        handler = self.handler
        handler.set_header("Content-Type", "text/event-stream")
        handler.set_header("Cache-Control", "no-store")
        handler.set_header("Leadford-Request-Id", self.run.request_id)
        # Until the last event says otherwise, how it ends is not known.
        handler.set_header("Leadford-Outcome", Outcome.UNKNOWN.value)

    def _event(self, name: str, data: object, last: bool = False) -> bytes:
        position = "end" if last else self.sent
        event_id = f"{self.run.answer_.locator_}:{position}"
        body = msgspec.json.encode(data).decode()
        return f"event: {name}\nid: {event_id}\ndata: {body}\n\n".encode()

    def _end(self) -> None:
        final = self.run.answer_.final_
        handler = self.handler
        if final.problem is not None and not self.started_:
            handler.refuse(final.problem, final.outcome, self.run.request_id)
            return
        self._start()
        if final.problem is not None:
            document = problem_document(
                final.problem, final.outcome, self.run.request_id
            )
            handler.write(self._event("problem", msgspec.Raw(document), last=True))
        else:
            data = {
                "outcome": final.outcome.value,
                "request_id": self.run.request_id,
                "tokens": len(self.run.answer_.texts),
                "result": msgspec.Raw(final.result),
            }
            handler.write(self._event("result", data, last=True))
        handler.finish()


class RequestsHandler(CallerHandler):
    """Begin requests."""

    async def post(self, pipeline_id: str) -> None:
        """Run a pipeline."""
        if self.services.config_ is None:
            self.refuse(
                Problem(503, RefusalReason.NOT_READY, "no configuration", 1000.0)
            )
            return
        workspace = self.workspace()
        if workspace is None:
            return
        new = self._read(PipelineId(pipeline_id), workspace)
        if new is None:
            return
        begun = self.table.begin(new)
        if isinstance(begun, Failure):
            refusal = begun.failure()
            self.refuse(refusal.problem, refusal.outcome, refusal.request_id)
            return
        await self.answer(begun.unwrap(), 0)

    def _read(
        self, pipeline_id: PipelineId, workspace: WorkspaceId
    ) -> NewRequest | None:
        """Return the checked request, or answer what is wrong with it."""
        pipeline = self.services.config_.pipelines.get(pipeline_id)
        if pipeline is None:
            text = f"no pipeline {pipeline_id!r}"
            self.refuse(Problem(404, RefusalReason.NOT_FOUND, text))
            return None
        key = self.request.headers.get("Idempotency-Key", "")
        if len(key) > KEY_CHARS_MAX:
            text = f"Idempotency-Key has over {KEY_CHARS_MAX} characters"
            self.refuse(Problem(400, RefusalReason.BAD_REQUEST, text))
            return None
        deadline_ms = self._deadline_ms(pipeline.deadline_ms)
        if deadline_ms is None:
            text = "Leadford-Deadline-Ms must be a number from 1 to 600000"
            self.refuse(Problem(400, RefusalReason.BAD_REQUEST, text))
            return None
        try:
            body = read_body(self.request.body)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            text = f"the body is not JSON: {error}"
            self.refuse(Problem(400, RefusalReason.BAD_REQUEST, text))
            return None
        return NewRequest(pipeline_id, workspace, body, deadline_ms, key)

    def _deadline_ms(self, default_ms: float) -> float | None:
        text = self.request.headers.get("Leadford-Deadline-Ms")
        if text is None:
            return default_ms
        try:
            value = float(text)
        except ValueError:
            return None
        return value if 1.0 <= value <= DEADLINE_MAX_MS else None


class RequestHandler(CallerHandler):
    """Read on, read again or cancel a request."""

    async def get(self, request_id: str) -> None:
        """Answer from where the caller says it stopped."""
        workspace = self.workspace()
        if workspace is None:
            return
        locator = self._locator()
        run = await self.table.resume(RequestId(request_id), workspace, locator)
        if run is None:
            text = "no entry and no agent holds this request"
            self.refuse(
                Problem(404, RefusalReason.NOT_FOUND, text),
                Outcome.UNKNOWN,
                request_id,
            )
            return
        after = locator.sequence if locator is not None else 0
        await self.answer(run, after)

    def _locator(self) -> Locator | None:
        return parse_locator(self.request.headers.get("Last-Event-ID", ""))

    async def delete(self, request_id: str) -> None:
        """Cancel a request."""
        workspace = self.workspace()
        if workspace is None:
            return
        run = await self.table.resume(RequestId(request_id), workspace, None)
        if run is None:
            problem = Problem(404, RefusalReason.NOT_FOUND)
            self.refuse(problem, Outcome.UNKNOWN, request_id)
            return
        run.cancel()
        self.set_status(202)
        self.set_header("Leadford-Request-Id", request_id)
        self.set_header("Leadford-Outcome", Outcome.UNKNOWN.value)
        self.finish({"request_id": request_id, "cancelling": True})


class HealthHandler(web.RequestHandler):
    """Say that the process lives."""

    def get(self) -> None:
        """Answer at once."""
        self.finish("ok\n")


class ReadyHandler(web.RequestHandler):
    """Tell the balancer whether to send callers here."""

    def initialize(
        self,
        services: EntryServices,
        table: RequestTable,
        version: Callable[[], int],
    ) -> None:
        """Store what the handler works on."""
        self.services = services
        self.table = table
        self.version = version

    def get(self) -> None:
        """Answer 200 with a configuration in force and no stop under way."""
        ready = self.services.config_ is not None and not self.table.is_leaving_
        self.set_status(200 if ready else 503)
        links = self.services.directory.links_by_id_.values()
        self.finish(
            {
                "ready": ready,
                "config": self.version(),
                "endpoints": len(links),
                "connected": sum(link.peer is not None for link in links),
            }
        )
