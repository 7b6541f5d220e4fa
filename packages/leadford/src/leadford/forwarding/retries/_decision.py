"""Decide whether a request gets another attempt after one that failed.

Called by the request forwarder after each failed attempt, of plain requests and streams
alike. The decision uses what is known of the failed attempt, the limits of the route,
the remaining time, the endpoints not tried yet, and the retry budget of the service,
from which each allowed attempt is spent. The answer to the caller when there is no
other attempt is left to `answers`, and the time limit of the next one to `_limits`.

An attempt whose endpoint is only silent has not failed: the endpoint may go on. It is
given up only once another attempt is allowed, which is reserved by the same decision.
"""

from collections.abc import Callable
from enum import Enum

import msgspec

from leadford.forwarding.retries._budget import WindowedRetryBudget

# The inputs of one request are recomputed at most this many times because an endpoint
# reports that they are gone.
INPUT_REMAKES_MAX = 2


class AttemptEnd(Enum):
    """Name what is known of an attempt that did not serve its request."""

    NOT_RUN = "not-run"
    INPUTS_GONE = "inputs-gone"
    MAY_HAVE_RUN = "may-have-run"
    ERROR_STATUS = "error-status"
    SILENT = "silent"

    @property
    def may_have_run(self) -> bool:
        """Return whether the endpoint may have begun to work on the attempt."""
        return self not in (AttemptEnd.NOT_RUN, AttemptEnd.INPUTS_GONE)


class RetryReason(Enum):
    """Name the rule that decided."""

    INPUTS_REMADE = "inputs-remade"
    QUARANTINED = "quarantined"
    NOT_REPEATABLE = "not-repeatable"
    ATTEMPTS_USED = "attempts-used"
    OUT_OF_TIME = "out-of-time"
    NO_OTHER_ENDPOINT = "no-other-endpoint"
    BUDGET_SPENT = "budget-spent"
    ALLOWED = "allowed"


class FailedAttempt(msgspec.Struct, frozen=True):
    """Hold a failed attempt and the limits of its request.

    `may_have_run` covers earlier attempts too. `attempts` counts the attempts started,
    including the failed one; `input_remakes` counts how often inputs were recomputed
    already. `is_quarantined` is true if too many endpoints crashed while they ran the
    request. `has_reserved_retry` is true if the budget was spent on the next attempt
    already. `needed_s` is the time in which another attempt could serve the request.

    Units: now and deadline in seconds of the monotonic clock; needed_s in seconds.
    """

    end: AttemptEnd
    may_have_run: bool
    is_repeatable: bool
    can_remake_inputs: bool
    attempts: int
    attempts_max: int
    input_remakes: int
    now: float
    deadline: float
    is_quarantined: bool = False
    has_reserved_retry: bool = False
    needed_s: float = 0.0


class RetryDecision(msgspec.Struct, frozen=True):
    """Hold whether to retry, and the rule that decided.

    `may_reuse_endpoint` is true if the failed attempt does not count: its inputs are
    recomputed, and the same endpoint may be tried again.
    """

    retry: bool
    reason: RetryReason

    @property
    def may_reuse_endpoint(self) -> bool:
        """Tell whether the failed attempt does not count as an attempt."""
        return self.reason is RetryReason.INPUTS_REMADE


def decide_retry(
    failed: FailedAttempt,
    *,
    has_other_endpoint: Callable[[], bool],
    budget: WindowedRetryBudget,
) -> RetryDecision:
    """Return whether to make another attempt, and spend the budget if so.

    `has_other_endpoint` is called only if route and time allow an attempt, because the
    choice of an endpoint draws random numbers.
    """
    if failed.is_quarantined:
        return RetryDecision(False, RetryReason.QUARANTINED)
    has_run = failed.may_have_run or failed.end.may_have_run
    if has_run and not failed.is_repeatable:
        return RetryDecision(False, RetryReason.NOT_REPEATABLE)
    if failed.end is AttemptEnd.INPUTS_GONE and _may_remake_inputs(failed):
        return RetryDecision(True, RetryReason.INPUTS_REMADE)
    if failed.attempts >= failed.attempts_max:
        return RetryDecision(False, RetryReason.ATTEMPTS_USED)
    if failed.now + failed.needed_s >= failed.deadline:
        return RetryDecision(False, RetryReason.OUT_OF_TIME)
    if not has_other_endpoint():
        return RetryDecision(False, RetryReason.NO_OTHER_ENDPOINT)
    if not failed.has_reserved_retry and not budget.try_spend(failed.now):
        return RetryDecision(False, RetryReason.BUDGET_SPENT)
    return RetryDecision(True, RetryReason.ALLOWED)


def _may_remake_inputs(failed: FailedAttempt) -> bool:
    return failed.can_remake_inputs and failed.input_remakes < INPUT_REMAKES_MAX
