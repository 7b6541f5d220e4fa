"""Hold the waiting attempts of one workspace in order of deadline.

A flow belongs to one workspace in one class of priority and is closed once it is empty.
`_fair` and `_elastic` choose the flow, the flow chooses the attempt.
"""

from heapq import heappop, heappush

from leadford.common import WorkspaceId
from leadford.pipelines.queues._base import QueuedAttempt


class Flow:
    """Order the attempts of one workspace by deadline; removal is lazy.

    Units: cost_ms_ sums the expected service of what waits.
    """

    def __init__(self, *, weight: float) -> None:
        self.weight = weight
        self.cost_ms_ = 0.0
        self.heap_: list[tuple[float, str, float]] = []
        self.live_keys_: set[str] = set()

    def push(self, item: QueuedAttempt) -> None:
        """Add an attempt."""
        self.live_keys_.add(item.key)
        self.cost_ms_ += item.cost_ms
        heappush(self.heap_, (item.deadline_at, item.key, item.cost_ms))

    def pop(self) -> tuple[str, float]:
        """Take the key and cost of the attempt with the earliest deadline."""
        while True:
            _, key, cost_ms = heappop(self.heap_)
            if key in self.live_keys_:
                self.live_keys_.discard(key)
                self.cost_ms_ -= cost_ms
                return key, cost_ms

    def forget(self, item: QueuedAttempt) -> None:
        """Drop an attempt that was taken out."""
        self.live_keys_.discard(item.key)
        self.cost_ms_ -= item.cost_ms

    def __len__(self) -> int:
        return len(self.live_keys_)


class FlowTable:
    """Hold the flows that wait and the sum of their weights."""

    def __init__(self) -> None:
        self.flows_by_workspace_: dict[WorkspaceId, Flow] = {}
        self.weights_ = 0.0

    def open(self, workspace: WorkspaceId, weight: float) -> Flow:
        """Begin a flow."""
        flow = Flow(weight=weight)
        self.flows_by_workspace_[workspace] = flow
        self.weights_ += weight
        return flow

    def close(self, workspace: WorkspaceId) -> None:
        """End an empty flow."""
        self.weights_ -= self.flows_by_workspace_.pop(workspace).weight

    def ahead_ms(
        self, workspace: WorkspaceId, weight: float, class_ms: float, count: int
    ) -> float:
        """Return what is served before a newcomer of a workspace.

        That is its own backlog, stretched by the others' shares, and an attempt of
        half of the other flows; never more than all that waits.
        """
        if not count:
            return 0.0
        flow = self.flows_by_workspace_.get(workspace)
        own_ms = flow.cost_ms_ if flow is not None else 0.0
        weights = self.weights_ if flow is not None else self.weights_ + weight
        others = len(self.flows_by_workspace_) - (flow is not None)
        stretched_ms = own_ms * weights / weight
        return min(class_ms, stretched_ms + others * class_ms / count / 2.0)
