"""Share an endpoint between workspaces by weighted fair queueing.

Start-time fair queueing: a workspace that begins to wait gets a start tag, each attempt
served moves its tag on by the cost over the workspace's share, and the lowest tag is
served next. A share counts only while its workspace waits.
"""

from heapq import heappop, heappush

from leadford.common import WorkspaceId
from leadford.pipelines.queues._base import QueuedAttempt, TermsLookup, queue_policies
from leadford.pipelines.queues._classes import ClassQueueMixin
from leadford.pipelines.queues._flows import FlowTable

# Finish tags kept before those in the past are dropped.
TAGS_KEPT = 1024


class _FairClass:
    """Serve the flow with the lowest start tag (start-time fair queueing).

    The cost of a decision follows the workspaces that wait, not those configured.
    """

    def __init__(self, *, terms: TermsLookup) -> None:
        self.terms = terms
        self.virtual_time_ = 0.0
        self.table_ = FlowTable()
        self.finish_tags_: dict[WorkspaceId, float] = {}
        self.heap_: list[tuple[float, int, WorkspaceId]] = []
        self.pushes_ = 0

    def push(self, item: QueuedAttempt) -> None:
        """Add an attempt; a workspace that did not wait starts at the virtual time."""
        flow = self.table_.flows_by_workspace_.get(item.workspace)
        if flow is None:
            share = self.terms(item.workspace).share
            flow = self.table_.open(item.workspace, share)
            self._schedule(item.workspace)
        flow.push(item)

    def _schedule(self, workspace: WorkspaceId) -> None:
        finish = self.finish_tags_.get(workspace, 0.0)
        start = max(self.virtual_time_, finish)
        self.pushes_ += 1
        heappush(self.heap_, (start, self.pushes_, workspace))

    def pop(self, now: float) -> str | None:
        """Take the key of the next attempt, and move the virtual time to its start."""
        while self.heap_:
            start, _, workspace = heappop(self.heap_)
            flow = self.table_.flows_by_workspace_[workspace]
            if not len(flow):
                self.table_.close(workspace)
                continue
            key, cost_ms = flow.pop()
            self.virtual_time_ = start
            finish = start + max(cost_ms, 0.001) / flow.weight
            self.finish_tags_[workspace] = finish
            if len(flow):
                self._schedule(workspace)
            else:
                self.table_.close(workspace)
            if not self.table_.flows_by_workspace_:
                # With nobody waiting, nobody is owed anything.
                self.finish_tags_.clear()
            self._prune()
            return key
        return None

    def forget(self, item: QueuedAttempt) -> None:
        """Drop an attempt; its workspace keeps its place in the order."""
        self.table_.flows_by_workspace_[item.workspace].forget(item)

    def ahead_ms(self, workspace: WorkspaceId, class_ms: float, count: int) -> float:
        """Return the milliseconds of this class that go before a newcomer."""
        share = self.terms(workspace).share
        return self.table_.ahead_ms(workspace, share, class_ms, count)

    def _prune(self) -> None:
        if len(self.finish_tags_) <= TAGS_KEPT:
            return
        # A tag in the past says nothing: its flow would start at virtual time.
        tags = self.finish_tags_.items()
        self.finish_tags_ = {w: t for w, t in tags if t > self.virtual_time_}


@queue_policies.register("weighted_fair")
class WeightedFair(ClassQueueMixin):
    """Serve by class, then workspaces by weight, then deadlines."""

    @classmethod
    def from_config(cls, *, terms: TermsLookup) -> "WeightedFair":
        """Build an empty queue."""
        return cls(terms=terms)

    def _new_class(self) -> _FairClass:
        return _FairClass(terms=self.terms)
