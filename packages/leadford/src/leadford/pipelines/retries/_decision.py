"""Decide what follows a failed attempt of a stage.

Asked by the entry of the own interface. An attempt that may have begun is repeated only
where its stage may be; a first refusal moves it for free, other retries spend a budget
and wait with backoff. Attempts of forwarded requests follow another rule
(`leadford.forwarding.retries`): no backoff, a budget over a window that the fleet
shares, and inputs that may have to be made again.
"""

from enum import Enum

import msgspec

from leadford.common import EndpointId, RefusalReason
from leadford.pipelines.retries._backoff import Backoff
from leadford.pipelines.retries._budget import RetryBudget

# Attempts of a stage in all.
ATTEMPTS_MAX = 4


class FailureKind(Enum):
    """Say how much of an attempt may have happened."""

    NOT_SENT = "not-sent"
    REFUSED = "refused"
    FAILED = "failed"
    LOST = "lost"
    MOVED = "moved"


class AttemptFailure(msgspec.Struct, frozen=True):
    """Describe a failed attempt.

    Units: retry_after_ms is what the refusing side asked for.
    """

    kind: FailureKind
    reason: RefusalReason
    endpoint_id: EndpointId
    retry_after_ms: float = 0.0
    detail: str = ""

    @property
    def may_have_begun(self) -> bool:
        """Tell whether the endpoint may have seen the attempt."""
        return self.kind not in (FailureKind.NOT_SENT, FailureKind.REFUSED)


class RetryDecision(msgspec.Struct, frozen=True):
    """Say whether to try again, after which wait, or why not."""

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
        """Return the decision; `others` counts candidates not tried yet."""
        if failure.may_have_begun and not repeatable:
            return RetryDecision(False, reason=failure.reason)
        if attempt >= self.attempts_max or others == 0:
            return RetryDecision(False, reason=failure.reason)
        # A refusal proves that nothing ran, so another endpoint is asked at once.
        unhurried = failure.kind in (FailureKind.FAILED, FailureKind.LOST)
        wait_ms = 0.0 if not unhurried else self.backoff.wait_ms(attempt)
        if wait_ms + needed_ms > remaining_ms:
            return RetryDecision(False, reason=RefusalReason.DEADLINE)
        # A first refusal only moves the attempt; a slow one was paid for when moved.
        free = failure.kind is FailureKind.REFUSED and attempt == 1
        free = free or failure.kind is FailureKind.MOVED
        if not free and not self.budget.try_spend():
            return RetryDecision(False, reason=RefusalReason.RETRY_BUDGET)
        return RetryDecision(True, wait_ms)
