"""Evacuated halls get no new work, whatever the order in which notices arrive."""

from hypothesis import given, strategies as st

from leadford.common import EndpointId, HallId
from leadford.forwarding.endpoints import (
    EndpointAddress,
    EndpointRoster,
    EvacuatedHalls,
    HallNotice,
    ListedEndpoint,
    ListedState,
)
from leadford.forwarding.history import FIRST_EPOCH, StoreEpoch, StorePosition
from leadford.forwarding.routes import ServiceId


def at(revision):
    return StorePosition(FIRST_EPOCH, revision)


SERVICE = ServiceId("s")
HALL = HallId("h")


def notice(revision, is_evacuated=True, hall=HALL):
    return HallNotice(HallId(hall), revision, is_evacuated)


def roster_with_two_halls(halls=None):
    roster = EndpointRoster(halls=halls)
    for number, hall in enumerate(("h", "other")):
        roster.record_listed(
            ListedEndpoint(
                endpoint_id=EndpointId(hall),
                service_id=SERVICE,
                address=EndpointAddress("10.0.0.1:80"),
                hall=HallId(hall),
                state=ListedState.READY,
                slots=4,
                revision=number,
            )
        )
    return roster


def usable_ids(roster):
    return {record.listed.endpoint_id for record in roster.usable(SERVICE, 100.0)}


def test_an_evacuated_hall_gets_no_new_work_until_it_is_given_back():
    roster = roster_with_two_halls()
    chosen_before = roster.record(EndpointId("h"))
    assert roster.halls_.record(notice(5))
    assert usable_ids(roster) == {"other"}
    assert roster.usable_by_hall(SERVICE, 0.0) == {"other": 1}
    assert not roster.is_usable(chosen_before, 0.0)
    assert roster.halls_.record(notice(6, False))
    assert usable_ids(roster) == {"h", "other"}
    assert roster.is_usable(chosen_before, 0.0)


def test_endpoints_that_a_store_forgot_are_not_used_in_an_evacuated_hall():
    roster = roster_with_two_halls()
    roster.halls_.record(notice(5))
    roster.outage_.record_failed_call(99.0, 60.0, 99.0)
    for endpoint_id in ("h", "other"):
        roster.remove(EndpointId(endpoint_id), at(6), 100.0)
    assert usable_ids(roster) == {"other"}


def test_nothing_is_used_before_it_is_known_which_halls_are_evacuated():
    roster = roster_with_two_halls(EvacuatedHalls(is_known=False))
    assert usable_ids(roster) == set()
    assert not roster.is_usable(roster.record(EndpointId("other")), 0.0)
    roster.halls_.replace([notice(5)], at(7), 0.0)
    assert usable_ids(roster) == {"other"}


def test_the_end_of_an_evacuation_may_bear_its_last_revision():
    halls = EvacuatedHalls()
    halls.record(notice(5))
    assert halls.record(notice(5, False))
    # From a peer that has not heard of the end.
    assert not halls.record(notice(5))
    assert not halls.is_evacuated(HALL)
    assert halls.record(notice(6))


def test_a_listing_ends_evacuations_that_it_does_not_hold_unless_they_are_newer():
    halls = EvacuatedHalls()
    halls.record(notice(5))
    halls.record(notice(9, hall="newer"))
    changed = halls.replace([], at(7), 0.0)
    assert changed == [notice(7, False)]
    assert not halls.is_evacuated(HALL)
    assert halls.is_evacuated(HallId("newer"))


@given(st.permutations([notice(3), notice(3, False), notice(8), notice(8, False)]))
def test_the_order_in_which_notices_arrive_decides_nothing(notices):
    halls = EvacuatedHalls()
    for told in notices:
        halls.record(told)
    assert halls.notices() == [notice(8, False)]


def test_only_ended_evacuations_are_forgotten():
    halls = EvacuatedHalls()
    halls.record(notice(1, hall="kept"))
    for number in range(2_100):
        halls.record(notice(2, False, hall=f"hall-{number}"))
    assert len(halls.notices()) == 2_000
    assert halls.is_evacuated(HallId("kept"))


def restored(revision):
    return StorePosition(StoreEpoch(1), revision)


def test_a_hall_that_is_evacuated_at_a_revision_given_out_again_gets_no_work():
    halls = EvacuatedHalls()
    halls.record(notice(95))
    halls.record(notice(96, False))
    assert halls.record(notice(95).in_epoch(StoreEpoch(1)))
    assert halls.is_evacuated(HALL)


def test_a_hall_whose_evacuation_the_copy_lacks_stays_evacuated_for_a_while():
    halls = EvacuatedHalls()
    halls.record(notice(95))
    assert halls.replace([], restored(94), 10.0) == []
    assert halls.replace([], restored(94), 12.0) == []
    assert halls.end_lost_evacuations(15.9) == []
    assert halls.is_evacuated(HALL)
    assert [n.is_evacuated for n in halls.end_lost_evacuations(16.0)] == [False]
    assert not halls.is_evacuated(HALL)


def test_an_evacuation_that_the_operator_writes_again_holds_on():
    halls = EvacuatedHalls()
    halls.record(notice(95))
    halls.replace([], restored(94), 10.0)
    halls.record(notice(97).in_epoch(StoreEpoch(1)))
    assert halls.end_lost_evacuations(30.0) == []
    assert halls.is_evacuated(HALL)


def test_a_hall_that_is_given_back_after_the_restoration_gets_work():
    halls = EvacuatedHalls()
    halls.record(notice(95))
    halls.replace([notice(50).in_epoch(StoreEpoch(1))], restored(94), 10.0)
    assert [n.hall for n in halls.replace([], restored(99), 11.0)] == [HALL]
    assert not halls.is_evacuated(HALL)
