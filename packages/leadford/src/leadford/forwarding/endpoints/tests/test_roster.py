"""Listings are merged in the order of their revisions, whatever their arrival order."""

import msgspec
import pytest
from hypothesis import given, strategies as st

from leadford.common import EndpointId, HallId
from leadford.forwarding.endpoints import (
    EndpointAddress,
    EndpointFailure,
    EndpointRoster,
    ListedEndpoint,
    ListedState,
    ReportedLoad,
    SoftwareVersion,
)
from leadford.forwarding.endpoints._roster import DRAIN_MARGIN_S
from leadford.forwarding.history import FIRST_EPOCH, StorePosition
from leadford.forwarding.membership import max_confirmation_age_s
from leadford.forwarding.membership._watch import ANSWER_RESERVE_S
from leadford.forwarding.routes import ServiceId


def at(revision):
    return StorePosition(FIRST_EPOCH, revision)


SERVICE = ServiceId("s")


def listed(name, revision, state=ListedState.READY, hall="h"):
    return ListedEndpoint(
        endpoint_id=EndpointId(name),
        service_id=SERVICE,
        address=EndpointAddress("10.0.0.1:80"),
        hall=HallId(hall),
        state=state,
        slots=4,
        revision=revision,
    )


def built(endpoint, software):
    return msgspec.structs.replace(endpoint, software=SoftwareVersion(software))


def software(roster, name="a"):
    return roster.record(EndpointId(name)).listed.known_software


def names(roster):
    return {record.listed.endpoint_id for record in roster.usable(SERVICE, 100.0)}


def test_draining_and_gone_take_no_new_work():
    roster = EndpointRoster()
    roster.record_listed(listed("a", 1))
    roster.record_listed(listed("b", 2))
    assert names(roster) == {"a", "b"}
    change = roster.record_listed(listed("a", 3, ListedState.DRAINING))[0]
    assert (change.before, change.after) == ("ready", "draining")
    assert names(roster) == {"b"}
    roster.remove(EndpointId("b"), at(4), 0.0)
    assert names(roster) == set()


def test_an_old_listing_brings_nothing_back():
    roster = EndpointRoster()
    roster.record_listed(listed("a", 5, ListedState.DRAINING))
    roster.record_listed(listed("a", 4))
    assert names(roster) == set()
    roster.remove(EndpointId("a"), at(6), 0.0)
    roster.replace([listed("a", 5)], at(5), 0.0)
    assert names(roster) == set()
    # Each start draws a new id, so the endpoint with this id is still leaving.
    roster.record_listed(listed("a", 7))
    assert names(roster) == set()


def test_one_that_was_removed_by_mistake_is_used_again():
    roster = EndpointRoster()
    roster.record_listed(listed("a", 5))
    roster.remove(EndpointId("a"), at(6), 0.0)
    roster.replace([listed("a", 5)], at(5), 0.0)
    assert names(roster) == set()
    roster.record_listed(listed("a", 7))
    assert names(roster) == {"a"}


def test_a_whole_listing_removes_what_it_does_not_hold():
    roster = EndpointRoster()
    roster.record_listed(listed("a", 1))
    roster.record_listed(listed("b", 9))
    roster.replace([], at(5), 0.0)
    # An endpoint that was listed after this listing was made stays.
    assert names(roster) == {"b"}
    assert roster.changed_position_ == at(9)


def lose_store(roster, now):
    """Let a call for the listing fail now, long after the last confirmation."""
    roster.outage_.record_failed_call(now, now - 60.0, now)


def usable(roster, now):
    return {record.listed.endpoint_id for record in roster.usable(SERVICE, now)}


def test_most_of_a_service_that_goes_at_once_is_used_for_a_short_while():
    roster = EndpointRoster(removed_grace_s=1.0)
    for number, name in enumerate("abcd"):
        roster.record_listed(listed(name, number + 1))
    roster.record_listed(listed("d", 5, ListedState.DRAINING))
    lose_store(roster, 9.0)
    roster.replace([], at(9), 10.0)
    # After a store outage; the endpoint that said it leaves is not used.
    assert usable(roster, 10.5) == {"a", "b", "c"}
    roster.record_listed(listed("a", 10))
    assert usable(roster, 10.5) == {"a", "b", "c"}
    roster.record_listed(listed("b", 11))
    assert usable(roster, 10.5) == {"a", "b"}
    assert usable(roster, 11.1) == {"a", "b"}


@pytest.mark.parametrize("count", [1, 2, 3, 8])
def test_a_service_that_goes_in_several_answers_keeps_at_least_half(count):
    roster = EndpointRoster(removed_grace_s=2.0)
    for number in range(count):
        roster.record_listed(listed(str(number), number + 1))
    lose_store(roster, 9.0)
    for number in range(count):
        now = 10.0 + number * 0.2
        roster.remove(EndpointId(str(number)), at(100 + number), now)
        assert len(usable(roster, now)) * 2 >= count
    assert len(usable(roster, now)) == count
    # An endpoint that is not listed again in time is gone, whatever the others do.
    assert "0" not in usable(roster, 12.0)
    assert usable(roster, now + 2.0) == set()


def test_one_that_goes_alone_gets_nothing_more():
    roster = EndpointRoster(removed_grace_s=1.0)
    for number, name in enumerate("abc"):
        roster.record_listed(listed(name, number + 1))
    lose_store(roster, 9.0)
    roster.remove(EndpointId("a"), at(4), 10.0)
    assert usable(roster, 10.0) == {"b", "c"}


def test_one_that_said_it_leaves_takes_no_new_work_whatever_is_listed_later():
    """A leaving endpoint stays draining when a later revision lists it as ready.

    A write that the store applies long after it was sent lists the endpoint as ready
    again. If the state with the highest revision counted, the endpoint would get
    requests long after it said that it leaves.
    """
    roster = EndpointRoster(removed_grace_s=1.0)
    roster.record_listed(listed("a", 1))
    roster.record_listed(listed("a", 2, ListedState.DRAINING))
    lose_store(roster, 9.0)
    roster.record_listed(listed("a", 3))
    assert usable(roster, 10.0) == set()
    assert [endpoint.state for endpoint in roster.listed()] == [ListedState.DRAINING]
    roster.remove(EndpointId("a"), at(4), 10.0)
    assert usable(roster, 10.0) == set()


def test_one_that_said_it_leaves_takes_no_new_work_after_its_entry_was_made_again():
    """A leaving endpoint stays draining when it is listed again after its removal.

    The endpoint is listed as draining, removed, and listed as ready at a later revision
    by a write that the store applies long after it was sent. If the state with the
    highest revision counted, the endpoint would get requests long after it said that
    it leaves.
    """
    roster = EndpointRoster(removed_grace_s=1.0)
    roster.record_listed(listed("a", 1))
    roster.record_listed(listed("a", 2, ListedState.DRAINING))
    lose_store(roster, 9.0)
    roster.remove(EndpointId("a"), at(4), 10.0)
    roster.record_listed(listed("a", 5))
    assert usable(roster, 10.0) == set()


def test_one_that_an_older_listing_says_to_leave_takes_no_new_work():
    """An older listing that says that an endpoint is draining is not ignored.

    The endpoint is listed as ready and removed with its whole service; only then an
    older listing from a peer says that it was draining. If older revisions were ignored
    altogether, the endpoint would get requests after this process read that it leaves.
    """
    roster = EndpointRoster(removed_grace_s=1.0)
    roster.record_listed(listed("a", 1))
    lose_store(roster, 9.0)
    roster.remove(EndpointId("a"), at(9), 10.0)
    assert usable(roster, 10.0) == {"a"}
    roster.record_listed(listed("a", 2, ListedState.DRAINING))
    assert usable(roster, 10.0) == set()


def test_one_that_comes_back_in_the_same_answer_is_used():
    roster = EndpointRoster()
    roster.record_listed(listed("a", 1))
    roster.remove(EndpointId("a"), at(1), 10.0, seen_at=at(3))
    roster.record_listed(listed("a", 1))
    assert names(roster) == set()
    roster.record_listed(listed("a", 3))
    assert names(roster) == {"a"}
    assert roster.changed_position_ == at(3)


def test_a_record_that_comes_back_keeps_what_was_learned():
    roster = EndpointRoster()
    roster.record_listed(listed("a", 1))
    roster.record(EndpointId("a")).record_success(20.0)
    roster.remove(EndpointId("a"), at(2), 10.0)
    roster.record_listed(listed("a", 3))
    assert roster.record(EndpointId("a")).latency_ms_.count_ == 1


@given(st.permutations(range(6)))
def test_the_order_of_arrival_does_not_matter(order):
    events = [
        lambda r: r.record_listed(listed("a", 1)),
        lambda r: r.record_listed(listed("a", 2, ListedState.DRAINING)),
        lambda r: r.remove(EndpointId("a"), at(3), 0.0),
        lambda r: r.record_listed(listed("b", 4)),
        lambda r: r.remove(EndpointId("b"), at(5), 0.0),
        lambda r: r.record_listed(listed("b", 6)),
    ]
    roster = EndpointRoster()
    for number in order:
        events[number](roster)
    assert names(roster) == {"b"}


def test_suspicion_grows_and_expires():
    roster = EndpointRoster()
    roster.record_listed(listed("a", 1))
    record = roster.record(EndpointId("a"))
    record.record_failure(10.0, EndpointFailure.ERROR_STATUS)
    assert not record.is_suspect(10.0)
    record.record_failure(10.0, EndpointFailure.ERROR_STATUS)
    assert record.is_suspect(10.1)
    assert not record.is_suspect(12.0)
    record.record_failure(20.0, EndpointFailure.LOST)
    record.record_success(5.0)
    assert not record.is_suspect(20.0)


def test_load_of_other_processes_is_what_a_fresh_report_has_beyond_ours():
    roster = EndpointRoster()
    roster.record_listed(listed("a", 1))
    record = roster.record(EndpointId("a"))
    record.record_load(ReportedLoad(running=3, waiting=2, slots=4), 10.0)
    record.in_flight_ = 1
    assert record.other_load(10.5) == 4
    assert record.other_load(13.0) == 0


def test_one_that_says_itself_that_it_leaves_takes_no_new_work_whatever_is_listed():
    roster = EndpointRoster(removed_grace_s=1.0)
    roster.record_listed(listed("a", 1))
    lose_store(roster, 9.0)
    roster.record_leaving(EndpointId("a"))
    assert usable(roster, 10.0) == set()
    roster.record_listed(listed("a", 2))
    assert usable(roster, 10.0) == set()
    roster.remove(EndpointId("a"), at(3), 10.0)
    roster.record_listed(listed("a", 4))
    assert usable(roster, 10.0) == set()


def test_one_that_was_just_removed_and_says_that_it_leaves_is_not_used():
    roster = EndpointRoster(removed_grace_s=1.0)
    roster.record_listed(listed("a", 1))
    lose_store(roster, 9.0)
    roster.remove(EndpointId("a"), at(2), 10.0)
    assert usable(roster, 10.1) == {"a"}
    roster.record_leaving(EndpointId("a"))
    assert usable(roster, 10.1) == set()


def test_a_listing_without_software_does_not_hide_what_the_same_listing_said():
    roster = EndpointRoster()
    roster.record_listed(built(listed("a", 3), "v1"))
    roster.record_listed(listed("a", 3))
    assert software(roster) == "v1"


def test_the_software_of_a_listing_that_came_without_it_is_filled_in():
    roster = EndpointRoster()
    roster.record_listed(listed("a", 3))
    assert software(roster) is None
    roster.record_listed(built(listed("a", 3), "v1"))
    assert software(roster) == "v1"


def test_software_is_not_taken_over_from_an_earlier_listing():
    roster = EndpointRoster()
    roster.record_listed(built(listed("a", 3), "v1"))
    roster.record_listed(listed("a", 4))
    assert software(roster) is None
    roster.record_listed(built(listed("a", 4), "v2"))
    assert software(roster) == "v2"


def test_other_software_under_the_same_id_is_told_as_another_endpoint():
    roster = EndpointRoster()
    roster.record_listed(built(listed("a", 3), "v1"))
    gone, started = roster.record_listed(built(listed("a", 4), "v2"))
    assert (gone.is_gone, gone.software) == (True, "v1")
    assert (started.is_gone, started.software) == (False, "v2")
    assert roster.listed_software(SERVICE) == {"v2"}
    assert roster.listed_software(ServiceId("other")) == set()


@pytest.mark.parametrize("drain_s", [1.0, 2.0, 3.0, 5.0])
def test_no_removed_endpoint_gets_requests_after_its_drain_period(drain_s):
    """How late a removal is learned and how long it is ignored share one budget.

    An entry that learns of a removal as late as it may, and then goes on to use the
    endpoint, sends requests to an endpoint that has ended.
    """
    learned_s = max_confirmation_age_s(drain_s) + ANSWER_RESERVE_S
    roster = EndpointRoster.from_drain_period(drain_s, 1.2)
    for number, name in enumerate("abc"):
        roster.record_listed(listed(name, number + 1))
    for name in "ab":
        roster.remove(EndpointId(name), at(9), 10.0 + learned_s)
    assert learned_s <= drain_s
    assert usable(roster, 10.0 + learned_s) == {"c"}


@pytest.mark.parametrize("drain_s", [1.0, 2.0, 3.0, 5.0])
def test_in_an_outage_removed_endpoints_are_used_for_less_than_a_drain_period(drain_s):
    """The time in use after the removal was learned leaves time for the last requests.

    An entry that itself has read that endpoints are gone would otherwise send them
    requests until they end.
    """
    roster = EndpointRoster.from_drain_period(drain_s, 1.2)
    for number, name in enumerate("abc"):
        roster.record_listed(listed(name, number + 1))
    lose_store(roster, 9.0)
    for name in "ab":
        roster.remove(EndpointId(name), at(9), 10.0)
    used_s = roster.removed_.removed_grace_s
    assert used_s + DRAIN_MARGIN_S <= drain_s
    assert usable(roster, 10.0 + 0.9 * used_s) == {"a", "b", "c"}
    assert usable(roster, 10.01 + used_s) == {"c"}


@pytest.mark.parametrize("late_s", [0.0, 2.9, 3.1])
def test_an_outage_explains_removals_until_the_store_has_answered_for_some_time(late_s):
    """A removal long after an outage means that the endpoint leaves.

    The outage may have ended as soon as the call that failed was made.
    """
    roster = EndpointRoster.from_drain_period(2.0, 1.2, outage_effect_s=3.0)
    roster.record_listed(listed("a", 1))
    roster.outage_.record_failed_call(8.0, 6.5, 10.0)
    roster.remove(EndpointId("a"), at(2), 8.0 + late_s)
    assert usable(roster, 8.0 + late_s) == ({"a"} if late_s < 3.0 else set())


@pytest.mark.parametrize("unconfirmed_s", [1.5, 2.3])
def test_a_failed_call_explains_no_removal_if_no_record_can_have_lapsed(unconfirmed_s):
    """A watch that is cut off while the store answers is no outage."""
    roster = EndpointRoster.from_drain_period(2.0, 1.2)
    roster.record_listed(listed("a", 1))
    roster.outage_.record_failed_call(9.0, 10.0 - unconfirmed_s, 10.0)
    roster.remove(EndpointId("a"), at(2), 10.0)
    assert usable(roster, 10.0) == set()
