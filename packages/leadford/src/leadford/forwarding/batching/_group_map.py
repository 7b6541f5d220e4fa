"""Map each hall to its group, from the listed endpoints.

Shared by the requests of an entry and its scheduler of batches. Groups depend on the
listing alone, so entries with the same listing agree on them. They are computed again
only when an endpoint joins or leaves. This module also counts how many endpoints of a
group take new work, for forecasts, loads and links; the roster decides which of them is
used.
"""

from collections.abc import Mapping

import msgspec

from leadford.common import HallId
from leadford.forwarding.batching._groups import GroupId, PlaceId, RegionMap
from leadford.forwarding.endpoints import EndpointRoster
from leadford.forwarding.history import StorePosition
from leadford.forwarding.routes import ServiceId

# A count of endpoints that take new work is reused for this time unless the listing
# changes, because counting iterates over all endpoints of a service, several times for
# each heartbeat. Meanwhile an evacuation, or the replacement of an endpoint, goes
# unnoticed.
COUNT_MAX_AGE_S = 0.1


class _KnownGroups(msgspec.Struct, frozen=True):
    """Hold the groups of a service at one membership version of the roster."""

    membership_version: int
    groups_by_hall: dict[HallId, GroupId]


class _UsableCount(msgspec.Struct, frozen=True):
    """Hold the number of endpoints of a service that take new work.

    Units: counted_at in seconds of the monotonic clock.
    """

    listing_position: StorePosition
    membership_version: int
    counted_at: float
    counts_by_group: Mapping[GroupId, int]


class GroupMap:
    """Map halls to the groups of batched services, and count usable endpoints."""

    def __init__(self, *, regions: RegionMap, roster: EndpointRoster) -> None:
        self.regions = regions
        self.roster = roster
        self.groups_by_service_: dict[ServiceId, _KnownGroups] = {}
        self.counts_by_service_: dict[ServiceId, _UsableCount] = {}

    def groups(self, service_id: ServiceId) -> dict[HallId, GroupId]:
        """Return the group of each hall that has listed endpoints of a service."""
        version = self.roster.membership_version_
        known = self.groups_by_service_.get(service_id)
        if known is None or known.membership_version != version:
            listed_by_hall = self.roster.listed_by_hall(service_id)
            known = _KnownGroups(
                version, self.regions.groups(service_id, listed_by_hall)
            )
            self.groups_by_service_[service_id] = known
        return known.groups_by_hall

    def group(self, service_id: ServiceId, hall: HallId) -> GroupId:
        """Return the group of a hall, by its region if it has no listed endpoint."""
        region = PlaceId(self.regions.region(hall))
        return self.groups(service_id).get(hall, GroupId(service_id, region))

    def usable_by_group(
        self, service_id: ServiceId, now: float
    ) -> Mapping[GroupId, int]:
        """Return how many endpoints of a service take new work in each group.

        The count may be `COUNT_MAX_AGE_S` old where the listing has not changed.
        """
        counted = self.counts_by_service_.get(service_id)
        if counted is None or not self._is_fresh(counted, now):
            counted = _UsableCount(
                self.roster.changed_position_,
                self.roster.membership_version_,
                now,
                self._count(service_id, now),
            )
            self.counts_by_service_[service_id] = counted
        return counted.counts_by_group

    def _is_fresh(self, counted: _UsableCount, now: float) -> bool:
        roster = self.roster
        if counted.listing_position != roster.changed_position_:
            return False
        if counted.membership_version != roster.membership_version_:
            return False
        return 0.0 <= now - counted.counted_at < COUNT_MAX_AGE_S

    def _count(self, service_id: ServiceId, now: float) -> Mapping[GroupId, int]:
        counts: dict[GroupId, int] = {}
        for hall, count in self.roster.usable_by_hall(service_id, now).items():
            group = self.group(service_id, hall)
            counts[group] = counts.get(group, 0) + count
        return counts
