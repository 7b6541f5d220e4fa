"""Know which workspaces are within their share of what an entry has live.

Asked by the entry before it refuses for a backlog: a workspace within its share is left
to the queue, which serves it in its turn.
"""

from collections.abc import Callable

from leadford.common import WorkspaceId
from leadford.pipelines.queues import WorkspaceTerms


class EntitlementLedger:
    """Count live requests by workspace; a call costs the same for any number of them.

    A workspace within its share is not refused for a queue that others filled: the
    queue in front of the endpoint serves it in its turn.
    """

    def __init__(self, *, terms: Callable[[WorkspaceId], WorkspaceTerms]) -> None:
        self.terms = terms
        self.live_by_workspace_: dict[WorkspaceId, int] = {}
        self.share_by_workspace_: dict[WorkspaceId, float] = {}
        self.live_ = 0
        self.active_shares_ = 0.0

    def record_began(self, workspace: WorkspaceId) -> None:
        """Count a request that begins."""
        self.live_ += 1
        live = self.live_by_workspace_.get(workspace, 0)
        self.live_by_workspace_[workspace] = live + 1
        if live == 0:
            share = self.terms(workspace).share
            self.share_by_workspace_[workspace] = share
            self.active_shares_ += share

    def record_ended(self, workspace: WorkspaceId) -> None:
        """Count a request that ended."""
        self.live_ -= 1
        self.live_by_workspace_[workspace] -= 1
        if self.live_by_workspace_[workspace] == 0:
            del self.live_by_workspace_[workspace]
            self.active_shares_ -= self.share_by_workspace_.pop(workspace)

    def is_entitled(self, workspace: WorkspaceId) -> bool:
        """Tell whether one more request stays within the workspace's share."""
        terms = self.terms(workspace)
        active = self.active_shares_
        if workspace not in self.share_by_workspace_:
            active += terms.share
        if active <= terms.share:
            # What waits is all its own.
            return False
        fraction = max(terms.share / active, terms.minimum)
        live = self.live_by_workspace_.get(workspace, 0)
        return live + 1 <= max(1.0, fraction * (self.live_ + 1))
