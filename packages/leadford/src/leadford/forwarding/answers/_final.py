"""Decide the response to a caller that gets no endpoint's answer.

Status 503 promises that the request did not run, so it is sent only if no attempt may
have run. If one may have run, the caller gets 502. If a part of an answer has already
been written, no status can be sent any more, and the connection is aborted.

Called by the request forwarder for each request that ends without an endpoint's answer.
`retries` decides whether another attempt is made, and the adapter formats the retry
delay.
"""

from enum import Enum

import msgspec

# Retry delay of a refusal without a better estimate.
RETRY_AFTER_S = 1.0
# While this process stops, others are ready, so the caller may retry almost at once.
STOPPING_RETRY_AFTER_S = 0.1

STATUS_MALFORMED = 400
STATUS_NO_KEY = 401
STATUS_NO_ROUTE = 404
STATUS_FAILED = 502
STATUS_REFUSED = 503
STATUS_LATE = 504


class RequestOutcome(Enum):
    """Enumerate the outcomes of a request; the values appear in logs and metrics."""

    ANSWERED = "answered"
    REFUSED = "refused"
    DENIED = "denied"
    FAILED = "failed"
    LATE = "late"
    BROKEN_OFF = "broken-off"
    CALLER_GONE = "caller-gone"


class EndReason(Enum):
    """Enumerate why a request ended; the values appear in the log of its end.

    The values of `routes.StartDenial` are included. HELD_BACK: every endpoint of the
    service asked for fewer requests than callers send. MEMORY: too many bytes are held
    for callers and endpoints that read slowly. SOFTWARE_UNKNOWN: nobody knows which
    software version began the stream that the caller resumes. SOFTWARE_GONE: no
    endpoint of that version takes new work. INTERRUPTED: the request was cancelled
    though its caller waited. FAULT: an error of this process.
    """

    ANSWERED = "answered"
    CALLER_GONE = "caller-gone"
    MALFORMED = "malformed"
    NO_ROUTE = "no-route"
    NO_KEY = "no-key"
    NO_CONFIG = "no-config"
    CONFIG_MAY_BE_OLD = "config-may-be-old"
    STOPPING = "stopping"
    NOT_ADMITTED = "not-admitted"
    QUARANTINED = "quarantined"
    STAGES_FAILED = "stages-failed"
    ATTEMPTS_FAILED = "attempts-failed"
    HELD_BACK = "held-back"
    MEMORY = "memory"
    SOFTWARE_UNKNOWN = "software-unknown"
    SOFTWARE_GONE = "software-gone"
    MISLEADING_STATUS = "misleading-status"
    OUT_OF_TIME = "out-of-time"
    INTERRUPTED = "interrupted"
    FAULT = "fault"


class FinalAnswer(msgspec.Struct, frozen=True):
    """Describe a response that this process generates itself.

    Units: status is 0 if the connection is aborted instead; retry_after_s in seconds,
    None if the response states no retry delay.
    """

    outcome: RequestOutcome
    status: int
    retry_after_s: float | None = None


_DENIAL_STATUS_BY_REASON = {
    EndReason.MALFORMED: STATUS_MALFORMED,
    EndReason.NO_KEY: STATUS_NO_KEY,
    EndReason.NO_ROUTE: STATUS_NO_ROUTE,
}
_REFUSALS = frozenset(
    {
        EndReason.NO_CONFIG,
        EndReason.CONFIG_MAY_BE_OLD,
        EndReason.STOPPING,
        EndReason.NOT_ADMITTED,
        EndReason.MEMORY,
        EndReason.SOFTWARE_UNKNOWN,
        EndReason.SOFTWARE_GONE,
    }
)


def final_answer(
    reason: EndReason,
    *,
    may_have_run: bool,
    has_begun: bool,
    retry_after_s: float = RETRY_AFTER_S,
) -> FinalAnswer:
    """Return the response for a request that ends without an endpoint's answer.

    `may_have_run` is true if any attempt may have run, `has_begun` if a part of an
    answer has been written to the caller.
    """
    if has_begun:
        return FinalAnswer(RequestOutcome.BROKEN_OFF, 0)
    if reason in _DENIAL_STATUS_BY_REASON:
        return FinalAnswer(RequestOutcome.DENIED, _DENIAL_STATUS_BY_REASON[reason])
    if reason is EndReason.OUT_OF_TIME:
        return FinalAnswer(RequestOutcome.LATE, STATUS_LATE)
    if reason in (EndReason.MISLEADING_STATUS, EndReason.FAULT):
        # After an error of this process it is unknown whether the request ran.
        return FinalAnswer(RequestOutcome.FAILED, STATUS_FAILED)
    if reason not in _REFUSALS and may_have_run:
        return FinalAnswer(RequestOutcome.FAILED, STATUS_FAILED)
    return FinalAnswer(RequestOutcome.REFUSED, STATUS_REFUSED, retry_after_s)


def quarantined_text(retry_after_s: float, *, may_have_run: bool) -> str:
    """Return the response text for a request under which endpoints ended.

    Units: seconds.
    """
    has_run = "It may have run." if may_have_run else "It has not run now."
    return (
        "Endpoints ended under this request each time it ran. "
        f"{has_run} Do not send it again within {retry_after_s:.0f} s.\n"
    )


def may_pass_on(status: int, not_run_statuses: frozenset[int]) -> bool:
    """Return whether an endpoint's status may be passed on to the caller.

    To a caller, `not_run_statuses` mean that the request did not run. An endpoint that
    sends one of them without stating that it did not run the request does not promise
    this.
    """
    return status not in not_run_statuses
