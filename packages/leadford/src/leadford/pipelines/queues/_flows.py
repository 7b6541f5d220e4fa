"""Hold the queued attempts of one workspace in order of deadline.

A flow belongs to one workspace in one priority class and is closed once it is empty.
`_fair` and `_elastic` choose the flow; the flow chooses the attempt.
"""

from heapq import heappop, heappush

from leadford.common import WorkspaceId
from leadford.pipelines.queues._base import QueuedAttempt


class Flow:
    """Order the attempts of one workspace by deadline; removal is lazy.

    Units: cost_ms_ is the sum of the expected service times of queued attempts.
    """

    def __init__(self, *, weight: float) -> None:
        self.weight = weight
        self.cost_ms_ = 0.0
        self.heap_: list[tuple[float, str, float]] = []
        self.queued_keys_: set[str] = set()

    def push(self, item: QueuedAttempt) -> None:
        """Add an attempt."""
        self.queued_keys_.add(item.key)
        self.cost_ms_ += item.cost_ms
        heappush(self.heap_, (item.deadline_at, item.key, item.cost_ms))

    def pop(self) -> tuple[str, float]:
        """Pop the key and cost of the attempt with the earliest deadline."""
        while True:
            _, key, cost_ms = heappop(self.heap_)
            if key in self.queued_keys_:
                self.queued_keys_.discard(key)
                self.cost_ms_ -= cost_ms
                return key, cost_ms

    def drop(self, item: QueuedAttempt) -> None:
        """Drop an attempt that was removed from the queue."""
        self.queued_keys_.discard(item.key)
        self.cost_ms_ -= item.cost_ms

    def __len__(self) -> int:
        return len(self.queued_keys_)


class FlowTable:
    """Hold the open flows and the sum of their weights."""

    def __init__(self) -> None:
        self.flows_by_workspace_: dict[WorkspaceId, Flow] = {}
        self.weight_sum_ = 0.0

    def open(self, workspace: WorkspaceId, weight: float) -> Flow:
        """Open a flow for a workspace."""
        flow = Flow(weight=weight)
        self.flows_by_workspace_[workspace] = flow
        self.weight_sum_ += weight
        return flow

    def close(self, workspace: WorkspaceId) -> None:
        """Close an empty flow."""
        self.weight_sum_ -= self.flows_by_workspace_.pop(workspace).weight

    def ahead_ms(
        self, workspace: WorkspaceId, weight: float, class_ms: float, count: int
    ) -> float:
        """Return the milliseconds served before a new attempt of a workspace.

        This is the backlog of the workspace, scaled by the sum of weights over its own
        weight, plus half an average attempt for each other flow. It is at most the
        whole backlog of the class.
        """
        if not count:
            return 0.0
        flow = self.flows_by_workspace_.get(workspace)
        own_ms = flow.cost_ms_ if flow is not None else 0.0
        weights = self.weight_sum_ if flow is not None else self.weight_sum_ + weight
        others = len(self.flows_by_workspace_) - (flow is not None)
        stretched_ms = own_ms * weights / weight
        return min(class_ms, stretched_ms + others * class_ms / count / 2.0)
