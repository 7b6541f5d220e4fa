"""Decide whether and when a failed attempt is tried again."""

from leadford.retries._backoff import Backoff
from leadford.retries._budget import RetryBudget
from leadford.retries._decision import (
    AttemptFailure,
    FailureKind,
    RetryDecision,
    RetryPolicy,
)
from leadford.retries._hedge import HedgePolicy
from leadford.retries._rescue import RescuePolicy
from leadford.retries._window import WindowedRetryBudget

__all__ = [
    "AttemptFailure",
    "Backoff",
    "FailureKind",
    "HedgePolicy",
    "RescuePolicy",
    "RetryBudget",
    "RetryDecision",
    "RetryPolicy",
    "WindowedRetryBudget",
]
