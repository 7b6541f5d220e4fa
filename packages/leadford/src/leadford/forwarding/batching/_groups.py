"""Split the endpoints of a batched stage into groups, each with one scheduler.

A group is the endpoints of one service in one region, or in one hall where a region
has many. One entry holds its queue, so that calls fill from the pieces of all entries
and no endpoint rests while pieces wait for another one. Which entry follows from those
that are alive; two schedulers at once only make batches smaller.
"""

from typing import NewType

import msgspec

from leadford.common import EntryId, HallId, rendezvous_order
from leadford.forwarding.routes import PieceLimits, ServiceId

# Seconds that a report of a scheduler is believed.
LOAD_FRESH_S = 1.5
# Seconds of waiting that any move between halls is worth.
OTHER_HALL_S = 0.12
# Seconds of waiting that each moved byte is worth.
MOVED_S_PER_BYTE = 0.1e-6
# Seconds of waiting that moved bytes are worth at most.
MOVED_MOST_S = 0.6
# Seconds of waiting that missing room is worth.
ROOM_SHORT_S = 0.4
# Endpoints up to which a region is one group: one queue fills calls better than many.
GROUP_MOST = 24

PlaceId = NewType("PlaceId", str)
"""The name of a region, or of a hall."""


class GroupId(msgspec.Struct, frozen=True):
    """Name a group; its place is a region or a hall."""

    service_id: ServiceId
    place: PlaceId

    @property
    def key(self) -> str:
        """Return the text that is hashed for the group."""
        return f"{self.service_id}/{self.place}"


class RegionMap(msgspec.Struct, frozen=True):
    """Say which halls lie in a region; a hall without one is a region by itself."""

    regions_by_hall: dict[HallId, PlaceId] = {}

    def region(self, hall: HallId) -> PlaceId:
        """Return the region of a hall."""
        return self.regions_by_hall.get(hall, PlaceId(hall))

    def is_in(self, hall: HallId, place: PlaceId) -> bool:
        """Tell whether a hall is a place or lies in it."""
        return hall == place or self.region(hall) == place

    def groups(
        self, service_id: ServiceId, listed_by_hall: dict[HallId, int]
    ) -> dict[HallId, GroupId]:
        """Return the group of each hall, from how many endpoints are listed there."""
        listed_by_region: dict[PlaceId, int] = {}
        for hall, count in listed_by_hall.items():
            region = self.region(hall)
            listed_by_region[region] = listed_by_region.get(region, 0) + count
        groups = {}
        for hall in listed_by_hall:
            region = self.region(hall)
            is_small = listed_by_region[region] <= GROUP_MOST
            place = region if is_small else PlaceId(hall)
            groups[hall] = GroupId(service_id, place)
        return groups


class GroupLoad(msgspec.Struct, frozen=True):
    """Hold what a scheduler last said of a group.

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
    """Return the entries in the order in which they schedule a group, near first."""
    halls = set(halls_by_entry.values())
    near_halls = {hall for hall in halls if regions.is_in(hall, group.place)}
    near = [entry for entry, hall in halls_by_entry.items() if hall in near_halls]
    far = [entry for entry, hall in halls_by_entry.items() if hall not in near_halls]
    return rendezvous_order(group.key, near) + rendezvous_order(group.key, far)


def moving_s(moved_bytes: int) -> float:
    """Return the wait that is worth as much as not moving bytes between halls."""
    if moved_bytes <= 0:
        return 0.0
    return min(MOVED_MOST_S, OTHER_HALL_S + moved_bytes * MOVED_S_PER_BYTE)


class GroupTable:
    """Choose the group of each piece by what its schedulers said and was sent since."""

    def __init__(self) -> None:
        self.loads_by_group_: dict[GroupId, GroupLoad] = {}
        self.sent_by_group_: dict[GroupId, int] = {}

    def record_load(self, group: GroupId, load: GroupLoad) -> None:
        """Record what a scheduler said; it counts what was sent before."""
        self.loads_by_group_[group] = load
        self.sent_by_group_[group] = 0

    def record_sent(self, group: GroupId) -> None:
        """Count a piece that the next report of the scheduler will count."""
        self.sent_by_group_[group] = self.sent_by_group_.get(group, 0) + 1

    def wait_s(
        self, group: GroupId, limits: PieceLimits, endpoints: int, now: float
    ) -> float:
        """Return how long a piece sent now is expected to wait for its call."""
        load = self.loads_by_group_.get(group)
        wait_s = 0.0
        if load is not None and now - load.heard_at < LOAD_FRESH_S:
            wait_s = load.wait_s
        sent = self.sent_by_group_.get(group, 0)
        per_batch_s = limits.full_call_s
        return wait_s + sent / (limits.batch * max(1, endpoints)) * per_batch_s

    def choose(
        self,
        endpoints_by_group: dict[GroupId, int],
        limits: PieceLimits,
        *,
        result_bytes: int,
        moved_bytes_by_group: dict[GroupId, int],
        now: float,
    ) -> GroupId | None:
        """Return the group with the least cost of a piece, waits and moved bytes."""
        best = None
        best_score = float("inf")
        for group in sorted(endpoints_by_group, key=lambda group: group.key):
            endpoints = endpoints_by_group[group]
            if endpoints == 0:
                continue
            score = self.wait_s(group, limits, endpoints, now)
            load = self.loads_by_group_.get(group)
            if load is not None and load.room_bytes < result_bytes:
                score += ROOM_SHORT_S
            score += moving_s(moved_bytes_by_group.get(group, 0))
            if score < best_score:
                best, best_score = group, score
        return best
