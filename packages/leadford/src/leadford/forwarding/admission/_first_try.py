"""Know how long ago the caller of a request that returns first tried.

A caller says how long it will still wait, and says less each time it comes back. The
most that was ever said on a route is what a first try says, so the difference is the
time since. Owned by admission; nothing here decides.
"""

from leadford.forwarding.routes import RouteId

# Routes that are remembered; the oldest is forgotten first. Far more than have stages.
ROUTES_KEPT = 2_000


class FirstTryTimes:
    """Remember the longest wait that callers of each route have announced."""

    def __init__(self) -> None:
        self.most_s_by_route_: dict[RouteId, float] = {}

    def record(self, route_id: RouteId, allowed_s: float) -> None:
        """Record how long a caller waits."""
        most_s = self.most_s_by_route_.get(route_id, 0.0)
        self.most_s_by_route_[route_id] = max(most_s, allowed_s)
        if len(self.most_s_by_route_) > ROUTES_KEPT:
            del self.most_s_by_route_[next(iter(self.most_s_by_route_))]

    def since_s(self, route_id: RouteId, allowed_s: float) -> float:
        """Return the time since the first try of a caller that waits so long now.

        Units: seconds.
        """
        return max(0.0, self.most_s_by_route_.get(route_id, 0.0) - allowed_s)
