"""Know the group of each hall from the listed endpoints.

Shared by the requests of an entry and its scheduler of batches. Groups follow from the
listing alone, so entries with the same listing agree on them; they are worked out anew
only when an endpoint has joined or left.
"""

import msgspec

from leadford.common import HallId
from leadford.forwarding.batching._groups import GroupId, PlaceId, RegionMap
from leadford.forwarding.endpoints import EndpointRoster
from leadford.forwarding.routes import ServiceId


class _Known(msgspec.Struct, frozen=True):
    """Hold the groups of a service at a version of the roster's membership."""

    membership_version: int
    groups_by_hall: dict[HallId, GroupId]


class GroupMap:
    """Hold the groups of batched services."""

    def __init__(self, *, regions: RegionMap, roster: EndpointRoster) -> None:
        self.regions = regions
        self.roster = roster
        self.known_by_service_: dict[ServiceId, _Known] = {}

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

    def usable_by_group(self, service_id: ServiceId, now: float) -> dict[GroupId, int]:
        """Return how many endpoints of a service take new work in each group."""
        counts: dict[GroupId, int] = {}
        for hall, count in self.roster.usable_by_hall(service_id, now).items():
            group = self.group(service_id, hall)
            counts[group] = counts.get(group, 0) + count
        return counts
