"""Test forecasts of stages: the critical path and the most delayed stage."""

import msgspec
import pytest

from leadford.forwarding.admission import (
    StageCapacity,
)
from leadford.forwarding.admission._forecast import StageForecast
from leadford.forwarding.admission.tests.conftest import piece_limits, staged_route
from leadford.forwarding.batching import AdmittedBacklog, BacklogKey
from leadford.forwarding.routes import (
    ServiceId,
    StageSpec,
)

FAST, SLOW = ServiceId("fast"), ServiceId("slow")
LIMITS = piece_limits(room_bytes=0)
SLOW_LIMITS = msgspec.structs.replace(LIMITS, call_ms=500.0)
# The slow stage and the first fast one run side by side, the last one reads both.
ROUTE = staged_route(StageSpec(FAST), StageSpec(SLOW), StageSpec(FAST, (0, 1)))
CAPACITY = {FAST: StageCapacity(LIMITS, 2), SLOW: StageCapacity(SLOW_LIMITS, 1)}


def forecast(counts, capacity=CAPACITY):
    return StageForecast(route=ROUTE, counts=counts, capacity_by_service=capacity)


def test_the_path_is_the_longest_chain_of_stages():
    assert forecast((1, 1, 1)).critical_path_s() == pytest.approx(0.51 + 0.21)


def test_a_stage_without_pieces_takes_no_time():
    assert forecast((1, 0, 1)).critical_path_s() == pytest.approx(0.21 + 0.21)


def test_more_pieces_than_all_endpoints_take_in_a_call_need_another_round():
    assert forecast((20, 0, 0)).critical_path_s() == pytest.approx(0.3)
    assert forecast((21, 0, 0)).critical_path_s() == pytest.approx(0.6)


def test_slower_endpoints_count_as_fewer_but_their_calls_run_side_by_side():
    """Two endpoints that together do the work of 1.6."""
    slower = StageCapacity(LIMITS, 1.6)
    assert slower.backlog_s(32, 0, 0.0) == StageCapacity(LIMITS, 1).backlog_s(
        20, 0, 0.0
    )
    path_s = forecast((20, 0, 0), {FAST: slower}).critical_path_s()
    assert path_s == pytest.approx(0.3)


def answer_s(counts, backlog, *, is_late=False):
    found = forecast(counts)
    delays = found.delays(backlog, 0.0, is_late=is_late)
    path_s = found.shared_path_s(backlog, 0.0)
    return path_s + max(delay.delay_s for delay in delays)


def test_the_delay_is_that_of_the_stage_that_is_the_furthest_behind():
    backlog = AdmittedBacklog()
    backlog.add(BacklogKey(FAST, 0), 20)
    backlog.add(BacklogKey(SLOW, 0), 20)
    assert answer_s((0, 1, 0), backlog) == pytest.approx(0.51 + 20 * 0.06)
    # A stage that the request does not use does not delay it.
    assert answer_s((1, 0, 0), backlog) == pytest.approx(0.21 + 20 * 0.03 / 2)
    # A third of what the last stage has is there when the request reaches it.
    last_s = 0.21 + 0.01 * 20 / 2 / 3
    assert answer_s((1, 1, 1), backlog) == pytest.approx(0.51 + 20 * 0.06 + last_s)


def test_a_call_lasts_for_the_pieces_of_all_requests_in_it():
    backlog = AdmittedBacklog()
    backlog.add(BacklogKey(FAST, 0), 8)
    assert forecast((1, 0, 0)).critical_path_s() == pytest.approx(0.21)
    path_s = forecast((1, 0, 0)).shared_path_s(backlog, 0.0)
    assert path_s == pytest.approx(0.21 + 0.01 * 8 / 2)
    # No call has more pieces than fit.
    backlog.add(BacklogKey(FAST, 1), 1_000)
    assert forecast((1, 0, 0)).shared_path_s(backlog, 0.0) == pytest.approx(0.3)


def test_before_a_late_request_goes_all_that_is_in_time():
    backlog = AdmittedBacklog()
    backlog.add(BacklogKey(FAST, 1), 40)
    # In time, a tenth of the less urgent pieces delays it by less than a full call.
    assert answer_s((1, 0, 0), backlog) == pytest.approx(0.3)
    late_s = answer_s((1, 0, 0), backlog, is_late=True)
    assert late_s == pytest.approx(0.21 + 40 * 0.03 / 2)


def test_a_stage_without_a_known_service_is_behind_for_ever():
    found = forecast((1, 1, 1), {}).delays(AdmittedBacklog(), 0.0, is_late=False)
    assert [delay.delay_s for delay in found] == [float("inf")] * 3


def test_pieces_of_all_stages_of_a_service_are_counted_together():
    assert forecast((2, 3, 4)).pieces_by_service() == {FAST: 6, SLOW: 3}
