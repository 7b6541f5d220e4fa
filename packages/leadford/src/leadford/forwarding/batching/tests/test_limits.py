"""Waits for calls, schedulers and stages depend on expected durations."""

import pytest

from leadford.forwarding.batching import (
    call_limit_s,
    can_stages_end_in_time,
    engine_fetches_immediately,
    scheduler_limit_at,
    stages_check_at,
)
from leadford.forwarding.batching.tests.conftest import piece_limits
from leadford.forwarding.endpoints import (
    ReportedLoad,
)
from leadford_standins.records import endpoint_record

LIMITS = piece_limits()


def engine(running, waiting, slots, in_flight=0):
    record = endpoint_record("e", slots=slots)
    record.in_flight_ = in_flight
    record.record_load(ReportedLoad(running, waiting, slots), 0.0)
    return record


def test_a_call_is_waited_for_by_its_pieces_and_the_calls_before_it():
    def limit_s(calls_ahead, slowness):
        return call_limit_s(LIMITS, 2, calls_ahead=calls_ahead, slowness=slowness)

    assert limit_s(0, 1.0) == pytest.approx(0.3 * 1.6 + 0.25)
    assert limit_s(2, 1.0) == pytest.approx(0.9 * 1.6 + 0.25)
    # A slow endpoint gets more time; a fast one gets no less than others.
    assert limit_s(0, 5.0) == pytest.approx(1.5 * 1.6 + 0.25)
    assert limit_s(0, 0.5) == limit_s(0, 1.0)


def test_a_scheduler_is_waited_for_by_the_wait_and_a_full_call():
    assert scheduler_limit_at(LIMITS, 0.6, 10.0) == pytest.approx(10.0 + 3.0 + 2.5)


def test_stages_are_looked_at_early_enough_to_use_the_answer():
    assert stages_check_at(10.0, 15.0) == pytest.approx(12.1)


def test_stages_go_on_while_they_can_end_in_time():
    assert can_stages_end_in_time(1.0, 1.0)
    assert not can_stages_end_in_time(1.01, 1.0)


def test_an_engine_with_a_free_slot_fetches_inputs_at_once():
    assert engine_fetches_immediately(engine(1, 0, 2, in_flight=1), 0.0)
    assert engine_fetches_immediately(engine(0, 0, 2, in_flight=2), 0.0)
    assert not engine_fetches_immediately(engine(0, 0, 2, in_flight=3), 0.0)
    assert not engine_fetches_immediately(engine(3, 0, 2, in_flight=0), 0.0)
    assert not engine_fetches_immediately(engine(2, 1, 2), 0.0)


def test_an_engine_without_a_report_is_not_relied_on():
    record = engine(0, 0, 2)
    record.load_ = None
    assert not engine_fetches_immediately(record, 0.0)
