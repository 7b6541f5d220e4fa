"""Know a request that returns by what its caller brings, whoever refused it before.

The load pattern: under a burst many are refused and come back, each through any entry.
With 68 entries the one that a caller comes back to has heard of its refusal in one case
of six; all others are taken for newcomers, and their pieces go before those of requests
that can still be in time. But a caller says how long it will still wait. Most first
tries of a route say the same, returns each say something less. Owned by admission;
nothing here decides what follows.
"""

from collections import Counter

from leadford.forwarding.routes import RouteId

# Part of the callers of a route that must announce the same wait before it counts as
# that of first tries. Returns announce what is left, hardly ever the same twice; under
# a burst half of the callers may be returns.
USUAL_PART = 0.25
# Callers of a route that must have been seen before.
USUAL_LEAST = 8
# Callers of a route whose waits are counted; then all counts are halved, so that a
# changed wait is learned.
CALLERS_COUNTED = 400
# Seconds to which announced waits are rounded, and by which a return announces less at
# least: nobody is told to come back sooner than after 0.25 s.
STEP_S = 0.01
LESS_S = 0.1
# Routes that are remembered; the oldest is forgotten first. Far more than have stages.
ROUTES_KEPT = 2_000


class UsualWaits:
    """Count how long the callers of each route say that they wait."""

    def __init__(self) -> None:
        self.counts_by_route_: dict[RouteId, Counter[int]] = {}

    def record(self, route_id: RouteId, allowed_s: float) -> None:
        """Record how long a caller waits."""
        counts = self.counts_by_route_.setdefault(route_id, Counter())
        counts[round(allowed_s / STEP_S)] += 1
        if counts.total() > CALLERS_COUNTED:
            halved = {steps: count // 2 for steps, count in counts.items()}
            self.counts_by_route_[route_id] = Counter(
                {steps: count for steps, count in halved.items() if count > 0}
            )
        if len(self.counts_by_route_) > ROUTES_KEPT:
            del self.counts_by_route_[next(iter(self.counts_by_route_))]

    def since_s(self, route_id: RouteId, allowed_s: float) -> float | None:
        """Return the time since the first try of a caller that waits so long now.

        None where it is no return, or nothing usual is known.

        Units: seconds.
        """
        counts = self.counts_by_route_.get(route_id)
        if counts is None or counts.total() < USUAL_LEAST:
            return None
        steps, count = counts.most_common(1)[0]
        if count < USUAL_PART * counts.total():
            return None
        since_s = steps * STEP_S - allowed_s
        return since_s if since_s >= LESS_S else None
