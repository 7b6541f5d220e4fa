"""Share an endpoint by guaranteed minimums, with idle share borrowed.

Source: "Elastic Resource Quota": a guaranteed `min` for each tenant, and borrowed
capacity split in proportion to the minimums.
"""

from leadford.common import WorkspaceId
from leadford.pipelines.queues._base import QueuedAttempt, TermsLookup, queue_policies
from leadford.pipelines.queues._classes import ClassQueueMixin
from leadford.pipelines.queues._flows import FlowTable

# Seconds after which half of a workspace's service still counts as used.
USAGE_HALF_LIFE_S = 2.0
# Least guaranteed part, so that a workspace without one can be ranked.
MINIMUM_FLOOR = 0.001
# Milliseconds of service below which a usage is dropped.
USAGE_FORGOTTEN_MS = 0.01


class _Usage:
    """Hold the recent service of one workspace, decaying by half every 2 s."""

    def __init__(self, now: float) -> None:
        self.service_ms_ = 0.0
        self.updated_at_ = now

    def at(self, now: float) -> float:
        """Return the service in milliseconds that still counts."""
        age_s = max(0.0, now - self.updated_at_)
        return self.service_ms_ * 0.5 ** (age_s / USAGE_HALF_LIFE_S)

    def add(self, service_ms: float, now: float) -> None:
        """Count more service, after what counted before has decayed."""
        self.service_ms_ = self.at(now) + service_ms
        self.updated_at_ = now


class _ElasticClass:
    """Serve those below their minimum first, then borrowers by usage over minimum."""

    def __init__(self, *, terms: TermsLookup) -> None:
        self.terms = terms
        self.table_ = FlowTable()
        self.usage_by_workspace_: dict[WorkspaceId, _Usage] = {}

    def push(self, item: QueuedAttempt) -> None:
        """Add an attempt to the flow of its workspace."""
        flow = self.table_.flows_by_workspace_.get(item.workspace)
        if flow is None:
            flow = self.table_.open(item.workspace, self._minimum(item.workspace))
        flow.push(item)

    def _minimum(self, workspace: WorkspaceId) -> float:
        return max(self.terms(workspace).minimum, MINIMUM_FLOOR)

    def pop(self, now: float) -> str | None:
        """Take the key of the next attempt, and charge its cost to its workspace."""
        flows = self.table_.flows_by_workspace_
        if not flows:
            return None
        total = sum(usage.at(now) for usage in self.usage_by_workspace_.values())
        chosen = min(flows, key=lambda w: self._rank(w, total, now))
        flow = flows[chosen]
        key, cost_ms = flow.pop()
        usage = self.usage_by_workspace_.setdefault(chosen, _Usage(now))
        usage.add(cost_ms, now)
        if not len(flow):
            self.table_.close(chosen)
        self._prune(now)
        return key

    def _rank(
        self, workspace: WorkspaceId, total: float, now: float
    ) -> tuple[bool, float, str]:
        minimum = self._minimum(workspace)
        usage = self.usage_by_workspace_.get(workspace)
        used = usage.at(now) / total if usage is not None and total > 0 else 0.0
        return used >= minimum, used / minimum, workspace

    def forget(self, item: QueuedAttempt) -> None:
        """Drop an attempt without a charge."""
        flow = self.table_.flows_by_workspace_[item.workspace]
        flow.forget(item)
        if not len(flow):
            self.table_.close(item.workspace)

    def ahead_ms(self, workspace: WorkspaceId, class_ms: float, count: int) -> float:
        """Return the milliseconds of this class that go before a newcomer."""
        minimum = self._minimum(workspace)
        return self.table_.ahead_ms(workspace, minimum, class_ms, count)

    def _prune(self, now: float) -> None:
        stale = [
            workspace
            for workspace, usage in self.usage_by_workspace_.items()
            if usage.at(now) < USAGE_FORGOTTEN_MS
        ]
        for workspace in stale:
            del self.usage_by_workspace_[workspace]


@queue_policies.register("guaranteed_minimum")
class GuaranteedMinimum(ClassQueueMixin):
    """Serve by class, then workspaces by minimum and borrowing, then deadlines."""

    @classmethod
    def from_config(cls, *, terms: TermsLookup) -> "GuaranteedMinimum":
        """Build an empty queue."""
        return cls(terms=terms)

    def _new_class(self) -> _ElasticClass:
        return _ElasticClass(terms=self.terms)
