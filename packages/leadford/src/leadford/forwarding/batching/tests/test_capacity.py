"""Room and calls of endpoints are counted, and the best endpoint is called first."""

import pytest

from leadford.common import EndpointId, EntryId, HallId
from leadford.forwarding.batching import CapacityTable, CapacityUse
from leadford.forwarding.batching.tests.conftest import piece_limits
from leadford.forwarding.endpoints import EndpointFailure
from leadford.forwarding.routes import ResultHandle
from leadford_standins.records import endpoint_record

LIMITS = piece_limits()
ENDPOINT = EndpointId("e")


def record(name, hall="h"):
    return endpoint_record(name, hall=hall)


def test_an_endpoint_takes_one_call_and_its_results_count_as_room():
    capacities = CapacityTable()
    capacity = capacities.capacity(ENDPOINT, LIMITS)
    capacity.begin(2, 40, 0.0)
    assert not capacity.is_free(0.1)
    assert capacity.room_bytes(0.1) == 60
    capacity.end(40)
    capacity.hold(ResultHandle("r"), 40, 1.0)
    assert capacity.is_free(1.0) and capacity.room_bytes(1.0) == 60
    capacity.free(ResultHandle("r"))
    assert capacity.room_bytes(1.0) == 100
    capacity.hold(ResultHandle("r2"), 40, 1.0)
    assert capacity.room_bytes(5.1) == 100


def test_a_scheduler_counts_what_its_predecessor_still_has():
    capacities = CapacityTable()
    before = EntryId("n1")
    capacities.record_foreign_use(before, [CapacityUse(ENDPOINT, 70, 1)], 0.0)
    assert capacities.room_left(ENDPOINT, LIMITS, 0.1) == 30
    assert not capacities.is_free(ENDPOINT, LIMITS, 0.1)
    assert capacities.rank_endpoints([record("e")], LIMITS, waiting=1, now=0.1) == []
    capacities.record_foreign_use(before, [CapacityUse(ENDPOINT, 20, 0)], 0.2)
    assert capacities.room_left(ENDPOINT, LIMITS, 0.3) == 80
    assert capacities.is_free(ENDPOINT, LIMITS, 0.3)
    # Old reports expire, because the entry may be gone.
    assert capacities.room_left(ENDPOINT, LIMITS, 3.0) == 100
    capacities.record_foreign_use(before, [], 3.0)
    assert capacities.foreign_reports_by_entry_ == {}


def test_a_scheduler_tells_what_it_still_has():
    capacities = CapacityTable()
    capacities.capacity(EndpointId("idle"), LIMITS)
    capacity = capacities.capacity(ENDPOINT, LIMITS)
    capacity.begin(2, 40, 0.0)
    capacity.hold(ResultHandle("r"), 10, 0.0)
    assert capacities.occupied_capacity(0.1) == [CapacityUse(ENDPOINT, 50, 1)]


def test_a_short_call_waits_for_room_within_a_bound():
    capacity = CapacityTable().capacity(ENDPOINT, LIMITS)
    capacity.hold(ResultHandle("r"), 90, 0.0)
    assert not capacity.awaits_room(10, 0.0)
    assert capacity.awaits_room(40, 0.0)
    assert capacity.awaits_room(40, 0.1)
    assert not capacity.awaits_room(40, 0.2)


def test_refused_room_is_believed_for_a_while():
    capacity = CapacityTable().capacity(ENDPOINT, LIMITS)
    capacity.record_refused(100, 30, 0.0)
    assert capacity.room_bytes(0.1) == 30
    capacity.record_refused(30, 30, 0.2)
    assert capacity.room_bytes(0.25) == 30
    assert capacity.room_bytes(0.4) == 100


def test_an_endpoint_that_frees_soon_is_waited_for():
    capacities = CapacityTable()
    first, second = record("e1"), record("e2")
    capacities.capacity(EndpointId("e1"), LIMITS).begin(4, 0, 0.0)
    second.slowness_.value_ = 4.0
    assert capacities.rank_endpoints([first, second], LIMITS, waiting=2, now=0.35) == []
    assert capacities.rank_endpoints([first, second], LIMITS, waiting=8, now=0.35) == [
        second
    ]


def test_suspects_get_calls_only_when_alone():
    capacities = CapacityTable()
    bad, good = record("e1"), record("e2")
    bad.record_failure(0.0, EndpointFailure.LOST)
    assert capacities.rank_endpoints([bad, good], LIMITS, waiting=9, now=0.1) == [good]
    assert capacities.rank_endpoints([bad], LIMITS, waiting=1, now=0.1) == [bad]


def test_wait_of_a_group_counts_rounds():
    capacities = CapacityTable()
    records = [record("e1"), record("e2")]
    assert capacities.wait_s(records, LIMITS, waiting=0, now=0.0) == 0.0
    assert capacities.wait_s(records, LIMITS, waiting=8, now=0.0) == pytest.approx(0.4)
    assert capacities.wait_s([], LIMITS, waiting=0, now=0.0) == float("inf")


def test_a_free_endpoint_of_another_hall_takes_what_waits_for_a_busy_one():
    capacities = CapacityTable()
    near, far = record("e1", "h"), record("e2", "g")
    moving = {HallId("h"): 0.0, HallId("g"): 0.2}
    found = capacities.rank_endpoints(
        [near, far], LIMITS, waiting=2, now=0.0, moving_cost_s_by_hall=moving
    )
    assert found == [near]
    capacities.capacity(EndpointId("e1"), LIMITS).begin(4, 0, 0.0)
    found = capacities.rank_endpoints(
        [near, far], LIMITS, waiting=2, now=0.0, moving_cost_s_by_hall=moving
    )
    assert found == [far]
