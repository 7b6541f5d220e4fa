"""Pieces go to the group with the least wait; entries near it schedule it."""

from leadford.common import EntryId, HallId
from leadford.forwarding.batching import (
    GroupId,
    GroupLoad,
    GroupTable,
    PlaceId,
    RegionMap,
    schedulers_in_order,
)
from leadford.forwarding.batching.tests.conftest import piece_limits
from leadford.forwarding.routes import ServiceId

LIMITS = piece_limits()
SERVICE = ServiceId("s")


def test_schedulers_are_near_and_the_same_for_everybody():
    halls = {EntryId(f"n{n}"): HallId("h" if n < 2 else "g") for n in range(5)}
    group = GroupId(SERVICE, PlaceId("h"))
    order = schedulers_in_order(group, halls, RegionMap())
    assert set(order[:2]) == {"n0", "n1"}
    assert order == schedulers_in_order(
        group, dict(reversed(halls.items())), RegionMap()
    )
    del halls[order[0]]
    assert schedulers_in_order(group, halls, RegionMap())[0] == order[1]


def test_the_group_with_the_least_wait_is_chosen_and_moved_bytes_count():
    table = GroupTable()
    near, far = GroupId(SERVICE, PlaceId("h")), GroupId(SERVICE, PlaceId("g"))

    def choose(moved):
        return table.choose(
            {near: 1, far: 1},
            LIMITS,
            result_bytes=1,
            moved_bytes_by_group=moved,
            now=0.0,
        )

    moved = {far: 1_000_000}
    assert choose(moved) == near
    table.record_load(near, GroupLoad(0.2, 100, 0.0))
    assert choose(moved) == near
    table.record_load(near, GroupLoad(2.0, 100, 0.0))
    assert choose(moved) == far
    for _ in range(40):
        table.record_sent(far)
    assert choose(moved) == near


def test_the_halls_of_a_region_are_one_group_unless_it_has_many_endpoints():
    regions = RegionMap(
        {
            HallId("a"): PlaceId("r"),
            HallId("b"): PlaceId("r"),
            HallId("c"): PlaceId("q"),
        }
    )
    few = regions.groups(SERVICE, {HallId("a"): 2, HallId("b"): 1, HallId("c"): 1})
    assert few == {
        "a": GroupId(SERVICE, PlaceId("r")),
        "b": GroupId(SERVICE, PlaceId("r")),
        "c": GroupId(SERVICE, PlaceId("q")),
    }
    many = regions.groups(SERVICE, {HallId("a"): 20, HallId("b"): 20})
    assert many["a"].place == "a" and many["b"].place == "b"
    unknown = regions.groups(SERVICE, {HallId("z"): 1})
    assert unknown["z"].place == "z"


def test_entries_of_a_region_keep_its_group():
    regions = RegionMap({HallId("a"): PlaceId("r"), HallId("b"): PlaceId("r")})
    halls = {EntryId("n1"): HallId("a"), EntryId("n2"): HallId("c")}
    halls[EntryId("n3")] = HallId("b")
    order = schedulers_in_order(GroupId(SERVICE, PlaceId("r")), halls, regions)
    assert set(order[:2]) == {"n1", "n3"}
