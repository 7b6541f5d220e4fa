"""Record what the attempts of one request show about their endpoints.

Answers and failures go to the record of the endpoint, which may become suspect. A
connection that the endpoint closed while it ran the request is also a case against the
request. `leadford.forwarding.endpoints` and `leadford.quarantine` decide what follows.
"""

from leadford.events import Event
from leadford.forwarding.endpoints import EndpointFailure, EndpointRecord
from leadford.forwarding.memory import was_left_unread
from leadford.forwarding.retries import RetryDecision
from leadford_server.forwarding._progress import RequestProgress
from leadford_server.forwarding._state import ForwardState
from leadford_server.forwarding.endpoints import PROCESS_EXIT_ENDS
from leadford_server.forwarding.retries._attempt import Attempt, BorrowedConnection


class EndpointEvidence:
    """Record what one request shows about endpoints."""

    def __init__(self, *, state: ForwardState, progress: RequestProgress) -> None:
        self.state = state
        self.progress = progress

    def record_answer(self, attempt: Attempt) -> None:
        """Record what a complete answer shows about its endpoint."""
        if attempt.is_error:
            self.record_failure(attempt.record, EndpointFailure.ERROR_STATUS)
            return
        now = self.state.now()
        elapsed_s = self.state.loop_turns_.measured_s(attempt.mark, now)
        elapsed_ms = None if elapsed_s is None else elapsed_s * 1_000.0
        attempt.record.record_success(elapsed_ms)
        match = self.progress.match_
        if match.service.engine is None and elapsed_ms is not None:
            self.state.pace_meter_.record_answer(
                attempt.record, elapsed_ms, match.route.route_id, now
            )
        self.state.quarantine_.record_answered(self.progress.digest_)
        event_at = self.progress.attempt_event_at_
        begun_at = attempt.began_at if event_at is None else event_at
        self.state.prompt_quarantine_.record_answered(
            self.progress.prompt_keys_, begun_at
        )

    def record_failure(self, record: EndpointRecord, failure: EndpointFailure) -> None:
        """Record a failure of an endpoint, and log when it becomes suspect."""
        now = self.state.now()
        was_suspect = record.is_suspect(now)
        record.record_failure(now, failure)
        if record.is_suspect(now) and not was_suspect:
            self.state.log.report(
                Event.ENDPOINT_EJECTED,
                endpoint=record.listed.endpoint_id,
                service=record.listed.service_id,
                failures=record.consecutive_failures_,
                request=self.progress.request.request_id,
            )

    def report_silent(
        self,
        record: EndpointRecord,
        sent_at: float,
        decision: RetryDecision,
        *,
        is_given_up: bool,
    ) -> None:
        """Log that an endpoint is silent beyond a limit, and whether that ends it.

        Units: sent_at in seconds of the monotonic clock.
        """
        progress = self.progress
        now = self.state.now()
        ran_ms = round((now - sent_at) * 1_000.0)
        self.state.log.report(
            Event.ATTEMPT_SILENT,
            request=progress.request.request_id,
            endpoint=record.listed.endpoint_id,
            service=record.listed.service_id,
            attempt=len(progress.tried_endpoint_ids_),
            ran_ms=ran_ms,
            answering_ms=progress.answering_ms(now),
            is_given_up=is_given_up,
            retry=decision.reason.value,
        )

    def record_alive(self, record: EndpointRecord, sent_at: float) -> None:
        """Record that an endpoint answered a request that was sent at `sent_at`."""
        self.state.quarantine_.record_alive(record.listed.endpoint_id, sent_at)

    def record_broken(self, attempt: Attempt) -> None:
        """Record that the connection broke within an answer.

        Call it before the connection is released. Does nothing if the answer only timed
        out.
        """
        if not attempt.answer.reader.is_broken_:
            return
        self.record_connection_lost(
            attempt.borrowed,
            has_head=True,
            unread_s=attempt.answer.reader.unread_s,
        )

    def record_connection_lost(
        self, lost: BorrowedConnection, *, has_head: bool, unread_s: float = 0.0
    ) -> None:
        """Record and log that the connection of an attempt ended before its answer did.

        An endpoint that closed the connection while this entry left the answer unread,
        because the caller is slow, is not taken to have crashed.

        The log line is the only record of which requests ran at an endpoint that
        crashed, and of how far each had progressed.
        """
        progress = self.progress
        listed = lost.record.listed
        now = self.state.now()
        has_events = progress.attempt_event_at_ is not None
        end = lost.connection.end
        self.state.log.report(
            Event.ATTEMPT_LOST,
            request=progress.request.request_id,
            digest=progress.digest_,
            endpoint=listed.endpoint_id,
            service=listed.service_id,
            end=end.value,
            has_head=has_head,
            has_events=has_events,
            prompt=progress.prompt_text,
            ran_ms=round((now - lost.began_at) * 1_000.0),
            answering_ms=progress.answering_ms(now),
            unread_ms=round(unread_s * 1_000.0),
        )
        if end in PROCESS_EXIT_ENDS and not was_left_unread(unread_s):
            self.state.quarantine_.record_connection_lost(
                progress.digest_, listed.endpoint_id, is_under_way=has_events
            )
            self.state.prompt_quarantine_.record_connection_lost(
                progress.prompt_keys_,
                listed.endpoint_id,
                answering_s=max(0, progress.answering_ms(now)) / 1_000.0,
            )
