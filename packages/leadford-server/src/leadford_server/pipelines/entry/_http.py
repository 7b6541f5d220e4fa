"""Serve callers over HTTP: begin, read on and cancel requests; health and readiness.

Checks what a caller sends and begins or finds the request (`_requests`); `_caller`
writes the answer. docs/operators/running.md and docs/operators/failures.md say what
callers may rely on.
"""

from collections.abc import Callable

from returns.result import Failure
from tornado import web

from leadford.common import (
    Outcome,
    PipelineId,
    RefusalReason,
    RequestId,
    WorkspaceId,
)
from leadford_server.pipelines.entry._admitting import NewRequest
from leadford_server.pipelines.entry._answers import Problem
from leadford_server.pipelines.entry._body import read_body
from leadford_server.pipelines.entry._caller import CallerHandler
from leadford_server.pipelines.entry._locator import Locator, parse_locator
from leadford_server.pipelines.entry._requests import RequestTable
from leadford_server.pipelines.entry._services import EntryServices

# Maximum sizes of a body and of an idempotency key.
BODY_BYTES_MAX = 1024 * 1024
KEY_CHARS_MAX = 256
# Retry delay of callers while no configuration is in force.
NOT_READY_RETRY_AFTER_MS = 1_000.0
# Maximum deadline that a caller may ask for.
DEADLINE_MAX_MS = 600_000.0


class RequestsHandler(CallerHandler):
    """Begin requests."""

    async def post(self, pipeline_id: str) -> None:
        """Run a pipeline."""
        if self.services.config_ is None:
            self.refuse(
                Problem(
                    503,
                    RefusalReason.NOT_READY,
                    "no configuration",
                    NOT_READY_RETRY_AFTER_MS,
                )
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
        body = read_body(self.request.body)
        if isinstance(body, Failure):
            text = f"the body is not JSON: {body.failure()}"
            self.refuse(Problem(400, RefusalReason.BAD_REQUEST, text))
            return None
        return NewRequest(pipeline_id, workspace, body.unwrap(), deadline_ms, key)

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
    """Report that the process is alive."""

    def get(self) -> None:
        """Answer 200."""
        self.finish("ok\n")


class ReadyHandler(web.RequestHandler):
    """Report to load balancers whether to send callers here."""

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
