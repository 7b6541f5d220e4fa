"""Hold the live attempts of a request of the own interface, and how each ends.

Owns the link of each attempt. Records what attempts show of their endpoints, what they
cost, and answers that match none of them. What follows is decided by the callers.
"""

from leadford.common import EndpointId, RequestId
from leadford.events import Event
from leadford.pipelines.costs import StageCost
from leadford.pipelines.execution import Attempt, RequestExecution, StrayKind
from leadford.protocol import Ack, Cancel, Done
from leadford_server.metrics import COST_MS_TOTAL, STRAYS_TOTAL
from leadford_server.pipelines.entry._body import RequestBody
from leadford_server.pipelines.entry._endpoint_links import EndpointLink
from leadford_server.pipelines.entry._services import EntryServices
from leadford_server.pipelines.entry._trail import Trail


class LiveAttempts:
    """Hold the live attempts of one request."""

    def __init__(
        self,
        *,
        execution: RequestExecution,
        body: RequestBody,
        priority: int,
        services: EntryServices,
        trail: Trail,
    ) -> None:
        self.execution = execution
        self.body = body
        self.priority = priority
        self.services = services
        self.trail = trail
        self.links_by_number_: dict[int, EndpointLink] = {}
        self.content_digest = body.content_digest(
            execution.pipeline_id, execution.workspace
        )

    @property
    def is_quarantined(self) -> bool:
        """Tell whether too many endpoints have ended under the request."""
        return self.services.quarantine_.verdict(self.content_digest).refuses

    def record_endpoint_ended(self, attempt: Attempt, *, is_under_way: bool) -> None:
        """Record that an endpoint closed its connection under an attempt.

        An endpoint keeps its id when it starts again, so each attempt that is lost
        counts as an end of its own, and no later answer takes it back.
        """
        start = EndpointId(f"{attempt.endpoint_id}/{self.request_id}/{attempt.number}")
        self.services.quarantine_.record_connection_lost(
            self.content_digest, start, is_under_way=is_under_way
        )

    @property
    def request_id(self) -> RequestId:
        """Return the id of the request."""
        return self.execution.request_id

    def settle_link(self, attempt: Attempt) -> EndpointLink:
        """Count an attempt as ended at its endpoint, and return the link to it."""
        link = self.links_by_number_[attempt.number]
        link.view.record_ended(self.execution.stage.expected_tokens)
        return link

    def cancel_all(self) -> None:
        """Cancel attempts whose answer is no longer needed."""
        for attempt in list(self.execution.live_by_number_.values()):
            if attempt.number not in self.links_by_number_:
                # It was not sent.
                self.execution.end_attempt(attempt)
                continue
            self.cancel(attempt)

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt whose answer is no longer needed."""
        link = self.settle_link(attempt)
        if link.peer is not None:
            link.peer.send(Cancel(self.request_id, attempt.stage, attempt.number))
        self.execution.end_attempt(attempt)

    def lose_race(self, attempt: Attempt) -> None:
        """Cancel an attempt that another one has overtaken."""
        now = self.services.clock()
        self.record_unfinished(attempt, now)
        self.services.directory.report_ejections(self.execution.stage.pool)
        self.cancel(attempt)

    def record_abandoned(self, attempt: Attempt) -> None:
        """Report to the ejector that an attempt showed nothing of its endpoint."""
        pool = self.services.directory.pool(self.execution.stage.pool)
        if pool is not None:
            pool.ejector.record_abandoned(attempt.endpoint_id)

    def record_unfinished(self, attempt: Attempt, now: float) -> None:
        """Report to the ejector how slow an abandoned attempt was at least."""
        slowness = self._slowness_at_least(attempt, now)
        if slowness is None:
            self.record_abandoned(attempt)
            return
        pool = self.services.directory.pool(self.execution.stage.pool)
        if pool is not None:
            pool.ejector.record_late(attempt.endpoint_id, slowness, now)

    def _slowness_at_least(self, attempt: Attempt, now: float) -> float | None:
        """Return the least time an attempt takes, as a ratio to its expected time.

        None while it may only have been queued, which shows load and not speed.
        """
        stage = self.execution.stage
        elapsed_ms = (now - attempt.sent_at) * 1000.0
        received = self.execution.sequences_by_number_.get(attempt.number, 0)
        report = self.links_by_number_[attempt.number].view.report_
        waits = report.queued > 0 or report.running >= report.concurrency
        if waits and not received:
            return None
        if not stage.expected_tokens:
            return elapsed_ms / stage.expected_ms
        whole_ms = elapsed_ms / (received + 1) * stage.expected_tokens
        return whole_ms / stage.expected_ms

    def ack(self, attempt: Attempt) -> Ack:
        """Return the message that lets an agent forget a result."""
        return Ack(self.request_id, attempt.stage, attempt.number)

    def account(self, done: Done, use: StageCost) -> None:
        """Account for what an attempt cost."""
        COST_MS_TOTAL.labels(stage=done.stage, use=use.value).inc(done.service_ms)
        self.services.costs_.add(
            stage=done.stage,
            pipeline=self.execution.pipeline_id,
            workspace=self.execution.workspace,
            use=use,
            service_ms=done.service_ms,
        )

    def report_stray(self, kind: StrayKind, stage: str, attempt: int) -> None:
        """Count and log an answer that matches no live attempt."""
        STRAYS_TOTAL.labels(kind=kind.value).inc()
        self.services.log.report(
            Event.ANSWER_STRAY,
            request=self.request_id,
            stage=stage,
            attempt=attempt,
            kind=kind.value,
        )
