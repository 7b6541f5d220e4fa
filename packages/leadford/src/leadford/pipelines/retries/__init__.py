"""Decide whether and when attempts are retried, hedged or moved."""

from leadford.pipelines.retries._backoff import Backoff
from leadford.pipelines.retries._budget import RetryBudget
from leadford.pipelines.retries._decision import (
    AttemptFailure,
    FailureKind,
    RetryDecision,
    RetryPolicy,
)
from leadford.pipelines.retries._hedge import HedgePolicy
from leadford.pipelines.retries._rescue import RescuePolicy

__all__ = [
    "AttemptFailure",
    "Backoff",
    "FailureKind",
    "HedgePolicy",
    "RescuePolicy",
    "RetryBudget",
    "RetryDecision",
    "RetryPolicy",
]
