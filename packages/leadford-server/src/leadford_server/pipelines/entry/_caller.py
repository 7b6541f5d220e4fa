"""Answer callers over HTTP, as a document or as a stream of events.

What the handlers of `_http` share: the workspace of an API key, refusals, and writing
an answer while it grows. A caller that goes cancels a request that nobody else reads, a
moment later; one with a key runs on.
"""

import asyncio
import hashlib
import json

import msgspec
from tornado import web
from tornado.iostream import StreamClosedError

from leadford.common import Outcome, RefusalReason, WorkspaceId
from leadford_server.pipelines.entry._answers import (
    AnswerReader,
    Problem,
    problem_document,
)
from leadford_server.pipelines.entry._requests import RequestTable
from leadford_server.pipelines.entry._run import RequestRun
from leadford_server.pipelines.entry._services import EntryServices

# Time in which a disconnected caller may resume a stream before it is cancelled.
RESUME_GRACE_S = 2.0


class CallerHandler(web.RequestHandler):
    """Provide what all handlers of callers need."""

    def initialize(self, services: EntryServices, table: RequestTable) -> None:
        """Store what the handler works on."""
        self.services = services
        self.table = table
        self.reader_ = AnswerReader()

    def set_default_headers(self) -> None:
        """Remove the header that names the server."""
        self.clear_header("Server")

    def prepare(self) -> None:
        """Ask the caller for another connection once a planned stop is announced."""
        if self.table.is_leaving_:
            self.set_header("Connection", "close")

    def on_connection_close(self) -> None:
        """Record that the caller has disconnected."""
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
        """Cancel a run without readers; the caller of a stream gets time to resume."""
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
        """Write events until the end or until the caller disconnects."""
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
        # The outcome is unknown until the last event reports it.
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
