"""Decide what a caller is told when no endpoint's answer is passed on.

The rule: 503 promises that nothing ran, so it is said only while no attempt may have
run. Once one may have run, the caller gets 502. Once a part of an answer has been
written, nothing true can be said any more, and the connection is broken off.

Called by the request forwarder for each request that ends without an endpoint's answer.
It relies on `retries` for whether another attempt is made, and leaves to the adapter
how the time to come back is written.
"""

from enum import Enum

import msgspec

# Seconds. Told with a refusal that has no better estimate.
RETRY_AFTER_S = 1.0
# Seconds. While this process stops others are ready, so the caller may come back at
# once.
STOPPING_RETRY_AFTER_S = 0.1

STATUS_MALFORMED = 400
STATUS_NO_KEY = 401
STATUS_NO_ROUTE = 404
STATUS_FAILED = 502
STATUS_REFUSED = 503
STATUS_LATE = 504


class RequestOutcome(Enum):
    """Say how a request ended; the values stand in logs and metrics."""

    ANSWERED = "answered"
    REFUSED = "refused"
    DENIED = "denied"
    FAILED = "failed"
    LATE = "late"
    BROKEN_OFF = "broken-off"
    CALLER_GONE = "caller-gone"


class EndReason(Enum):
    """Say why a request ended as it did; the values stand in the log of its end.

    Those of `routes.StartDenial` are among them. HELD_BACK: each endpoint of the
    service asked for less than callers want. FAULT is an error of this process.
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
    MISLEADING_STATUS = "misleading-status"
    OUT_OF_TIME = "out-of-time"
    FAULT = "fault"


class FinalAnswer(msgspec.Struct, frozen=True):
    """Hold the answer that this process gives by itself.

    Units: status is 0 where the connection is broken off; retry_after_s in seconds,
    None where the caller is given no time to come back.
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
    }
)


def final_answer(
    reason: EndReason,
    *,
    may_have_run: bool,
    has_begun: bool,
    retry_after_s: float = RETRY_AFTER_S,
) -> FinalAnswer:
    """Return the answer for a request that ends without one of an endpoint.

    `may_have_run` is true once any attempt may have run; `has_begun` once a part of an
    answer was written to the caller.
    """
    if has_begun:
        return FinalAnswer(RequestOutcome.BROKEN_OFF, 0)
    if reason in _DENIAL_STATUS_BY_REASON:
        return FinalAnswer(RequestOutcome.DENIED, _DENIAL_STATUS_BY_REASON[reason])
    if reason is EndReason.OUT_OF_TIME:
        return FinalAnswer(RequestOutcome.LATE, STATUS_LATE)
    if reason in (EndReason.MISLEADING_STATUS, EndReason.FAULT):
        # After an error of this process it is not known what has run.
        return FinalAnswer(RequestOutcome.FAILED, STATUS_FAILED)
    if reason not in _REFUSALS and may_have_run:
        return FinalAnswer(RequestOutcome.FAILED, STATUS_FAILED)
    return FinalAnswer(RequestOutcome.REFUSED, STATUS_REFUSED, retry_after_s)


def quarantined_text(retry_after_s: float, *, may_have_run: bool) -> str:
    """Return what a caller is told of a request under which endpoints ended.

    Units: seconds.
    """
    has_run = "It may have run." if may_have_run else "It has not run now."
    return (
        "Endpoints ended under this request each time it ran. "
        f"{has_run} Do not send it again within {retry_after_s:.0f} s.\n"
    )


def may_pass_on(status: int, not_run_statuses: frozenset[int]) -> bool:
    """Tell whether an endpoint's status may be passed on to the caller.

    `not_run_statuses` say to a caller that nothing ran. An endpoint that answers one of
    them without saying that it did not run the request promises no such thing.
    """
    return status not in not_run_statuses
