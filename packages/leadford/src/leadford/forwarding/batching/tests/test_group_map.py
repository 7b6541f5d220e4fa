"""Groups depend on the listed endpoints, and are updated when these change."""

import msgspec

from leadford.common import EndpointId, HallId
from leadford.forwarding.batching import GroupId, GroupMap, PlaceId, RegionMap
from leadford.forwarding.endpoints import (
    EndpointAddress,
    EndpointRoster,
    EvacuatedHalls,
    HallNotice,
    ListedEndpoint,
    ListedState,
)
from leadford.forwarding.history import FIRST_EPOCH, StorePosition
from leadford.forwarding.routes import ServiceId


def at(revision):
    return StorePosition(FIRST_EPOCH, revision)


SERVICE = ServiceId("s")
REGIONS = RegionMap({HallId("h1"): PlaceId("r"), HallId("h2"): PlaceId("r")})


def listed(name, hall, state=ListedState.READY):
    return ListedEndpoint(
        endpoint_id=EndpointId(name),
        service_id=SERVICE,
        address=EndpointAddress("10.0.0.1:80"),
        hall=HallId(hall),
        state=state,
        slots=1,
        revision=1,
    )


def test_halls_of_a_region_are_one_group_as_long_as_it_is_small():
    roster = EndpointRoster()
    groups = GroupMap(regions=REGIONS, roster=roster)
    roster.record_listed(listed("a", "h1"))
    roster.record_listed(listed("b", "h2"))
    assert set(groups.groups(SERVICE).values()) == {GroupId(SERVICE, PlaceId("r"))}
    for number in range(23):
        roster.record_listed(listed(f"c{number}", "h1"))
    assert groups.group(SERVICE, HallId("h1")) == GroupId(SERVICE, PlaceId("h1"))


def test_a_hall_without_a_listing_counts_to_its_region():
    groups = GroupMap(regions=REGIONS, roster=EndpointRoster())
    assert groups.group(SERVICE, HallId("h2")) == GroupId(SERVICE, PlaceId("r"))
    assert groups.group(SERVICE, HallId("h9")) == GroupId(SERVICE, PlaceId("h9"))


def test_only_endpoints_that_take_new_work_are_counted():
    roster = EndpointRoster()
    groups = GroupMap(regions=REGIONS, roster=roster)
    roster.record_listed(listed("a", "h1"))
    roster.record_listed(listed("b", "h2"))
    roster.record_listed(listed("c", "h2", ListedState.DRAINING))
    counts = groups.usable_by_group(SERVICE, 0.0)
    assert counts == {GroupId(SERVICE, PlaceId("r")): 2}


REGION = GroupId(SERVICE, PlaceId("r"))


class CountingRoster(EndpointRoster):
    """Count the iterations over all endpoints."""

    walks_ = 0

    def usable_by_hall(self, service_id, now):
        self.walks_ += 1
        return super().usable_by_hall(service_id, now)


def test_questions_of_one_heartbeat_walk_over_the_endpoints_once():
    roster = CountingRoster()
    groups = GroupMap(regions=REGIONS, roster=roster)
    roster.record_listed(listed("a", "h1"))
    for step in range(5):
        assert groups.usable_by_group(SERVICE, 1.0 + step * 0.01) == {REGION: 1}
    assert roster.walks_ == 1
    groups.usable_by_group(SERVICE, 1.2)
    assert roster.walks_ == 2


def test_a_change_of_the_listing_is_counted_at_once():
    roster = EndpointRoster()
    groups = GroupMap(regions=REGIONS, roster=roster)
    roster.record_listed(listed("a", "h1"))
    roster.record_listed(listed("b", "h1"))
    assert groups.usable_by_group(SERVICE, 1.0) == {REGION: 2}
    leaving = listed("b", "h1", ListedState.DRAINING)
    roster.record_listed(msgspec.structs.replace(leaving, revision=2))
    assert groups.usable_by_group(SERVICE, 1.0) == {REGION: 1}
    roster.record_listed(msgspec.structs.replace(listed("c", "h2"), revision=3))
    assert groups.usable_by_group(SERVICE, 1.0) == {REGION: 2}
    # A removal in the same epoch: the endpoint left, and was not lost by the store.
    roster.remove("a", at(4), 1.0)
    assert groups.usable_by_group(SERVICE, 1.0) == {REGION: 1}


def test_an_evacuation_is_counted_soon():
    halls = EvacuatedHalls()
    roster = EndpointRoster(halls=halls)
    groups = GroupMap(regions=REGIONS, roster=roster)
    roster.record_listed(listed("a", "h1"))
    roster.record_listed(listed("b", "h2"))
    assert groups.usable_by_group(SERVICE, 1.0) == {REGION: 2}
    halls.record(HallNotice(HallId("h1"), 5, True))
    assert groups.usable_by_group(SERVICE, 1.1) == {REGION: 1}


def test_listed_endpoints_are_counted_by_hall_as_they_join_and_leave():
    roster = EndpointRoster()
    assert roster.listed_by_hall(SERVICE) == {}
    roster.record_listed(listed("a", "h1"))
    roster.record_listed(listed("b", "h2", ListedState.DRAINING))
    assert roster.listed_by_hall(SERVICE) == {"h1": 1, "h2": 1}
    roster.remove("a", at(4), 1.0)
    assert roster.listed_by_hall(SERVICE) == {"h2": 1}
