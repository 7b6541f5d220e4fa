"""Listings join in the order of their revisions, whatever order they arrive in."""

from hypothesis import given, strategies as st

from leadford.common import EndpointId, HallId
from leadford.endpoints import (
    EndpointAddress,
    EndpointRoster,
    ListedEndpoint,
    ListedState,
    ReportedLoad,
)
from leadford.forwarding import ServiceId

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


def names(roster):
    return {record.listed.endpoint_id for record in roster.usable(SERVICE)}


def test_draining_and_gone_take_no_new_work():
    roster = EndpointRoster()
    roster.put(listed("a", 1))
    roster.put(listed("b", 2))
    assert names(roster) == {"a", "b"}
    change = roster.put(listed("a", 3, ListedState.DRAINING))[0]
    assert (change.before, change.after) == ("ready", "draining")
    assert names(roster) == {"b"}
    roster.remove(EndpointId("b"), 4)
    assert names(roster) == set()


def test_an_old_listing_brings_nothing_back():
    roster = EndpointRoster()
    roster.put(listed("a", 5, ListedState.DRAINING))
    roster.put(listed("a", 4))
    assert names(roster) == set()
    roster.remove(EndpointId("a"), 6)
    roster.replace([listed("a", 5)], 5)
    assert names(roster) == set()
    roster.put(listed("a", 7))
    assert names(roster) == {"a"}


def test_a_whole_listing_removes_what_it_does_not_hold():
    roster = EndpointRoster()
    roster.put(listed("a", 1))
    roster.put(listed("b", 9))
    roster.replace([], 5)
    # What was listed after this listing was made stays.
    assert names(roster) == {"b"}
    assert roster.changed_revision_ == 9


@given(st.permutations(range(6)))
def test_the_order_of_arrival_does_not_matter(order):
    events = [
        lambda r: r.put(listed("a", 1)),
        lambda r: r.put(listed("a", 2, ListedState.DRAINING)),
        lambda r: r.remove(EndpointId("a"), 3),
        lambda r: r.put(listed("b", 4)),
        lambda r: r.remove(EndpointId("b"), 5),
        lambda r: r.put(listed("b", 6)),
    ]
    roster = EndpointRoster()
    for number in order:
        events[number](roster)
    assert names(roster) == {"b"}


def test_suspicion_grows_and_expires():
    roster = EndpointRoster()
    roster.put(listed("a", 1))
    record = roster.record(EndpointId("a"))
    record.note_failure(10.0, heavy=False)
    assert not record.is_suspect(10.0)
    record.note_failure(10.0, heavy=False)
    assert record.is_suspect(10.1)
    assert not record.is_suspect(12.0)
    record.note_failure(20.0, heavy=True)
    record.note_success(5.0)
    assert not record.is_suspect(20.0)


def test_load_of_other_processes_is_what_a_fresh_report_has_beyond_ours():
    roster = EndpointRoster()
    roster.put(listed("a", 1))
    record = roster.record(EndpointId("a"))
    record.note_load(ReportedLoad(running=3, waiting=2, slots=4), 10.0)
    record.in_flight_ = 1
    assert record.waiting_elsewhere(10.5) == 4
    assert record.waiting_elsewhere(13.0) == 0
