"""The roster stays correct when the store is restored from a copy.

The copy is some seconds old: it lists endpoints that were removed after it was made,
and lacks those that were listed after it. The restored store reuses revisions.
"""

import pytest

from leadford.common import EndpointId, HallId
from leadford.forwarding.endpoints import (
    EndpointAddress,
    EndpointRoster,
    ListedEndpoint,
    ListedState,
)
from leadford.forwarding.history import StoreEpoch, StorePosition
from leadford.forwarding.routes import ServiceId

SERVICE = ServiceId("s")
BEFORE, AFTER = StoreEpoch(1), StoreEpoch(2)
DRAINING = ListedState.DRAINING
EXPIRY_S = 4.8


def listed(name, revision, state=ListedState.READY, *, epoch=BEFORE, **fields):
    return ListedEndpoint(
        endpoint_id=EndpointId(name),
        service_id=SERVICE,
        address=EndpointAddress("10.0.0.1:80"),
        hall=HallId("h"),
        state=state,
        slots=4,
        revision=revision,
        epoch=epoch,
        **fields,
    )


def at(revision, epoch=BEFORE):
    return StorePosition(epoch, revision)


def used(roster, now=10.0):
    return {record.listed.endpoint_id for record in roster.usable(SERVICE, now)}


@pytest.fixture
def roster():
    """Return a roster of three endpoints, known up to revision 96."""
    known = EndpointRoster(removed_grace_s=2.0, expiry_s=EXPIRY_S)
    known.replace([listed(name, 50 + n) for n, name in enumerate("abc")], at(96), 0.0)
    return known


def test_one_that_leaves_at_a_revision_given_out_again_is_not_used(roster):
    roster.record_listed(listed("a", 95, DRAINING, epoch=AFTER))
    assert used(roster) == {"b", "c"}


def test_one_that_is_removed_at_a_revision_given_out_again_is_not_used(roster):
    roster.record_listed(listed("a", 96))
    roster.replace([listed("a", 50, epoch=AFTER)], at(94, AFTER), 10.0)
    roster.remove("a", at(95, AFTER), 10.0)
    assert "a" not in used(roster, 12.5)


def test_one_that_is_listed_at_a_revision_given_out_again_is_used(roster):
    roster.remove("d", at(96), 0.0)
    roster.record_listed(listed("d", 95, epoch=AFTER))
    assert "d" in used(roster)


def test_a_later_start_without_a_time_is_known_over_the_epochs(roster):
    later = listed("a@2", 40, epoch=AFTER, listed_as="a")
    roster.record_listed(later)
    assert used(roster) == {"a@2", "b", "c"}


def test_one_that_said_it_leaves_stays_leaving_though_the_copy_says_ready(roster):
    roster.record_listed(listed("a", 95, DRAINING))
    roster.replace([listed("a", 50, epoch=AFTER)], at(94, AFTER), 10.0)
    assert "a" not in used(roster)


def test_one_that_leaves_is_known_to_from_an_entry_of_the_epoch_before(roster):
    roster.replace([listed("a", 50, epoch=AFTER)], at(94, AFTER), 10.0)
    roster.record_listed(listed("a", 97, DRAINING))
    assert "a" not in used(roster)


def test_one_that_the_copy_lacks_is_used_until_its_record_is_written_again(roster):
    kept = [listed(n, 50, epoch=AFTER) for n in "ab"]
    roster.replace(kept, at(94, AFTER), 10.0)
    assert used(roster, 11.9) == {"a", "b", "c"}
    assert used(roster, 12.1) == {"a", "b"}
    roster.record_listed(listed("c", 97, epoch=AFTER))
    assert used(roster, 12.2) == {"a", "b", "c"}


def test_one_that_the_copy_lacks_and_that_left_is_not_used(roster):
    roster.record_listed(listed("c", 95, DRAINING))
    roster.replace([listed("a", 50, epoch=AFTER)], at(94, AFTER), 10.0)
    assert "c" not in used(roster)


def test_one_that_was_removed_after_the_copy_was_made_is_not_used_by_mistake(roster):
    roster.remove("a", at(95), 5.0)
    copy = [listed(name, 50 + n, epoch=AFTER) for n, name in enumerate("abc")]
    roster.replace(copy, at(94, AFTER), 10.0)
    assert used(roster) == {"b", "c"}
    # The same listing once more does not change this.
    roster.replace(copy, at(94, AFTER), 12.0)
    assert used(roster, 12.0) == {"b", "c"}


def test_one_that_lapsed_after_the_copy_was_made_and_lives_is_used_again(roster):
    roster.remove("a", at(95), 5.0)
    copy = [listed(name, 50 + n, epoch=AFTER) for n, name in enumerate("abc")]
    roster.replace(copy, at(94, AFTER), 10.0)
    assert used(roster, 10.0 + EXPIRY_S) == {"a", "b", "c"}


def test_one_that_writes_its_record_again_after_the_copy_is_used_at_once(roster):
    roster.remove("a", at(95), 5.0)
    copy = [listed(name, 50 + n, epoch=AFTER) for n, name in enumerate("abc")]
    roster.replace(copy, at(94, AFTER), 10.0)
    roster.record_listed(listed("a", 97, epoch=AFTER))
    assert used(roster) == {"a", "b", "c"}


def test_a_service_that_lapsed_as_a_whole_is_used_as_the_copy_lists_it(roster):
    for name in "abc":
        roster.remove(name, at(95), 5.0)
    copy = [listed(name, 50 + n, epoch=AFTER) for n, name in enumerate("abc")]
    roster.replace(copy, at(94, AFTER), 10.0)
    assert used(roster) == {"a", "b", "c"}


def test_a_listing_of_the_epoch_before_brings_nothing_back(roster):
    roster.replace([listed("a", 50, epoch=AFTER)], at(94, AFTER), 10.0)
    roster.replace([listed(n, 50) for n in "abcd"], at(99), 20.0)
    assert used(roster, 20.0) == {"a"}
    assert roster.changed_position_ == at(94, AFTER)


def test_a_listing_of_a_copy_makes_no_endpoint_cold_again(roster):
    record = roster.record(EndpointId("a"))
    record.record_listed_cold(listed("a", 50, cold_ms=4_000.0), 0.0)
    again = listed("a", 50, epoch=AFTER, cold_ms=4_000.0)
    record.record_listed_cold(again, 100.0)
    assert not record.is_cold(101.0)
