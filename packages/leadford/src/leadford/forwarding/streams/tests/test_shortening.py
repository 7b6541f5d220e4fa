"""A version leaves the record only once no stream of it can be taken up."""

import msgspec

from leadford.forwarding.endpoints import SoftwareVersion
from leadford.forwarding.routes import ServiceId
from leadford.forwarding.streams import (
    MAX_ORIGIN_AGE_S,
    RecordAges,
    RecordedSoftware,
    SeenSoftware,
)
from leadford.forwarding.streams._shortening import GONE_DELAY_S, STALE_LISTING_S

SERVICE = ServiceId("s")
V1, V2 = SoftwareVersion("v1"), SoftwareVersion("v2")
BOTH = RecordedSoftware(SERVICE, frozenset({V1, V2}), wait_s=60.0, is_complete=True)
GONE = BOTH.without_listed(frozenset({V1}))
HORIZON_S = GONE_DELAY_S + 60.0 + STALE_LISTING_S


def seen(*versions):
    return SeenSoftware(SERVICE, frozenset(versions))


def test_a_version_is_recorded_as_gone_and_removed_after_the_longest_wait():
    ages = RecordAges()
    assert ages.shortened(BOTH, seen(V2), 100.0) == BOTH
    assert ages.shortened(BOTH, seen(V2), 104.9) == BOTH
    assert ages.shortened(BOTH, seen(V2), 105.0) == GONE
    assert ages.shortened(GONE, seen(V2), 99.9 + HORIZON_S) == GONE
    ended = ages.shortened(GONE, seen(V2), 100.0 + HORIZON_S)
    assert ended.versions == {V2}
    assert ended.is_complete


def test_an_entry_that_starts_counts_anew_how_long_a_version_is_gone():
    ages = RecordAges()
    assert ages.shortened(GONE, seen(V2), 1_000.0) == GONE
    assert ages.shortened(GONE, seen(V2), 999.9 + HORIZON_S) == GONE


def test_a_version_that_was_listed_in_between_counts_anew():
    ages = RecordAges()
    ages.shortened(BOTH, seen(V2), 100.0)
    ages.shortened(BOTH, seen(V1, V2), 103.0)
    assert ages.shortened(BOTH, seen(V2), 106.0) == BOTH
    assert ages.shortened(BOTH, seen(V2), 111.0) == GONE


def test_an_empty_listing_takes_no_version_away():
    ages = RecordAges()
    for now in (100.0, 1_000.0):
        assert ages.shortened(BOTH, seen(), now) == BOTH


def test_a_record_is_complete_once_all_streams_before_it_have_ended():
    ages = RecordAges()
    record = msgspec.structs.replace(BOTH, is_complete=False)
    other = msgspec.structs.replace(record, routes_key="other")
    until = MAX_ORIGIN_AGE_S + STALE_LISTING_S
    assert ages.shortened(other, seen(V1, V2), 0.0) == other
    # The routes have changed meanwhile.
    assert ages.shortened(record, seen(V1, V2), 100.0) == record
    assert ages.shortened(record, seen(V1, V2), until + 50.0) == record
    assert ages.shortened(record, seen(V1, V2), until + 100.0) == BOTH
