"""Describe failed requests to their callers: the status and what may be retried."""

from leadford.common import Outcome, RefusalReason
from leadford.pipelines.retries import AttemptFailure
from leadford_server.pipelines.entry._answers import Problem

STATUS_UNAVAILABLE = 503
# The least time after which a caller that nothing ran for may retry.
MIN_RETRY_AFTER_MS = 100.0
# Bounds what an answer tells of the cause.
MAX_DETAIL_CHARACTERS = 200

_STATUS_BY_REASON = {
    RefusalReason.DEADLINE: 504,
    RefusalReason.ENDPOINT_ERROR: 502,
    RefusalReason.ENDPOINT_LOST: 502,
    RefusalReason.ALREADY_CLAIMED: 409,
    RefusalReason.CANCELLED: 499,
    RefusalReason.QUARANTINED: 502,
    RefusalReason.INTERRUPTED: 500,
}
# The status of these depends on whether anything ran: 503 if nothing did.
_REFUSED_BEFORE_RUN = (
    RefusalReason.DEADLINE,
    RefusalReason.QUARANTINED,
    RefusalReason.INTERRUPTED,
)


def problem_of(failure: AttemptFailure, outcome: Outcome) -> Problem:
    """Return what a caller is told of the failure of its request."""
    retry_after_ms = 0.0
    if outcome is Outcome.NOT_RUN:
        retry_after_ms = max(MIN_RETRY_AFTER_MS, failure.retry_after_ms)
    return Problem(
        _status(failure, outcome),
        failure.reason,
        failure.detail[:MAX_DETAIL_CHARACTERS],
        retry_after_ms,
    )


def _status(failure: AttemptFailure, outcome: Outcome) -> int:
    is_not_run = outcome is Outcome.NOT_RUN and not failure.may_have_begun
    if is_not_run and failure.reason in _REFUSED_BEFORE_RUN:
        return STATUS_UNAVAILABLE
    return _STATUS_BY_REASON.get(failure.reason, STATUS_UNAVAILABLE)
