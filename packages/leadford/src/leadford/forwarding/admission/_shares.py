"""Measure which workspaces exceed an equal share of the recently admitted pieces.

Owned by the admission of one entry, for contended services. For a workspace below its
equal share, the delay is forecast without the pieces that others hold beyond theirs.
"""

from collections.abc import Collection, Mapping

import msgspec

from leadford.common import WorkspaceId
from leadford.forwarding.routes import ServiceId

# Half-life of the weight of admitted pieces: slightly longer than the pieces of a burst
# wait for their service.
SHARE_HALF_LIFE_S = 2.0
# Weight below which a workspace is dropped, and the maximum number of workspaces for
# each service.
MIN_SHARE_PIECES = 0.5
MAX_SHARE_WORKSPACES = 64


class _Weights(msgspec.Struct):
    """Hold the weights of the workspaces of one service at one time."""

    pieces_by_workspace: dict[WorkspaceId, float]
    updated_at: float

    def decay(self, now: float) -> None:
        """Apply the exponential decay since the last update."""
        factor = 0.5 ** (max(0.0, now - self.updated_at) / SHARE_HALF_LIFE_S)
        self.updated_at = now
        self.pieces_by_workspace = {
            name: pieces * factor
            for name, pieces in self.pieces_by_workspace.items()
            if pieces * factor >= MIN_SHARE_PIECES
        }


class AdmittedShares:
    """Weigh the pieces that each workspace was admitted, by service."""

    def __init__(self) -> None:
        self.weights_by_service_: dict[ServiceId, _Weights] = {}

    def record_request(
        self,
        workspace_id: WorkspaceId,
        pieces_by_service: Mapping[ServiceId, int],
        contended_ids: Collection[ServiceId],
        now: float,
    ) -> None:
        """Count the pieces of an admitted request for contended services."""
        for service_id, pieces in pieces_by_service.items():
            if pieces > 0 and service_id in contended_ids:
                self.record_admitted(service_id, workspace_id, pieces, now)

    def record_admitted(
        self, service_id: ServiceId, workspace_id: WorkspaceId, pieces: int, now: float
    ) -> None:
        """Count admitted pieces of one service."""
        weights = self.weights_by_service_.setdefault(service_id, _Weights({}, now))
        weights.decay(now)
        known = weights.pieces_by_workspace
        known[workspace_id] = known.get(workspace_id, 0.0) + pieces
        if len(known) > MAX_SHARE_WORKSPACES:
            del known[min(known, key=known.__getitem__)]

    def excess_fraction(
        self, service_id: ServiceId, workspace_id: WorkspaceId | None, now: float
    ) -> float:
        """Return the part of admitted pieces that others hold beyond equal shares.

        0 for a workspace that holds its own equal share or more.
        """
        weights = self.weights_by_service_.get(service_id)
        if weights is None or workspace_id is None:
            return 0.0
        weights.decay(now)
        known = weights.pieces_by_workspace
        total = sum(known.values())
        if total == 0.0:
            return 0.0
        equal_share = total / len(known.keys() | {workspace_id})
        if known.get(workspace_id, 0.0) >= equal_share:
            return 0.0
        return sum(max(0.0, pieces - equal_share) for pieces in known.values()) / total
