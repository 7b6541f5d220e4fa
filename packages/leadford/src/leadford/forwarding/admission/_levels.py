"""Forecast the delay and limit the backlog by priority level at contended services.

Used by the forecast and the decision; all else about levels is in
`leadford.forwarding.routes` (which level) and `leadford.forwarding.batching` (the
backlog and the queue). The pieces of its own level and of more urgent levels go before
a request. The queue reserves a fraction of the capacity for less urgent pieces, which
bounds the expected delay of requests below the highest level.
"""

from collections.abc import Callable

import msgspec

from leadford.common import WorkspaceId
from leadford.forwarding.admission._shares import AdmittedShares
from leadford.forwarding.batching import (
    RESERVED_FRACTION,
    AdmittedBacklog,
    drain_s,
)
from leadford.forwarding.routes import LEVEL_HIGHEST, RouteLevels, ServiceId

# Fraction of the slack that the backlog may take from a first try: that of the highest
# level, the reduction for each level below it, and the minimum. They differ little: the
# queue ranks levels already, and a refused first try is late when it returns. The steps
# are larger than those between workspaces, so that these rank requests within a level
# only.
LEVEL_SLACK_FRACTION = 0.9
LEVEL_SLACK_STEP = 0.13
MIN_LEVEL_SLACK_FRACTION = 0.6
# The reduction for each step of a workspace's priority within a level, and its maximum.
WORKSPACE_SLACK_STEP = 0.05
MAX_WORKSPACE_SLACK_REDUCTION = 0.1


def level_slack_fraction(level: int, priority: int) -> float:
    """Return the fraction of the slack that the backlog may take from a first try.

    `priority` is that of the workspace where it has one, otherwise that of the route.
    """
    fraction = LEVEL_SLACK_FRACTION - LEVEL_SLACK_STEP * level
    reduction = min(
        MAX_WORKSPACE_SLACK_REDUCTION, WORKSPACE_SLACK_STEP * max(0, priority - level)
    )
    return max(MIN_LEVEL_SLACK_FRACTION, fraction - reduction)


class LevelForecast(msgspec.Struct, frozen=True):
    """Forecast the delay of one request at the contended services of its stages."""

    levels: RouteLevels
    shares: AdmittedShares
    workspace_id: WorkspaceId | None

    def is_contended(self, service_id: ServiceId) -> bool:
        """Tell whether the delay at a service is forecast by level."""
        return service_id in self.levels.contended_ids

    def delay_s(
        self,
        backlog: AdmittedBacklog,
        service_id: ServiceId,
        *,
        less_urgent_fraction: float,
        capacity_s: Callable[[float], float],
        reached_s: float,
        now: float,
    ) -> float:
        """Return the delay by the backlog before the request.

        `capacity_s` returns how long all endpoints need for a number of pieces. The
        request reaches the stage after `reached_s`; the backlog that is computed until
        then does not delay it.

        Units: seconds.
        """
        if capacity_s(0.0) == float("inf"):
            return float("inf")
        level = self.levels.level(service_id)
        total = backlog.widest_sum(service_id, now)
        own_level = float(total.pieces_by_level.get(level, 0))
        own_level *= 1.0 - self.shares.excess_fraction(
            service_id, self.workspace_id, now
        )
        less_urgent = sum(total.pieces_by_level.values()) - total.up_to(level)
        not_more_urgent = own_level + less_urgent * less_urgent_fraction
        flow_above_per_s = backlog.flow_above_per_s(service_id, level, now)
        # More urgent pieces are assumed to arrive as fast as they are computed.
        left_fraction = _left_fraction(flow_above_per_s * capacity_s(1.0))
        delay_s = max(
            capacity_s(total.up_to(level - 1) + not_more_urgent),
            capacity_s(not_more_urgent) / left_fraction,
        )
        reserved_s = capacity_s(own_level) / RESERVED_FRACTION
        rate = backlog.rate(service_id, now)
        if rate is not None:
            left_per_s = max(
                RESERVED_FRACTION * rate.pieces, rate.pieces - flow_above_per_s
            )
            delay_s = max(delay_s, drain_s(own_level, left_per_s))
            reserved_s = max(
                reserved_s, drain_s(own_level, RESERVED_FRACTION * rate.pieces)
            )
        if level > LEVEL_HIGHEST:
            delay_s = min(delay_s, reserved_s)
        return max(0.0, delay_s - reached_s)


def _left_fraction(used_fraction: float) -> float:
    """Return the fraction of the capacity left by more urgent levels, or reserved."""
    return max(RESERVED_FRACTION, 1.0 - used_fraction)
