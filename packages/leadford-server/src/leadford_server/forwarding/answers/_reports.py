"""Log and count how requests end whose steps do not log it, and what callers do.

Decides nothing. `_request` logs the end of each request that it serves.
"""

from typing import TYPE_CHECKING

from leadford.events import Event
from leadford.forwarding.answers import EndReason, FinalAnswer, RequestOutcome
from leadford.forwarding.memory import MemoryAccount, MemoryRefusal
from leadford_server.logs import EventLog, error_text
from leadford_server.metrics import FORWARDED_TOTAL, INTERRUPTED_TOTAL

if TYPE_CHECKING:
    from leadford_server.forwarding.answers._callers import CallerExchange

MAX_LISTEN_ERROR_CHARS = 200


class CallerReports:
    """Report what happens to requests on the connections of callers."""

    def __init__(self, *, log: EventLog, memory: MemoryAccount) -> None:
        self.log = log
        self.memory = memory

    def faulty(self, exchange: "CallerExchange", error: BaseException) -> None:
        """Report a request that an error of this process ended."""
        self.log.report(
            Event.REQUEST_UNKNOWN,
            request=exchange.request_id,
            error=error_text(error),
        )

    def denied(self, exchange: "CallerExchange", status: int) -> None:
        """Report a request that exceeds the limits of the configuration."""
        self.log.report(
            Event.FORWARD_ENDED,
            request=exchange.request_id,
            status=status,
            outcome=RequestOutcome.DENIED.value,
            detail="beyond the limits of the configuration",
        )

    def refused(
        self, exchange: "CallerExchange", refusal: MemoryRefusal, answer: FinalAnswer
    ) -> None:
        """Report a request refused for lack of memory before it was complete."""
        FORWARDED_TOTAL.labels(kind="none", end=answer.outcome.value).inc()
        self.log.report(
            Event.FORWARD_ENDED,
            request=exchange.request_id,
            status=answer.status,
            outcome=answer.outcome.value,
            reason=EndReason.MEMORY.value,
            detail=f"held {refusal.held_bytes} of {refusal.allowed_bytes} bytes",
        )

    def unserved(
        self, exchange: "CallerExchange", reason: EndReason, answer: FinalAnswer
    ) -> None:
        """Report a request whose task was cancelled before its first step."""
        if reason is EndReason.INTERRUPTED:
            INTERRUPTED_TOTAL.inc()
        FORWARDED_TOTAL.labels(kind="none", end=answer.outcome.value).inc()
        self.log.report(
            Event.FORWARD_ENDED,
            request=exchange.request_id,
            status=answer.status,
            outcome=answer.outcome.value,
            reason=reason.value,
            closed_by=exchange.caller.closed_by_text,
            detail="cancelled before its first step",
        )

    def cut_off(self, exchange: "CallerExchange", unsent_bytes: int) -> None:
        """Report a caller that is cut off because it does not send or read."""
        self.log.report(
            Event.CALLER_CUT_OFF,
            request=exchange.request_id,
            unsent_bytes=unsent_bytes,
            body_bytes=exchange.body_bytes_,
            held_bytes=self.memory.held_bytes_,
            is_refusing=self.memory.is_refusing_,
        )

    def paused(self, pause_s: float, shed_count: int) -> None:
        """Report that new connections are refused, those that wait included.

        `shed_count` counts the connections closed unread since the start.

        Units: pause_s in seconds.
        """
        pause_ms = round(pause_s * 1_000.0)
        self.log.report(Event.CALLERS_PAUSED, pause_ms=pause_ms, shed=shed_count)

    def listen_failed(self, error: OSError) -> None:
        """Report that no connection of a caller could be accepted."""
        self.log.report(Event.LISTEN_FAILED, error=str(error)[:MAX_LISTEN_ERROR_CHARS])
