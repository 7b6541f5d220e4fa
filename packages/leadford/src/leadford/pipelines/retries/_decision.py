"""Decide whether a failed attempt of a stage is retried.

Used by the entry for leadford's own interface. An attempt that may have begun is
retried only if its stage is repeatable. A retry after the first refusal is free; other
retries spend the budget, and those after a failure or a loss wait with backoff.

Attempts of forwarded requests follow another rule (`leadford.forwarding.retries`): no
backoff, a budget over a window that the fleet shares, and inputs that may have to be
computed again.
"""

from enum import Enum

import msgspec

from leadford.common import EndpointId, RefusalReason
from leadford.pipelines.retries._backoff import Backoff
from leadford.pipelines.retries._budget import RetryBudget

# Maximum number of attempts of a stage, the first included.
ATTEMPTS_MAX = 4


class FailureKind(Enum):
    """Tell how an attempt failed, and so whether it may have begun."""

    NOT_SENT = "not-sent"
    REFUSED = "refused"
    FAILED = "failed"
    LOST = "lost"
    NOT_HELD = "not-held"
    MOVED = "moved"


class AttemptFailure(msgspec.Struct, frozen=True):
    """Describe a failed attempt.

    Units: retry_after_ms is the delay that the refusing side requested.
    """

    kind: FailureKind
    reason: RefusalReason
    endpoint_id: EndpointId
    retry_after_ms: float = 0.0
    detail: str = ""

    @property
    def may_have_begun(self) -> bool:
        """Return whether the endpoint may have begun the attempt."""
        return self.kind not in (FailureKind.NOT_SENT, FailureKind.REFUSED)


class RetryDecision(msgspec.Struct, frozen=True):
    """Hold whether to retry, after which delay, or why not."""

    retry: bool
    wait_ms: float = 0.0
    reason: RefusalReason | None = None


class RetryPolicy:
    """Allow a retry that is safe, affordable and in time."""

    def __init__(
        self,
        *,
        budget: RetryBudget,
        backoff: Backoff,
        attempts_max: int = ATTEMPTS_MAX,
    ) -> None:
        self.budget = budget
        self.backoff = backoff
        self.attempts_max = attempts_max

    def decide(
        self,
        failure: AttemptFailure,
        *,
        repeatable: bool,
        attempt: int,
        others: int,
        remaining_ms: float,
        needed_ms: float,
    ) -> RetryDecision:
        """Return the decision; `others` is the number of untried candidates."""
        if failure.may_have_begun and not repeatable:
            return RetryDecision(False, reason=failure.reason)
        if attempt >= self.attempts_max or others == 0:
            return RetryDecision(False, reason=failure.reason)
        # A refusal proves that nothing ran, so another endpoint is tried at once.
        needs_backoff = failure.may_have_begun and failure.kind is not FailureKind.MOVED
        wait_ms = 0.0 if not needs_backoff else self.backoff.wait_ms(attempt)
        if wait_ms + needed_ms > remaining_ms:
            return RetryDecision(False, reason=RefusalReason.DEADLINE)
        # A first refusal only moves the attempt; for MOVED the caller spent the budget.
        is_free = failure.kind is FailureKind.REFUSED and attempt == 1
        is_free = is_free or failure.kind is FailureKind.MOVED
        if not is_free and not self.budget.try_spend():
            return RetryDecision(False, reason=RefusalReason.RETRY_BUDGET)
        return RetryDecision(True, wait_ms)
