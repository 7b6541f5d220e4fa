"""Shares of the fleet's limits follow callers that go to one entry, and go back."""

import pytest

from leadford.common import EntryId
from leadford.forwarding.endpoints import BusiestEntry
from leadford.forwarding.membership import LoadShares, ReportedRates, RequestRate

ENTRIES = [EntryId(f"entry-{number}") for number in range(10)]


def rates(*per_s, at=0.0):
    found = ReportedRates()
    for entry_id, rate in zip(ENTRIES, per_s, strict=False):
        found.record(entry_id, rate, at)
    return found


def test_the_rate_follows_a_change_within_a_few_seconds():
    rate = RequestRate()
    for number in range(500):
        rate.record_request(number * 0.1)
    assert rate.per_s(50.0) == pytest.approx(10.0, rel=0.1)
    assert rate.per_s(53.0) < 1.0
    for number in range(120):
        rate.record_request(60.0 + number * 0.025)
    assert rate.per_s(63.0) == pytest.approx(40.0, rel=0.1)


def test_a_rate_is_reported_when_it_has_changed_or_is_old():
    rate = RequestRate()
    assert rate.take_report(0.0) == 0.0
    assert rate.take_report(0.2) is None
    for number in range(20):
        rate.record_request(0.3 + number * 0.01)
    assert rate.take_report(0.5) > 10.0
    assert rate.take_report(0.52) is None
    assert rate.take_report(4.0) < 1.0
    assert rate.take_report(8.0) is None
    assert rate.take_report(9.1) is not None


@pytest.mark.parametrize(
    ("per_s", "busiest"),
    [
        ((10.0,) * 10, None),
        ((20.0,) + (10.0,) * 9, None),
        ((50.0,) + (1.0,) * 9, (ENTRIES[0], 50.0 / 59.0)),
        # The others always keep a part.
        ((0.1,) * 9 + (60.0,), (ENTRIES[9], 0.9)),
        # One hall of four goes to one entry.
        ((0.5, 0.5, 24.0) + (10.0,) * 7, None),
        ((0.5, 0.5, 40.0) + (8.0,) * 7, (ENTRIES[2], 40.0 / 97.0)),
        # Too few requests to tell.
        ((3.0,) + (0.0,) * 9, None),
    ],
)
def test_the_busiest_entry_is_named_only_if_it_has_much_more_than_others(
    per_s, busiest
):
    found = rates(*per_s).busiest(len(ENTRIES), now=1.0)
    if busiest is None:
        assert found is None
        return
    assert found.entry_id == busiest[0]
    assert found.fraction == pytest.approx(busiest[1])


def test_an_entry_that_is_alone_has_all_of_each_limit():
    assert rates(50.0).busiest(1, now=1.0) is None
    assert rates(50.0).busiest(2, now=1.0) is not None


def test_reports_that_are_old_or_of_a_lost_entry_count_for_nothing():
    found = rates(50.0, *(1.0,) * 9)
    assert found.busiest(10, now=11.0) is not None
    assert found.busiest(10, now=13.0) is None
    found.record(ENTRIES[1], 30.0, 14.0)
    found.forget(ENTRIES[1])
    assert found.busiest(10, now=14.0) is None


def test_the_shares_of_all_entries_add_up_to_the_whole():
    busiest = BusiestEntry(ENTRIES[3], 0.8)
    shares = []
    for entry_id in ENTRIES:
        known = LoadShares(entry_id=entry_id)
        known.record(busiest, 5.0)
        shares.append(known.share(len(ENTRIES), 6.0))
    assert sum(shares) == pytest.approx(1.0)
    assert max(shares) == shares[3] == pytest.approx(0.45)
    # Each entry keeps half of an equal share for what still comes to it.
    assert min(shares) >= 0.05


def test_a_fraction_that_hardly_differs_changes_no_share():
    known = LoadShares(entry_id=ENTRIES[0])
    told = [BusiestEntry(ENTRIES[0], fraction) for fraction in (0.7, 0.78, 0.66, 0.9)]
    shares = []
    for number, busiest in enumerate(told):
        known.record(busiest, number * 0.3)
        shares.append(known.share(10, number * 0.3))
    assert shares == pytest.approx([0.4, 0.4, 0.4, 0.5])


def test_shares_are_equal_again_without_news():
    known = LoadShares(entry_id=ENTRIES[0])
    assert known.share(10, 0.0) == pytest.approx(0.1)
    known.record(BusiestEntry(ENTRIES[0], 1.0), 5.0)
    assert known.share(10, 6.0) == pytest.approx(0.55)
    # As soon as news of it is missing twice.
    assert known.share(10, 7.5) == pytest.approx(0.1)
    assert known.share(1, 7.5) == 1.0
