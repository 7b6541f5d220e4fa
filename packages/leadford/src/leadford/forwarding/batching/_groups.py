"""Split the endpoints of a batched stage into groups, each with one scheduler.

A group consists of the endpoints of one service in one region, or in one hall where the
region has many endpoints. One entry schedules the group and holds its queue, so that
calls are filled with the pieces of all entries, and no endpoint is idle while pieces
wait for another one. The live entries determine which entry that is; two schedulers at
once only make batches smaller.
"""

from typing import NewType

import msgspec

from leadford.common import EntryId, HallId, rendezvous_order
from leadford.forwarding.routes import PieceLimits, ServiceId

# Load reports of schedulers expire after this age.
LOAD_MAX_AGE_S = 1.5
# Cost of any move between halls, as an equivalent wait.
HALL_MOVE_MIN_S = 0.12
# Cost of each byte moved between halls, as an equivalent wait.
HALL_MOVE_S_PER_BYTE = 0.1e-6
# Highest cost of moved bytes, as an equivalent wait.
HALL_MOVE_MAX_S = 0.6
# Cost of missing room, as an equivalent wait.
ROOM_SHORT_PENALTY_S = 0.4
# A region with no more endpoints is one group: one queue fills calls better than many.
REGION_GROUP_MAX_ENDPOINTS = 24

PlaceId = NewType("PlaceId", str)
"""The name of a region, or of a hall."""


class GroupId(msgspec.Struct, frozen=True):
    """Identify a group; its place is a region or a hall."""

    service_id: ServiceId
    place: PlaceId

    @property
    def key(self) -> str:
        """Return the text that is hashed to order the schedulers of the group."""
        return f"{self.service_id}/{self.place}"


class RegionMap(msgspec.Struct, frozen=True):
    """Map halls to regions; a hall without one is a region of its own."""

    regions_by_hall: dict[HallId, PlaceId] = {}

    def region(self, hall: HallId) -> PlaceId:
        """Return the region of a hall."""
        return self.regions_by_hall.get(hall, PlaceId(hall))

    def is_in(self, hall: HallId, place: PlaceId) -> bool:
        """Tell whether a place is the hall itself or its region."""
        return hall == place or self.region(hall) == place

    def groups(
        self, service_id: ServiceId, listed_by_hall: dict[HallId, int]
    ) -> dict[HallId, GroupId]:
        """Return the group of each hall, given the number of listed endpoints there."""
        listed_by_region: dict[PlaceId, int] = {}
        for hall, count in listed_by_hall.items():
            region = self.region(hall)
            listed_by_region[region] = listed_by_region.get(region, 0) + count
        groups = {}
        for hall in listed_by_hall:
            region = self.region(hall)
            is_one_group = listed_by_region[region] <= REGION_GROUP_MAX_ENDPOINTS
            place = region if is_one_group else PlaceId(hall)
            groups[hall] = GroupId(service_id, place)
        return groups


class GroupLoad(msgspec.Struct, frozen=True):
    """Hold the load of a group that its scheduler last reported.

    Units: wait_s is how long a new piece waits for its call; heard_at is in seconds
    of the monotonic clock.
    """

    wait_s: float
    room_bytes: int
    heard_at: float

    @classmethod
    def unavailable(cls, now: float) -> "GroupLoad":
        """Return the load of a group that takes no pieces now."""
        return cls(float("inf"), 0, now)


def schedulers_in_order(
    group: GroupId, halls_by_entry: dict[EntryId, HallId], regions: RegionMap
) -> list[EntryId]:
    """Return the entries in order of preference as schedulers of a group.

    Entries in the place of the group come first.
    """
    halls = set(halls_by_entry.values())
    near_halls = {hall for hall in halls if regions.is_in(hall, group.place)}
    near = [entry for entry, hall in halls_by_entry.items() if hall in near_halls]
    far = [entry for entry, hall in halls_by_entry.items() if hall not in near_halls]
    return rendezvous_order(group.key, near) + rendezvous_order(group.key, far)


def moving_cost_s(moved_bytes: int) -> float:
    """Return the cost of moving bytes between halls, as an equivalent wait.

    Units: seconds.
    """
    if moved_bytes <= 0:
        return 0.0
    return min(HALL_MOVE_MAX_S, HALL_MOVE_MIN_S + moved_bytes * HALL_MOVE_S_PER_BYTE)


class GroupTable:
    """Choose the group of each piece by reported loads and the pieces sent since."""

    def __init__(self) -> None:
        self.loads_by_group_: dict[GroupId, GroupLoad] = {}
        self.sent_by_group_: dict[GroupId, int] = {}

    def record_load(self, group: GroupId, load: GroupLoad) -> None:
        """Record the load that a scheduler reported; it includes pieces sent before."""
        self.loads_by_group_[group] = load
        self.sent_by_group_[group] = 0

    def record_sent(self, group: GroupId) -> None:
        """Count a piece sent to a scheduler, until its next report includes it."""
        self.sent_by_group_[group] = self.sent_by_group_.get(group, 0) + 1

    def wait_s(
        self, group: GroupId, limits: PieceLimits, endpoints: int, now: float
    ) -> float:
        """Return how long a piece sent now is expected to wait for its call."""
        load = self.loads_by_group_.get(group)
        wait_s = 0.0
        if load is not None and now - load.heard_at < LOAD_MAX_AGE_S:
            wait_s = load.wait_s
        sent_count = self.sent_by_group_.get(group, 0)
        full_call_s = limits.full_call_s
        return wait_s + sent_count / (limits.batch * max(1, endpoints)) * full_call_s

    def choose(
        self,
        endpoints_by_group: dict[GroupId, int],
        limits: PieceLimits,
        *,
        result_bytes: int,
        moved_bytes_by_group: dict[GroupId, int],
        now: float,
    ) -> GroupId | None:
        """Return the group with the least cost: wait, missing room and moved bytes."""
        best = None
        best_score = float("inf")
        for group in sorted(endpoints_by_group, key=lambda group: group.key):
            endpoints = endpoints_by_group[group]
            if endpoints == 0:
                continue
            score = self.wait_s(group, limits, endpoints, now)
            load = self.loads_by_group_.get(group)
            if load is not None and load.room_bytes < result_bytes:
                score += ROOM_SHORT_PENALTY_S
            score += moving_cost_s(moved_bytes_by_group.get(group, 0))
            if score < best_score:
                best, best_score = group, score
        return best
