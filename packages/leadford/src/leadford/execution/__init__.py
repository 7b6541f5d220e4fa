"""Run one request through its stages: attempts, matching, budgets, true outcomes."""

from leadford.execution._request import (
    Attempt,
    RequestExecution,
    StageBudget,
    StrayKind,
)

__all__ = [
    "Attempt",
    "RequestExecution",
    "StageBudget",
    "StrayKind",
]
