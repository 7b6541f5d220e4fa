"""Track one request through its stages: attempts, matching, budgets and outcomes."""

from leadford.pipelines.execution._request import (
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
