"""A pace joins what an endpoint reports with measurements of this entry and others."""

import math

import pytest

from leadford.common import EntryId
from leadford.forwarding.endpoints import EndpointPace, MeasuredPace
from leadford_standins.records import endpoint_record


def measured_pace(ratio, *, reported=None, count=20, now=0.0):
    pace = EndpointPace()
    for _ in range(count):
        pace.record_reported(reported or 1.0, now)
        pace.record_measured(ratio, now)
    return pace


def test_an_endpoint_without_a_report_has_no_pace():
    record = endpoint_record("e")
    record.record_slowness(3.0, 0.0)
    assert record.pace(0.0) is None
    assert record.work_ratio(0.0) == record.slowness(0.0)
    record.pace_.record_reported(1.5, 0.0)
    assert record.pace(0.1) == pytest.approx(1.5)
    assert record.work_ratio(0.1) == pytest.approx(1.5)


def test_the_own_word_holds_for_a_fraction_of_a_second():
    pace = EndpointPace()
    for _ in range(20):
        pace.record_reported(1.0, 0.0)
    pace.record_reported(2.5, 0.0)
    assert pace.estimate(0.5) == pytest.approx(2.5)
    assert pace.estimate(0.7) < 1.1


@pytest.mark.parametrize("reports_lasting", [False, True])
def test_a_lasting_difference_is_kept_apart_from_the_momentary_one(reports_lasting):
    """An endpoint at 1.7 of the usual time, with noise of 2.5 for a seventh of it.

    Its reports hold the noise alone, or everything.
    """
    pace = EndpointPace()
    for step in range(70):
        now = step * 0.2
        noise = 2.5 if step % 7 == 0 else 1.0
        pace.record_reported(noise * (1.7 if reports_lasting else 1.0), now)
        pace.record_measured(noise * 1.7, now)
    assert pace.estimate(now + 0.1) == pytest.approx(1.7, rel=0.05)
    # The mean of the noise may count, but neither more nor nothing of the rest.
    assert 0.9 * 1.7 < pace.estimate(now + 5.0) < 1.1 * 1.7 * 2.5 ** (1 / 7)
    pace.record_reported(2.5 * (1.7 if reports_lasting else 1.0), now + 5.1)
    assert pace.estimate(now + 5.2) == pytest.approx(1.7 * 2.5, rel=0.1)


def test_a_report_that_includes_the_lasting_difference_does_not_count_twice():
    pace = measured_pace(1.7, reported=1.7)
    assert pace.estimate(0.1) == pytest.approx(1.7)


def test_a_slow_endpoint_without_work_is_tried_again_after_a_while():
    pace = measured_pace(3.0)
    assert pace.estimate(3.0) > 2.3
    assert pace.estimate(300.0) == pytest.approx(1.0, abs=0.05)


def test_an_endpoint_that_has_recovered_is_believed():
    pace = measured_pace(3.0)
    for step in range(40):
        pace.record_reported(1.0, 1.0 + step / 20)
        pace.record_measured(1.0, 1.0 + step / 20)
    assert pace.estimate(3.0) < 1.1


def test_overdue_work_counts_more_than_the_word_and_fades():
    pace = measured_pace(1.0)
    pace.record_overdue(5.0, 0.1)
    assert pace.estimate(0.1) == pytest.approx(5.0)
    assert 2.0 < pace.estimate(2.1) < 2.5
    pace.record_reported(1.0, 2.2)
    assert pace.estimate(2.2) == pytest.approx(1.0)


def test_reports_of_others_count_until_they_expire():
    pace = EndpointPace()
    for number in range(3):
        peer = MeasuredPace(1.7, 20, 10.0 + number / 10)
        assert pace.record_peer(EntryId(f"n{number}"), peer)
    assert pace.is_reported_
    assert pace.estimate(11.0) == pytest.approx(1.7, rel=0.02)
    assert pace.age_s(11.0) == pytest.approx(0.8)
    assert pace.estimate(13.3) == 1.0
    assert pace.measured_by_peer_ == {}
    assert pace.age_s(13.3) == pytest.approx(3.1)


def test_an_older_entry_does_not_outweigh_what_all_others_measured():
    pace = measured_pace(1.0, now=10.0)
    for number in range(3):
        pace.record_peer(EntryId(f"n{number}"), MeasuredPace(1.0, 20, 10.0))
    pace.record_peer(EntryId("odd"), MeasuredPace(100.0, 10**9, 10.0))
    assert pace.estimate(10.1) < 3.0


@pytest.mark.parametrize(
    ("ratio", "samples", "measured_at"),
    [
        (0.0, 3, 1.0),
        (-1.0, 3, 1.0),
        (1e9, 3, 1.0),
        (math.nan, 3, 1.0),
        (math.inf, 3, 1.0),
        (1.5, 0, 1.0),
        (1.5, 3, -math.inf),
        (1.5, 3, math.nan),
    ],
)
def test_absurd_reports_of_others_change_nothing(ratio, samples, measured_at):
    pace = EndpointPace()
    peer = MeasuredPace(ratio, samples, measured_at)
    assert not pace.record_peer(EntryId("n"), peer)
    assert not pace.is_reported_
    assert pace.estimate(1.0) == 1.0


def test_an_estimate_stays_within_bounds():
    pace = measured_pace(1e9, reported=100.0)
    assert pace.estimate(0.1) <= 100.0
    pace = measured_pace(1e-9, reported=0.05)
    assert pace.estimate(0.1) >= 0.05
