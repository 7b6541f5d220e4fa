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
    MIN_ENDPOINTS_FOR_RETRY,
    AttemptTiming,
    answer_due_at,
    is_past_waiting,
    max_hold_s,
    plain_attempt_deadline,
    request_deadline,
    stream_silence_deadline,
    usual_duration_s,
)

__all__ = [
    "AttemptEnd",
    "AttemptTiming",
    "MIN_ENDPOINTS_FOR_RETRY",
    "FailedAttempt",
    "RetryBudgets",
    "RetryDecision",
    "RetryReason",
    "WindowedRetryBudget",
    "answer_due_at",
    "is_past_waiting",
    "decide_retry",
    "max_hold_s",
    "plain_attempt_deadline",
    "request_deadline",
    "stream_silence_deadline",
    "usual_duration_s",
]
