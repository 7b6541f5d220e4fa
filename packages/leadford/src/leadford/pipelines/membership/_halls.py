"""Detect the loss of a data hall as one event.

The entry of the own interface records each connection that is lost or restored. Its
directory asks for the state of the hall before an endpoint gets work. When all halls
are unreachable, the fault is on this side, and no hall is marked as lost.
"""

from leadford.common import EndpointId, HallId

# A hall is lost when this fraction of its endpoints, and at least this number, is
# unreachable.
LOST_FRACTION = 0.7
LOST_ENDPOINTS_MIN = 3
# Only connections that were lost within this time count.
FAILURE_WINDOW_S = 3.0
# Time after which a hall is no longer marked as lost.
LOST_HALL_DURATION_S = 5.0


class HallMonitor:
    """Detect from failures within a short time that a hall is lost or cut off.

    One event then takes all endpoints of the hall out of use, in place of one ejection
    for each endpoint. The mark expires by itself.
    """

    def __init__(self, *, own_hall: HallId) -> None:
        self.own_hall = own_hall
        self.halls_by_endpoint_: dict[EndpointId, HallId] = {}
        self.size_by_hall_: dict[HallId, int] = {}
        self.failed_at_by_hall_: dict[HallId, dict[EndpointId, float]] = {}
        self.lost_until_by_hall_: dict[HallId, float] = {}

    def set_members(self, halls_by_endpoint: dict[EndpointId, HallId]) -> None:
        """Set the endpoints that this process connects to, with their halls."""
        self.halls_by_endpoint_ = halls_by_endpoint
        self.size_by_hall_ = {}
        for hall in halls_by_endpoint.values():
            self.size_by_hall_[hall] = self.size_by_hall_.get(hall, 0) + 1

    def record_unreachable(self, endpoint_id: EndpointId, now: float) -> HallId | None:
        """Record a lost connection; return the hall if it is newly marked as lost."""
        hall = self.halls_by_endpoint_.get(endpoint_id)
        if hall is None:
            return None
        failed = self.failed_at_by_hall_.setdefault(hall, {})
        failed[endpoint_id] = now
        for other_id in [i for i, at in failed.items() if now - at > FAILURE_WINDOW_S]:
            del failed[other_id]
        size = self.size_by_hall_.get(hall, 0)
        enough = len(failed) >= max(LOST_ENDPOINTS_MIN, LOST_FRACTION * size)
        if not enough or self.is_lost(hall, now):
            return None
        # When all halls are unreachable at once, the fault is on this side.
        if len(self.size_by_hall_) > 1 and self._are_all_halls_failing():
            return None
        self.lost_until_by_hall_[hall] = now + LOST_HALL_DURATION_S
        return hall

    def record_reached(self, endpoint_id: EndpointId) -> None:
        """Record a restored connection; its hall is no longer marked as lost."""
        hall = self.halls_by_endpoint_.get(endpoint_id)
        if hall is None:
            return
        self.failed_at_by_hall_.get(hall, {}).pop(endpoint_id, None)
        self.lost_until_by_hall_.pop(hall, None)

    def is_lost(self, hall: HallId, now: float) -> bool:
        """Return whether a hall is marked as lost."""
        return now < self.lost_until_by_hall_.get(hall, float("-inf"))

    def _are_all_halls_failing(self) -> bool:
        for hall, size in self.size_by_hall_.items():
            if len(self.failed_at_by_hall_.get(hall, {})) < LOST_FRACTION * size:
                return False
        return True
