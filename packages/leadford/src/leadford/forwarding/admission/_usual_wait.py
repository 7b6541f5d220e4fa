"""Recognize a caller retry by the timeout it states, whichever entry refused it before.

During a burst many requests are refused and retried, each through any entry. In a large
fleet, most entries that receive a retry have not been told of the refusal. They would
take it for a first try and queue its pieces before those of requests that can still be
in time. However, callers state how long they will still wait: most first tries of a
route state the same timeout, and retries state various shorter ones.
Owned by admission, which decides what follows.
"""

from collections import Counter

from leadford.forwarding.admission._route_bound import drop_oldest_route
from leadford.forwarding.routes import RouteId

# Fraction of the callers of a route that must state the same timeout before it counts
# as that of first tries. Retries state the remaining time, which rarely repeats; during
# a burst half of the callers may be retries.
MIN_COMMON_FRACTION = 0.25
# Minimum number of recorded callers of a route before anything is inferred.
MIN_CALLERS = 8
# Number of recorded callers of a route above which all counts are halved, so that a
# changed timeout is learned.
MAX_CALLERS = 400
# Resolution to which stated timeouts are rounded, and minimum difference to the common
# timeout for a retry. No retry delay is shorter than 0.25 s.
RESOLUTION_S = 0.01
MIN_REDUCTION_S = 0.1


class CommonTimeouts:
    """Count the timeouts that callers of each route state."""

    def __init__(self) -> None:
        self.counts_by_route_: dict[RouteId, Counter[int]] = {}

    def record(self, route_id: RouteId, remaining_s: float) -> None:
        """Record how long a caller will still wait."""
        counts = self.counts_by_route_.setdefault(route_id, Counter())
        counts[round(remaining_s / RESOLUTION_S)] += 1
        if counts.total() > MAX_CALLERS:
            halved = {steps: count // 2 for steps, count in counts.items()}
            self.counts_by_route_[route_id] = Counter(
                {steps: count for steps, count in halved.items() if count > 0}
            )
        drop_oldest_route(self.counts_by_route_)

    def since_first_try_s(self, route_id: RouteId, remaining_s: float) -> float | None:
        """Return the time since the first try of a caller, by its remaining time.

        None for a first try, and if no common timeout is known.

        Units: seconds.
        """
        counts = self.counts_by_route_.get(route_id)
        if counts is None or counts.total() < MIN_CALLERS:
            return None
        steps, count = counts.most_common(1)[0]
        if count < MIN_COMMON_FRACTION * counts.total():
            return None
        since_first_try_s = steps * RESOLUTION_S - remaining_s
        return since_first_try_s if since_first_try_s >= MIN_REDUCTION_S else None
