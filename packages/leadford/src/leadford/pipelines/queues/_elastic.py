"""Share an endpoint by guaranteed minimums, and lend unused capacity.

Source: "Elastic Resource Quota": a guaranteed `min` for each tenant, and borrowed
capacity split in proportion to the minimums.
"""

from leadford.common import WorkspaceId
from leadford.pipelines.queues._base import QueuedAttempt, TermsLookup, queue_policies
from leadford.pipelines.queues._classes import ClassQueueMixin
from leadford.pipelines.queues._flows import FlowTable

# Age at which half of the service of a workspace still counts as usage.
USAGE_HALF_LIFE_S = 2.0
# Guaranteed fraction of a workspace without a minimum, so that it can be ranked.
MIN_GUARANTEED_FRACTION = 0.001
# Usage below which its record is dropped.
NEGLIGIBLE_USAGE_MS = 0.01


class _Usage:
    """Hold the recent service time of one workspace, halved every 2 s."""

    def __init__(self, now: float) -> None:
        self.service_ms_ = 0.0
        self.updated_at_ = now

    def at(self, now: float) -> float:
        """Return the service time that still counts, in milliseconds."""
        age_s = max(0.0, now - self.updated_at_)
        return self.service_ms_ * 0.5 ** (age_s / USAGE_HALF_LIFE_S)

    def add(self, service_ms: float, now: float) -> None:
        """Add service time to the decayed sum."""
        self.service_ms_ = self.at(now) + service_ms
        self.updated_at_ = now


class _ElasticClass:
    """Serve workspaces below their minimum first, then by usage over minimum."""

    def __init__(self, *, terms: TermsLookup) -> None:
        self.terms = terms
        self.flow_table_ = FlowTable()
        self.usage_by_workspace_: dict[WorkspaceId, _Usage] = {}

    def push(self, item: QueuedAttempt) -> None:
        """Add an attempt to the flow of its workspace."""
        flow = self.flow_table_.flows_by_workspace_.get(item.workspace)
        if flow is None:
            flow = self.flow_table_.open(item.workspace, self._minimum(item.workspace))
        flow.push(item)

    def _minimum(self, workspace: WorkspaceId) -> float:
        return max(self.terms(workspace).minimum, MIN_GUARANTEED_FRACTION)

    def pop(self, now: float) -> str | None:
        """Pop the key of the next attempt and charge its cost to its workspace."""
        flows = self.flow_table_.flows_by_workspace_
        if not flows:
            return None
        total = sum(usage.at(now) for usage in self.usage_by_workspace_.values())
        chosen = min(flows, key=lambda w: self._rank(w, total, now))
        flow = flows[chosen]
        key, cost_ms = flow.pop()
        usage = self.usage_by_workspace_.setdefault(chosen, _Usage(now))
        usage.add(cost_ms, now)
        if not len(flow):
            self.flow_table_.close(chosen)
        self._prune(now)
        return key

    def _rank(
        self, workspace: WorkspaceId, total: float, now: float
    ) -> tuple[bool, float, str]:
        minimum = self._minimum(workspace)
        usage = self.usage_by_workspace_.get(workspace)
        used = usage.at(now) / total if usage is not None and total > 0 else 0.0
        return used >= minimum, used / minimum, workspace

    def drop(self, item: QueuedAttempt) -> None:
        """Drop an attempt without charging its cost."""
        flow = self.flow_table_.flows_by_workspace_[item.workspace]
        flow.drop(item)
        if not len(flow):
            self.flow_table_.close(item.workspace)

    def ahead_ms(self, workspace: WorkspaceId, class_ms: float, count: int) -> float:
        """Return the milliseconds of this class served before a new attempt."""
        minimum = self._minimum(workspace)
        return self.flow_table_.ahead_ms(workspace, minimum, class_ms, count)

    def _prune(self, now: float) -> None:
        stale = [
            workspace
            for workspace, usage in self.usage_by_workspace_.items()
            if usage.at(now) < NEGLIGIBLE_USAGE_MS
        ]
        for workspace in stale:
            del self.usage_by_workspace_[workspace]


@queue_policies.register("guaranteed_minimum")
class GuaranteedMinimum(ClassQueueMixin):
    """Order by priority class, then workspaces by usage over minimum, then deadline."""

    @classmethod
    def from_config(cls, *, terms: TermsLookup) -> "GuaranteedMinimum":
        """Build an empty queue."""
        return cls(terms=terms)

    def _new_class(self) -> _ElasticClass:
        return _ElasticClass(terms=self.terms)
