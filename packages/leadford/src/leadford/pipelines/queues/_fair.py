"""Share an endpoint between workspaces by weighted fair queueing.

Start-time fair queueing: a workspace gets a start tag when its first attempt is queued.
Each served attempt advances the tag by its cost divided by the share of the workspace,
and the lowest tag is served next. A share counts only while its workspace has queued
attempts.
"""

from heapq import heappop, heappush

from leadford.common import WorkspaceId
from leadford.pipelines.queues._base import QueuedAttempt, TermsLookup, queue_policies
from leadford.pipelines.queues._classes import ClassQueueMixin
from leadford.pipelines.queues._flows import FlowTable

# Number of finish tags above which those in the past are dropped.
MAX_FINISH_TAGS = 1024
# Minimum cost of an attempt, so that the virtual time always advances.
MIN_COST_MS = 0.001


class _FairClass:
    """Serve the flow with the lowest start tag (start-time fair queueing).

    The cost of a decision grows with the workspaces that wait, not with all configured.
    """

    def __init__(self, *, terms: TermsLookup) -> None:
        self.terms = terms
        self.virtual_time_ = 0.0
        self.flow_table_ = FlowTable()
        self.finish_tags_: dict[WorkspaceId, float] = {}
        self.heap_: list[tuple[float, int, WorkspaceId]] = []
        self.push_count_ = 0

    def push(self, item: QueuedAttempt) -> None:
        """Add an attempt, and schedule its workspace if it has no flow yet."""
        flow = self.flow_table_.flows_by_workspace_.get(item.workspace)
        if flow is None:
            share = self.terms(item.workspace).share
            flow = self.flow_table_.open(item.workspace, share)
            self._schedule(item.workspace)
        flow.push(item)

    def _schedule(self, workspace: WorkspaceId) -> None:
        finish = self.finish_tags_.get(workspace, 0.0)
        start = max(self.virtual_time_, finish)
        self.push_count_ += 1
        heappush(self.heap_, (start, self.push_count_, workspace))

    def pop(self, now: float) -> str | None:
        """Pop the key of the next attempt and advance the virtual time to its start."""
        while self.heap_:
            start, _, workspace = heappop(self.heap_)
            flow = self.flow_table_.flows_by_workspace_[workspace]
            if not len(flow):
                self.flow_table_.close(workspace)
                continue
            key, cost_ms = flow.pop()
            self.virtual_time_ = start
            finish = start + max(cost_ms, MIN_COST_MS) / flow.weight
            self.finish_tags_[workspace] = finish
            if len(flow):
                self._schedule(workspace)
            else:
                self.flow_table_.close(workspace)
            if not self.flow_table_.flows_by_workspace_:
                # Without an open flow there is no service to balance.
                self.finish_tags_.clear()
            self._prune()
            return key
        return None

    def drop(self, item: QueuedAttempt) -> None:
        """Drop an attempt; its workspace keeps its start tag."""
        self.flow_table_.flows_by_workspace_[item.workspace].drop(item)

    def ahead_ms(self, workspace: WorkspaceId, class_ms: float, count: int) -> float:
        """Return the milliseconds of this class served before a new attempt."""
        share = self.terms(workspace).share
        return self.flow_table_.ahead_ms(workspace, share, class_ms, count)

    def _prune(self) -> None:
        if len(self.finish_tags_) <= MAX_FINISH_TAGS:
            return
        # A tag in the past has no effect: its flow would start at the virtual time.
        tags = self.finish_tags_.items()
        self.finish_tags_ = {w: t for w, t in tags if t > self.virtual_time_}


@queue_policies.register("weighted_fair")
class WeightedFair(ClassQueueMixin):
    """Order by priority class, then workspaces by share, then by deadline."""

    @classmethod
    def from_config(cls, *, terms: TermsLookup) -> "WeightedFair":
        """Build an empty queue."""
        return cls(terms=terms)

    def _new_class(self) -> _FairClass:
        return _FairClass(terms=self.terms)
