"""The next call of a group waits, is sent, or is decided again later."""

import msgspec
import pytest

from leadford.common import EndpointId, HallId, RequestId
from leadford.forwarding.batching import (
    CapacityTable,
    FillAction,
    PieceKey,
    PieceQueue,
    next_call,
)
from leadford.forwarding.batching.tests.conftest import piece_limits, piece_task
from leadford.forwarding.endpoints import (
    EndpointFailure,
)
from leadford.forwarding.routes import ResultHandle
from leadford_standins.records import endpoint_record

LIMITS = piece_limits()
TASK = piece_task()


def tasks(count, **changes):
    return [
        msgspec.structs.replace(TASK, key=PieceKey(0, number), **changes)
        for number in range(count)
    ]


def make_queue(waiting):
    queue = PieceQueue()
    for task in waiting:
        queue.push(task)
    return queue


def record(name="e", hall="h"):
    return endpoint_record(name, hall=hall)


def test_nothing_is_waited_for_while_no_piece_waits():
    decision = next_call(PieceQueue(), CapacityTable(), [record()], LIMITS, 0.0)
    assert decision.action is FillAction.NOTHING_WAITS


def test_a_call_that_is_not_full_waits_while_its_requests_have_time():
    queue = make_queue(tasks(2, due_at=20.0))
    decision = next_call(queue, CapacityTable(), [record()], LIMITS, 0.0)
    assert decision.action is FillAction.WAIT_FOR_MORE
    assert decision.wait_s == pytest.approx(0.18)
    assert len(queue) == 2


def test_a_full_call_leaves_at_once_with_the_room_that_was_believed():
    queue = make_queue(tasks(5, due_at=20.0))
    endpoint = record()
    decision = next_call(queue, CapacityTable(), [endpoint], LIMITS, 0.0)
    assert decision.action is FillAction.SEND
    assert decision.record is endpoint
    assert decision.room_bytes == 100
    assert [task.key.piece for task in decision.tasks] == [0, 1, 2, 3]
    assert len(queue) == 1


def test_an_endpoint_whose_slot_is_taken_gets_no_call():
    capacities = CapacityTable()
    busy = record("busy")
    capacities.capacity(EndpointId("busy"), LIMITS).begin(4, 40, 0.0)
    queue = make_queue(tasks(4))
    decision = next_call(queue, capacities, [busy], LIMITS, 0.0)
    assert decision.action is FillAction.RECHECK
    assert decision.unserved == ()
    assert len(queue) == 4
    free = record("free")
    assert next_call(queue, capacities, [busy, free], LIMITS, 0.0).record is free


def test_a_call_waits_for_room_that_is_about_to_come_free():
    capacities = CapacityTable()
    capacity = capacities.capacity(EndpointId("e"), LIMITS)
    capacity.hold(ResultHandle("a/1"), 80, 0.0)
    queue = make_queue(tasks(4))
    assert next_call(queue, capacities, [record()], LIMITS, 0.0).tasks == ()
    # The wait is bounded; after it the call takes the pieces that fit.
    decision = next_call(queue, capacities, [record()], LIMITS, 0.2)
    assert decision.action is FillAction.SEND
    assert len(decision.tasks) == 2
    assert decision.room_bytes == 20


def test_pieces_that_every_endpoint_excludes_are_given_back():
    excluded = frozenset({EndpointId("e")})
    queue = make_queue(tasks(2, excluded=excluded))
    decision = next_call(queue, CapacityTable(), [record()], LIMITS, 0.0)
    assert decision.action is FillAction.RECHECK
    assert len(decision.unserved) == 2
    assert len(queue) == 0


def test_pieces_do_not_wait_for_the_best_endpoint_if_they_exclude_it():
    best, other = record("best"), record("other", "far")
    excluded = frozenset({EndpointId("best")})
    queue = make_queue(tasks(2, excluded=excluded))
    decision = next_call(queue, CapacityTable(), [best, other], LIMITS, 0.0)
    assert decision.record is other
    assert len(decision.tasks) == 2


def test_pieces_that_exclude_all_trusted_endpoints_go_to_a_suspect():
    suspect, sound = record("suspect"), record("sound", "far")
    suspect.record_failure(0.0, EndpointFailure.LOST)
    excluded = frozenset({EndpointId("sound")})
    queue = make_queue(tasks(2, excluded=excluded))
    decision = next_call(queue, CapacityTable(), [suspect, sound], LIMITS, 0.1)
    assert decision.record is suspect


def test_a_suspect_gets_no_call_while_others_are_left():
    suspect, sound = record("suspect"), record("sound", "far")
    suspect.record_failure(0.0, EndpointFailure.LOST)
    queue = make_queue(tasks(4))
    assert (
        next_call(queue, CapacityTable(), [suspect, sound], LIMITS, 0.1).record is sound
    )


def test_pieces_with_time_to_spare_are_left_for_the_hall_of_their_inputs():
    capacities = CapacityTable()
    near, far = record("near", "near"), record("far", "far")
    # The near endpoint ends its call in 0.2 s; moving the inputs costs more than that.
    capacities.capacity(EndpointId("near"), LIMITS).begin(0, 0, 0.0)
    near_bytes = {HallId("near"): 3_000_000}
    waiting = tasks(4, due_at=20.0, local_bytes_by_hall=near_bytes)
    decision = next_call(make_queue(waiting), capacities, [near, far], LIMITS, 0.0)
    assert decision.action is FillAction.RECHECK
    hurried = tasks(4, due_at=0.5, local_bytes_by_hall=near_bytes)
    decision = next_call(make_queue(hurried), capacities, [near, far], LIMITS, 0.0)
    assert decision.record is far


def test_small_pieces_do_not_wait_for_the_room_of_large_ones():
    capacities = CapacityTable()
    capacities.capacity(EndpointId("e"), LIMITS).hold(ResultHandle("a/1"), 80, 0.0)
    large = tasks(2, result_bytes=40, rank_at=1.0)
    small = tasks(3, request_id=RequestId("s"), result_bytes=5, rank_at=3.0)
    decision = next_call(make_queue(large + small), capacities, [record()], LIMITS, 0.0)
    assert [task.request_id for task in decision.tasks] == ["s", "s", "s"]


def test_few_small_pieces_make_no_call_of_their_own():
    capacities = CapacityTable()
    capacities.capacity(EndpointId("e"), LIMITS).hold(ResultHandle("a/1"), 80, 0.0)
    large = tasks(3, result_bytes=40, rank_at=1.0)
    small = tasks(1, request_id=RequestId("s"), result_bytes=5, rank_at=3.0)
    decision = next_call(make_queue(large + small), capacities, [record()], LIMITS, 0.0)
    assert decision.tasks == ()


@pytest.mark.parametrize("ratio", [1.0, 3.0, 8.0, 20.0])
@pytest.mark.parametrize("moved_bytes", [1_000, 300_000, 3_000_000])
def test_pieces_wait_for_no_hall_whose_endpoint_is_free_but_slow(ratio, moved_bytes):
    # After one slow call nothing was sent for seconds, though all endpoints were idle.
    near, far = record("near", "h"), record("far", "g")
    near.record_slowness(ratio, 0.0)
    inputs = {HallId("h"): moved_bytes}
    for step in range(30):
        queue = make_queue(tasks(4, due_at=10.0, local_bytes_by_hall=inputs))
        decision = next_call(queue, CapacityTable(), [near, far], LIMITS, 0.2 * step)
        assert decision.action is FillAction.SEND


# Turns of the event loop, short and long beside a full call of 0.4 s.
SHORT_TURN_S = 0.01
LONG_TURN_S = 0.03


def call_to_busy_endpoint(*, waiting, turn_s, calls=1, **limits):
    """Return the next call where the only endpoint works on some already."""
    limits = msgspec.structs.replace(LIMITS, room_bytes=1_000, **limits)
    capacities = CapacityTable()
    for _ in range(calls):
        capacities.capacity(EndpointId("e"), limits).begin(4, 40, 0.0)
    queue = make_queue(tasks(waiting, due_at=20.0))
    return next_call(queue, capacities, [record()], limits, 0.3, turn_s=turn_s)


# Endpoints were idle from the end of a call until its scheduler sent the next one.
def test_an_endpoint_is_left_idle_while_its_scheduler_is_late():
    decision = call_to_busy_endpoint(waiting=4, turn_s=LONG_TURN_S)
    assert decision.action is FillAction.SEND
    assert len(decision.tasks) == 4


@pytest.mark.parametrize(
    "fields",
    [
        {"waiting": 4, "turn_s": SHORT_TURN_S},
        {"waiting": 3, "turn_s": LONG_TURN_S},
        {"waiting": 4, "turn_s": LONG_TURN_S, "calls": 2},
        {"waiting": 4, "turn_s": LONG_TURN_S, "queue": 0},
        {"waiting": 4, "turn_s": LONG_TURN_S, "call_ms": 2_000.0},
    ],
)
def test_a_call_that_would_not_be_full_or_would_save_little_is_not_sent_ahead(fields):
    assert call_to_busy_endpoint(**fields).action is not FillAction.SEND


def test_a_call_that_is_sent_ahead_begins_after_the_one_before():
    capacity = CapacityTable().capacity(EndpointId("e"), LIMITS)
    capacity.begin(4, 40, 0.0)
    capacity.begin(4, 40, 0.1)
    assert capacity.busy_until_ == pytest.approx(0.8)
    assert capacity.free_in_s(0.1) == pytest.approx(0.7)
