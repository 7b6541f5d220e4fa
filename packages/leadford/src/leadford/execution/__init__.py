"""Run one request through its stages: attempts, matching, budgets, true outcomes."""

from leadford.execution._keepers import NOTE_KEEPERS, choose_keepers
from leadford.execution._request import (
    Attempt,
    RequestExecution,
    StageBudget,
    StrayKind,
)

__all__ = [
    "NOTE_KEEPERS",
    "Attempt",
    "RequestExecution",
    "StageBudget",
    "StrayKind",
    "choose_keepers",
]
