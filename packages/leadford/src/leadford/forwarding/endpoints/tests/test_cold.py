"""All entries together send a cold endpoint no more requests than it can serve."""

import pytest

from leadford.common import EndpointId, EntryId, HallId
from leadford.forwarding.endpoints import (
    ColdEndpoints,
    EndpointAddress,
    EndpointRecord,
    ListedEndpoint,
    ListedState,
)
from leadford.forwarding.routes import ColdLimits, ServiceId

COLD = ColdLimits(per_s=9.0, lasts_s=3.0)


def cold_record(*, cold_ms=3_000.0, revision=1, name="i"):
    listed = ListedEndpoint(
        endpoint_id=EndpointId(name),
        service_id=ServiceId("s"),
        address=EndpointAddress("10.0.0.1:80"),
        hall=HallId("h"),
        state=ListedState.READY,
        slots=4,
        cold_ms=cold_ms,
        revision=revision,
    )
    record = EndpointRecord(listed=listed)
    record.record_listed_cold(listed, 10.0)
    return record


def fleet(count):
    ids = {EntryId(f"entry-{number}") for number in range(count)}
    entries = [ColdEndpoints(entry_id=entry_id) for entry_id in sorted(ids)]
    for entry in entries:
        entry.set_entries(ids)
    return entries


def sent_in_a_second(entries, record, began_at):
    """Return how many requests all entries may send to an endpoint in a second."""
    sent = 0
    for step in range(100):
        now = began_at + step / 100.0
        for entry in entries:
            while entry.may_use(record, COLD, now):
                entry.record_sent(record, COLD, now)
                sent += 1
    return sent


@pytest.mark.parametrize("count", [1, 3, 12, 30, 350])
def test_all_entries_together_keep_to_what_a_cold_endpoint_bears(count):
    entries = fleet(count)
    record = cold_record()
    for began_at in (10.0, 11.5):
        sent = sent_in_a_second(entries, record, began_at)
        assert COLD.per_s * 0.8 <= sent <= COLD.per_s * 1.5


def test_many_cold_endpoints_are_shared_out_over_the_entries():
    entries = fleet(30)
    records = [cold_record(name=f"i-{number}") for number in range(28)]
    for entry in entries:
        usable = [record for record in records if entry.may_use(record, COLD, 10.0)]
        # Each endpoint is shared by four entries, so most entries have several.
        assert len(usable) < 14
    assert all(
        any(entry.may_use(record, COLD, 10.0) for entry in entries)
        for record in records
    )


def test_a_warm_endpoint_and_one_without_bounds_are_not_held_back():
    (entry,) = fleet(1)
    for record, limits in (
        (cold_record(cold_ms=0.0), COLD),
        (cold_record(), None),
        (cold_record(), ColdLimits(0.0, 3.0)),
    ):
        for _ in range(50):
            assert entry.may_use(record, limits, 10.0)
            entry.record_sent(record, limits, 10.0)


def test_cold_ends_when_its_time_is_over():
    (entry,) = fleet(1)
    record = cold_record(cold_ms=500.0)
    entry.record_sent(record, COLD, 10.0)
    assert not entry.may_use(record, COLD, 10.01)
    assert entry.may_use(record, COLD, 10.6)


def test_a_listing_that_is_told_again_does_not_make_its_endpoint_cold_again():
    record = cold_record(cold_ms=500.0, revision=4)
    record.record_listed_cold(record.listed, 20.0)
    assert not record.is_cold(20.1)
    # An endpoint that is cold again gets a new listing.
    again = cold_record(cold_ms=500.0, revision=5).listed
    record.record_listed_cold(again, 20.0)
    assert record.is_cold(20.1)
