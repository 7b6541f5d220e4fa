"""Decide whether to retry a failed attempt, and how long to wait for an attempt.

`_decision` decides whether a forwarded request gets another attempt, `_limits` until
when to wait for an attempt, and `_budget` how many retries the fleet may send.
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
