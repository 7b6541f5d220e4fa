"""Groups follow from the listed endpoints, and are known anew when these change."""

from leadford.common import EndpointId, HallId
from leadford.forwarding.batching import GroupId, GroupMap, PlaceId, RegionMap
from leadford.forwarding.endpoints import (
    EndpointAddress,
    EndpointRoster,
    ListedEndpoint,
    ListedState,
)
from leadford.forwarding.routes import ServiceId

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
    roster.put(listed("a", "h1"))
    roster.put(listed("b", "h2"))
    assert set(groups.groups(SERVICE).values()) == {GroupId(SERVICE, PlaceId("r"))}
    for number in range(23):
        roster.put(listed(f"c{number}", "h1"))
    assert groups.group(SERVICE, HallId("h1")) == GroupId(SERVICE, PlaceId("h1"))


def test_a_hall_without_a_listing_counts_to_its_region():
    groups = GroupMap(regions=REGIONS, roster=EndpointRoster())
    assert groups.group(SERVICE, HallId("h2")) == GroupId(SERVICE, PlaceId("r"))
    assert groups.group(SERVICE, HallId("h9")) == GroupId(SERVICE, PlaceId("h9"))


def test_only_endpoints_that_take_new_work_are_counted():
    roster = EndpointRoster()
    groups = GroupMap(regions=REGIONS, roster=roster)
    roster.put(listed("a", "h1"))
    roster.put(listed("b", "h2"))
    roster.put(listed("c", "h2", ListedState.DRAINING))
    counts = groups.usable_by_group(SERVICE, 0.0)
    assert counts == {GroupId(SERVICE, PlaceId("r")): 2}
