"""Estimate how long ago the caller of a retried request first tried.

A caller states how long it will still wait, and states less with each retry. The
longest timeout stated on a route is that of a first try, so the difference to it is the
time since then. Owned by admission; nothing is decided here.
"""

from leadford.forwarding.admission._route_bound import drop_oldest_route
from leadford.forwarding.routes import RouteId


class FirstTryTimes:
    """Keep the longest timeout that callers of each route have stated."""

    def __init__(self) -> None:
        self.longest_s_by_route_: dict[RouteId, float] = {}

    def record(self, route_id: RouteId, remaining_s: float) -> None:
        """Record how long a caller will still wait."""
        longest_s = self.longest_s_by_route_.get(route_id, 0.0)
        self.longest_s_by_route_[route_id] = max(longest_s, remaining_s)
        drop_oldest_route(self.longest_s_by_route_)

    def since_first_try_s(self, route_id: RouteId, remaining_s: float) -> float:
        """Return the time since the first try of a caller, by its remaining time.

        Units: seconds.
        """
        return max(0.0, self.longest_s_by_route_.get(route_id, 0.0) - remaining_s)
