"""Track which workspaces are within their share of the live requests of an entry.

Called by the entry before it refuses a request because of a backlog. Requests of a
workspace within its share go on to the queue, which serves them in their turn.
"""

from collections.abc import Callable

from leadford.common import WorkspaceId
from leadford.pipelines.queues import WorkspaceTerms


class EntitlementLedger:
    """Count live requests by workspace, in constant time per call.

    A workspace within its share is not refused because others filled the queue: the
    queue of the endpoint serves its attempts in their turn.
    """

    def __init__(self, *, terms: Callable[[WorkspaceId], WorkspaceTerms]) -> None:
        self.terms = terms
        self.live_by_workspace_: dict[WorkspaceId, int] = {}
        self.share_by_workspace_: dict[WorkspaceId, float] = {}
        self.live_count_ = 0
        self.active_share_sum_ = 0.0

    def record_began(self, workspace: WorkspaceId) -> None:
        """Count a request that begins."""
        self.live_count_ += 1
        live = self.live_by_workspace_.get(workspace, 0)
        self.live_by_workspace_[workspace] = live + 1
        if live == 0:
            share = self.terms(workspace).share
            self.share_by_workspace_[workspace] = share
            self.active_share_sum_ += share

    def record_ended(self, workspace: WorkspaceId) -> None:
        """Count a request that ended."""
        self.live_count_ -= 1
        self.live_by_workspace_[workspace] -= 1
        if self.live_by_workspace_[workspace] == 0:
            del self.live_by_workspace_[workspace]
            self.active_share_sum_ -= self.share_by_workspace_.pop(workspace)

    def is_entitled(self, workspace: WorkspaceId) -> bool:
        """Return whether one more request stays within the share of the workspace."""
        terms = self.terms(workspace)
        active = self.active_share_sum_
        if workspace not in self.share_by_workspace_:
            active += terms.share
        if active <= terms.share:
            # Only this workspace has live requests, so the backlog is its own.
            return False
        fraction = max(terms.share / active, terms.minimum)
        live = self.live_by_workspace_.get(workspace, 0)
        return live + 1 <= max(1.0, fraction * (self.live_count_ + 1))
