"""The time between events tells the pace of an engine, not that of its caller."""

import pytest

from leadford.forwarding.endpoints import EventGaps


def gaps_of(reads):
    gaps = EventGaps()
    for began_at, now in reads:
        gaps.record_read(began_at, now)
    return gaps


def test_a_pause_does_not_change_the_usual_gap():
    ends = [0.1, 0.12, 0.14, 0.16, 0.9, 0.92]
    gaps = gaps_of(zip([0.0, *ends], ends, strict=False))
    assert gaps.usual_s() == pytest.approx(0.02)


def test_what_a_caller_reads_slowly_is_not_measured():
    # Each event waits here until the caller has read the one before.
    gaps = gaps_of((0.5 * number - 0.001, 0.5 * number) for number in range(20))
    assert gaps.usual_s() is None


def test_a_few_events_tell_nothing():
    assert gaps_of([(0.0, 0.1), (0.1, 0.2), (0.2, 0.3)]).usual_s() is None
