"""Decide what may follow a failed attempt of a forwarded request, and how long to wait.

`_decision` says whether another attempt is made, `_limits` until when an attempt is
waited for, `_budget` how many further attempts the fleet may make.
"""

from leadford.forwarding.retries._budget import RetryBudgets, WindowedRetryBudget
from leadford.forwarding.retries._decision import (
    AttemptEnd,
    FailedAttempt,
    RetryDecision,
    RetryReason,
    decide_retry,
)
from leadford.forwarding.retries._limits import (
    ENDPOINTS_FOR_ANOTHER,
    AttemptTiming,
    answer_due_at,
    held_limit_s,
    plain_limit_at,
    request_deadline,
    silence_limit_at,
    usual_s,
)

__all__ = [
    "AttemptEnd",
    "AttemptTiming",
    "ENDPOINTS_FOR_ANOTHER",
    "FailedAttempt",
    "RetryBudgets",
    "RetryDecision",
    "RetryReason",
    "WindowedRetryBudget",
    "answer_due_at",
    "decide_retry",
    "held_limit_s",
    "plain_limit_at",
    "request_deadline",
    "silence_limit_at",
    "usual_s",
]
