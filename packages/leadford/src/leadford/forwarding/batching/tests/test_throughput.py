"""A stage that is behind reports its throughput, which admission uses."""

import pytest

from leadford.forwarding.batching import (
    AdmittedBacklog,
    BacklogKey,
    Throughput,
    ThroughputRate,
)
from leadford.forwarding.routes import ServiceId

SERVICE = ServiceId("stage")
FULL_ROUND = 80


def measured_rate(waiting, *, urgent_each=3, less_urgent_each=1, beats=8):
    throughput = Throughput()
    for beat in range(beats):
        throughput.sample(waiting=waiting, full_round_pieces=FULL_ROUND, now=0.2 * beat)
        for number in range(urgent_each + less_urgent_each):
            throughput.record_computed(level=0 if number < urgent_each else 1)
    return throughput.rate(0.2 * (beats - 1))


def test_a_stage_that_is_behind_tells_what_it_makes():
    rate = measured_rate(60)
    assert rate.pieces == pytest.approx(20.0)
    assert rate.less_urgent == pytest.approx(5.0)


def test_a_stage_with_a_short_queue_tells_nothing():
    assert measured_rate(30) is None
    assert measured_rate(60, beats=3) is None


def test_a_queue_that_was_short_a_moment_ago_tells_nothing():
    throughput = Throughput()
    for beat in range(8):
        waiting = 10 if beat == 5 else 60
        throughput.sample(waiting=waiting, full_round_pieces=FULL_ROUND, now=0.2 * beat)
    assert throughput.rate(1.4) is None


def backlog(urgent, less_urgent, rate):
    table = AdmittedBacklog()
    table.add(BacklogKey(SERVICE, 0), urgent)
    table.add(BacklogKey(SERVICE, 1), less_urgent)
    table.record_rate(SERVICE, rate, 0.0)
    return table


def test_what_is_before_a_request_leaves_as_fast_as_it_did_lately():
    table = backlog(40, 60, ThroughputRate(100.0, 20.0))
    assert table.drain_time_s(SERVICE, 0, 0.1) == pytest.approx(0.4)
    assert table.drain_time_s(SERVICE, 1, 0.1) == pytest.approx(3.0)


def test_a_kind_of_which_nothing_is_made_is_behind_for_ever():
    table = backlog(40, 60, ThroughputRate(100.0, 0.0))
    assert table.drain_time_s(SERVICE, 1, 0.1) == float("inf")
    assert (
        backlog(40, 0, ThroughputRate(100.0, 0.0)).drain_time_s(SERVICE, 1, 0.1) == 0.0
    )


def test_an_old_rate_says_nothing():
    table = backlog(40, 60, ThroughputRate(100.0, 20.0))
    assert table.drain_time_s(SERVICE, 1, 1.6) == 0.0
    table.record_rate(SERVICE, None, 0.2)
    assert table.drain_time_s(SERVICE, 1, 0.3) == 0.0
