"""Know the group of each hall from the listed endpoints.

Shared by the requests of an entry and its scheduler of batches. Groups follow from the
listing alone, so entries with the same listing agree on them; they are worked out anew
only when an endpoint has joined or left. How many endpoints of a group take new work is
counted for forecasts, loads and links; which of them is used is asked of the roster.
"""

from collections.abc import Mapping

import msgspec

from leadford.common import HallId
from leadford.forwarding.batching._groups import GroupId, PlaceId, RegionMap
from leadford.forwarding.endpoints import EndpointRoster
from leadford.forwarding.history import StorePosition
from leadford.forwarding.routes import ServiceId

# Seconds for which endpoints that take new work are not counted again unless the
# listing changes: a count walks over all endpoints of a service (0.29 ms for 1,000, by
# timing 300 of them), and each heartbeat asked for four. What is missed meanwhile is an
# evacuation, or an endpoint that was replaced.
COUNTED_S = 0.1


class _Known(msgspec.Struct, frozen=True):
    """Hold the groups of a service at a version of the roster's membership."""

    membership_version: int
    groups_by_hall: dict[HallId, GroupId]


class _Counted(msgspec.Struct, frozen=True):
    """Hold the endpoints of a service that take new work, as counted at a moment.

    Units: seconds.
    """

    listing_position: StorePosition
    membership_version: int
    counted_at: float
    counts_by_group: Mapping[GroupId, int]


class GroupMap:
    """Hold the groups of batched services."""

    def __init__(self, *, regions: RegionMap, roster: EndpointRoster) -> None:
        self.regions = regions
        self.roster = roster
        self.known_by_service_: dict[ServiceId, _Known] = {}
        self.counted_by_service_: dict[ServiceId, _Counted] = {}

    def groups(self, service_id: ServiceId) -> dict[HallId, GroupId]:
        """Return the group of each hall with listed endpoints of a service."""
        version = self.roster.membership_version_
        known = self.known_by_service_.get(service_id)
        if known is None or known.membership_version != version:
            listed_by_hall = self.roster.listed_by_hall(service_id)
            known = _Known(version, self.regions.groups(service_id, listed_by_hall))
            self.known_by_service_[service_id] = known
        return known.groups_by_hall

    def group(self, service_id: ServiceId, hall: HallId) -> GroupId:
        """Return the group of a hall; one without a listing counts to its region."""
        region = PlaceId(self.regions.region(hall))
        return self.groups(service_id).get(hall, GroupId(service_id, region))

    def usable_by_group(
        self, service_id: ServiceId, now: float
    ) -> Mapping[GroupId, int]:
        """Return how many endpoints of a service take new work in each group.

        The count may be `COUNTED_S` old where the listing has not changed.
        """
        counted = self.counted_by_service_.get(service_id)
        if counted is None or not self._is_fresh(counted, now):
            counted = _Counted(
                self.roster.changed_position_,
                self.roster.membership_version_,
                now,
                self._count(service_id, now),
            )
            self.counted_by_service_[service_id] = counted
        return counted.counts_by_group

    def _is_fresh(self, counted: _Counted, now: float) -> bool:
        roster = self.roster
        if counted.listing_position != roster.changed_position_:
            return False
        if counted.membership_version != roster.membership_version_:
            return False
        return 0.0 <= now - counted.counted_at < COUNTED_S

    def _count(self, service_id: ServiceId, now: float) -> Mapping[GroupId, int]:
        counts: dict[GroupId, int] = {}
        for hall, count in self.roster.usable_by_hall(service_id, now).items():
            group = self.group(service_id, hall)
            counts[group] = counts.get(group, 0) + count
        return counts
