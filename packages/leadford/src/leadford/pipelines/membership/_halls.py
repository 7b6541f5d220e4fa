"""Treat the loss of a data hall as one event.

Written by the entry of the own interface for each connection that is lost or stands
again; asked by its directory before an endpoint gets work. When everything is out of
reach, the fault is on this side, and no hall is held lost.
"""

from leadford.common import EndpointId, HallId

# Part of a hall's endpoints out of reach, and the least number, that make it lost.
LOST_FRACTION = 0.7
LOST_ENDPOINTS_MIN = 3
# Seconds within which they must be lost.
WINDOW_S = 3.0
# Seconds that a hall is held lost.
SUSPICION_S = 5.0


class HallMonitor:
    """Tell from failures close together that a hall is lost or cut off.

    One event then removes the hall at once, in place of one ejection each, and
    each suspicion expires by itself.
    """

    def __init__(self, *, own_hall: HallId) -> None:
        self.own_hall = own_hall
        self.halls_by_endpoint_: dict[EndpointId, HallId] = {}
        self.size_by_hall_: dict[HallId, int] = {}
        self.failed_at_: dict[HallId, dict[EndpointId, float]] = {}
        self.lost_until_: dict[HallId, float] = {}

    def set_members(self, halls_by_endpoint: dict[EndpointId, HallId]) -> None:
        """Record the endpoints that this process talks to."""
        self.halls_by_endpoint_ = halls_by_endpoint
        self.size_by_hall_ = {}
        for hall in halls_by_endpoint.values():
            self.size_by_hall_[hall] = self.size_by_hall_.get(hall, 0) + 1

    def record_unreachable(self, endpoint_id: EndpointId, now: float) -> HallId | None:
        """Count a lost connection; return the hall when this makes it lost."""
        hall = self.halls_by_endpoint_.get(endpoint_id)
        if hall is None:
            return None
        failed = self.failed_at_.setdefault(hall, {})
        failed[endpoint_id] = now
        for other_id in [i for i, at in failed.items() if now - at > WINDOW_S]:
            del failed[other_id]
        size = self.size_by_hall_.get(hall, 0)
        enough = len(failed) >= max(LOST_ENDPOINTS_MIN, LOST_FRACTION * size)
        if not enough or self.is_lost(hall, now):
            return None
        # When everything at once is out of reach, the fault is on this side.
        if len(self.size_by_hall_) > 1 and self._all_failing():
            return None
        self.lost_until_[hall] = now + SUSPICION_S
        return hall

    def record_reached(self, endpoint_id: EndpointId) -> None:
        """Count a connection that stands again."""
        hall = self.halls_by_endpoint_.get(endpoint_id)
        if hall is None:
            return
        self.failed_at_.get(hall, {}).pop(endpoint_id, None)
        self.lost_until_.pop(hall, None)

    def is_lost(self, hall: HallId, now: float) -> bool:
        """Tell whether a hall is held lost."""
        return now < self.lost_until_.get(hall, float("-inf"))

    def _all_failing(self) -> bool:
        for hall, size in self.size_by_hall_.items():
            if len(self.failed_at_.get(hall, {})) < LOST_FRACTION * size:
                return False
        return True
