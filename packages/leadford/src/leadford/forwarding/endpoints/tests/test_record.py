"""Failures make an endpoint suspect by their kind, and suspicion ends by itself."""

import pytest

from leadford.forwarding.endpoints import (
    EndpointFailure,
)
from leadford_standins.records import endpoint_record

AT_ONCE = [EndpointFailure.LOST, EndpointFailure.SILENT, EndpointFailure.BROKEN_OFF]
WHEN_REPEATED = [kind for kind in EndpointFailure if kind not in AT_ONCE]


@pytest.fixture
def record():
    return endpoint_record("a", slots=4)


@pytest.mark.parametrize("failure", AT_ONCE)
def test_an_endpoint_that_is_in_doubt_itself_is_suspect_at_once(record, failure):
    record.record_failure(10.0, failure)
    assert record.is_suspect(10.0)


@pytest.mark.parametrize("failure", WHEN_REPEATED)
def test_what_a_sound_endpoint_may_show_counts_from_the_second_time(record, failure):
    record.record_failure(10.0, failure)
    assert not record.is_suspect(10.0)
    record.record_failure(10.0, failure)
    assert record.is_suspect(10.0)


def test_each_further_failure_doubles_the_suspicion_up_to_the_most(record):
    until = []
    for _ in range(12):
        record.record_failure(0.0, EndpointFailure.LOST)
        until.append(record.suspect_until_)
    assert until[:4] == [0.4, 0.8, 1.6, 3.2]
    assert until[4:] == [6.0] * 8


def test_a_success_ends_the_suspicion(record):
    record.record_failure(10.0, EndpointFailure.LOST)
    record.record_success(20.0)
    assert not record.is_suspect(10.0)
    record.record_failure(10.0, EndpointFailure.ERROR_STATUS)
    assert not record.is_suspect(10.0)


def test_slowness_is_learned_from_calls_and_fades_without_them(record):
    record.record_slowness(5.0, 10.0)
    slow = record.slowness(10.0)
    assert slow > 2.0
    assert 1.0 < record.slowness(14.0) < 1.0 + (slow - 1.0) / 3.0
    record.record_slowness(5.0, 14.0)
    assert record.slowness(14.0) > slow / 2.0
    for _ in range(8):
        record.record_slowness(0.9, 15.0)
    assert record.slowness(15.0) < 1.2


def test_only_silences_are_forgiven_to_an_endpoint_that_goes_on(record):
    for _ in range(3):
        record.record_failure(0.0, EndpointFailure.LOST)
    lost_until = record.suspect_until_
    for _ in range(4):
        record.record_failure(0.0, EndpointFailure.SILENT)
    assert record.suspect_until_ > lost_until
    record.record_heard()
    assert record.suspect_until_ == lost_until
    assert record.is_broken(0.1)
    assert record.consecutive_failures_ == 3


def test_an_endpoint_stays_suspect_while_an_attempt_waits_in_silence(record):
    record.record_failure(0.0, EndpointFailure.SILENT)
    for tenths in range(30):
        record.record_still_silent(tenths / 10.0)
    assert record.is_suspect(3.2)
    record.record_heard()
    assert not record.is_suspect(3.2)


def test_one_slow_answer_does_not_make_an_endpoint_suspect(record):
    record.record_failure(0.0, EndpointFailure.SLOW)
    record.record_still_silent(0.1)
    assert not record.is_suspect(0.1)


def test_a_failure_counts_less_and_less_at_an_endpoint_that_gets_no_requests(record):
    # An engine that had failed got nothing again while others were not busy.
    for _ in range(3):
        record.record_failure(10.0, EndpointFailure.BROKEN_OFF)
    first = record.failure_rate(10.0)
    assert first > 0.4
    assert record.failure_rate(12.0) == pytest.approx(first / 2.0)
    assert record.failure_rate(30.0) < 0.001
    record.record_failure(30.0, EndpointFailure.BROKEN_OFF)
    assert record.failure_rate(30.0) == pytest.approx(0.2, abs=0.001)
