"""Order the attempts that wait for an endpoint."""

from leadford.pipelines.queues._base import (
    QueuedAttempt,
    QueuePolicy,
    WorkspaceTerms,
    queue_policies,
)
from leadford.pipelines.queues._elastic import GuaranteedMinimum
from leadford.pipelines.queues._fair import WeightedFair
from leadford.pipelines.queues._fifo import EarliestDeadline, FirstInFirstOut

__all__ = [
    "EarliestDeadline",
    "FirstInFirstOut",
    "GuaranteedMinimum",
    "QueuePolicy",
    "QueuedAttempt",
    "WeightedFair",
    "WorkspaceTerms",
    "queue_policies",
]
