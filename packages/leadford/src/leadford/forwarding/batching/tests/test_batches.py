"""Calls are filled with whole requests, within the available room and time."""

import msgspec
import pytest

from leadford.common import EndpointId, HallId, RequestId
from leadford.forwarding.batching import (
    Chunk,
    PieceKey,
    PieceQueue,
    queue_delay_s,
    request_due_at,
)
from leadford.forwarding.batching.tests.conftest import piece_limits, piece_task
from leadford.forwarding.routes import Route, RouteId, RouteKind

LIMITS = piece_limits()
ENDPOINT = EndpointId("e")


def task(
    request,
    piece=0,
    *,
    due=10.0,
    delay=0.0,
    size=10,
    excluded=(),
    queued=0.0,
    near=(),
):
    return piece_task(
        request_id=RequestId(request),
        key=PieceKey(0, piece),
        result_bytes=size,
        due_at=due,
        rank_at=due + delay,
        queued_at=queued,
        excluded=frozenset(EndpointId(name) for name in excluded),
        local_bytes_by_hall={HallId(hall): count for hall, count in dict(near).items()},
    )


def make_queue(*tasks):
    queue = PieceQueue()
    for item in tasks:
        queue.push(item)
    return queue


def take(queue, *, batch=4, now=0.0, **fields):
    return queue.take(
        limits=msgspec.structs.replace(LIMITS, batch=batch),
        now=now,
        **{"room_bytes": 100, "endpoint_id": ENDPOINT, **fields},
    )


def ids(tasks):
    return [(item.request_id, item.key.piece) for item in tasks]


def test_the_request_that_is_due_first_goes_first():
    queue = make_queue(task("late", due=9.0), task("soon", due=2.0))
    taken = take(queue, batch=1)
    assert ids(taken) == [("soon", 0)]
    assert len(queue) == 1


def test_routes_of_the_highest_priority_have_a_head_start():
    def delay(route_priority, priority):
        route = Route(
            route_id=RouteId("r"),
            host="h",
            path_prefix="/",
            kind=RouteKind.STREAM,
            services=(),
            timeout_ms=1_000.0,
            aim_ms=500.0,
            priority=route_priority,
        )
        return queue_delay_s(route, priority)

    assert delay(0, 0) == 0.0
    assert delay(1, 1) > 1.0
    # Among other routes and among workspaces, priority changes the order slightly.
    assert 0.0 < delay(2, 2) - delay(1, 1) < 0.5
    assert 0.0 < delay(0, 1) < 0.5


def test_urgent_pieces_go_before_those_that_are_due_a_little_earlier():
    queue = make_queue(task("less", due=2.0, delay=2.0), task("urgent", due=3.0))
    taken = take(queue, batch=1)
    assert ids(taken) == [("urgent", 0)]
    queue = make_queue(task("waited", due=2.0, delay=2.0), task("urgent", due=9.0))
    taken = take(queue, batch=1)
    assert ids(taken) == [("waited", 0)]


def test_pieces_that_cannot_be_in_time_go_behind_those_that_can():
    queue = make_queue(
        task("late", due=1.2), task("soon", due=1.5), task("hopeless", due=1)
    )
    # A call of one piece takes 0.25 s.
    order = [ids(take(queue, batch=1, now=1.0))[0][0] for _ in range(3)]
    assert order == ["soon", "hopeless", "late"]


# Where the target of its first event had passed, it was left behind all others.
def test_pieces_of_a_resumed_stream_are_left_behind_although_there_is_time():
    resumed = msgspec.structs.replace(
        task("resumed", due=1.0), deadline=8.0, is_resumed=True
    )
    queue = make_queue(task("soon", due=2.0), resumed, task("later", due=3.0))
    order = [ids(take(queue, batch=1, now=1.5))[0][0] for _ in range(3)]
    assert order == ["resumed", "soon", "later"]


def test_pieces_of_a_resumed_stream_without_time_give_way():
    resumed = msgspec.structs.replace(
        task("resumed", due=1.0), deadline=1.6, is_resumed=True
    )
    queue = make_queue(resumed, task("soon", due=2.0))
    assert ids(take(queue, batch=1, now=1.5)) == [("soon", 0)]


def test_a_resumed_stream_is_ordered_as_a_request_that_begins_now():
    route = Route(
        route_id=RouteId("r"),
        host="h",
        path_prefix="/",
        kind=RouteKind.STREAM,
        services=(),
        timeout_ms=8_000.0,
        aim_ms=500.0,
    )

    def due_at(deadline, *, is_resumed):
        return request_due_at(
            route, first_try_at=1.0, now=4.0, deadline=deadline, is_resumed=is_resumed
        )

    assert due_at(9.0, is_resumed=False) == 1.5
    assert due_at(9.0, is_resumed=True) == 4.5
    assert due_at(4.2, is_resumed=True) == 4.2


def test_late_pieces_of_urgent_routes_go_behind_what_can_be_in_time():
    queue = make_queue(task("urgent", due=0.9), task("less", due=3.0, delay=2.0))
    assert ids(take(queue, batch=1, now=1.0)) == [("less", 0)]
    assert queue.first_chunk(LIMITS, 1.0).tasks[0].request_id == "urgent"


def test_the_room_of_the_first_pieces_is_that_of_those_that_can_be_in_time():
    queue = make_queue(task("late", due=1.0, size=90), task("soon", due=2.0, size=10))
    one = msgspec.structs.replace(LIMITS, batch=1)
    assert queue.first_call_bytes(one, 1.0) == 10


def test_pieces_of_a_request_are_not_split_over_calls():
    tasks = [task("a", n, due=1.0) for n in range(3)]
    tasks += [task("b", n, due=2.0) for n in range(2)] + [task("c", due=3.0)]
    queue = make_queue(*tasks)
    taken = take(queue, batch=4)
    assert {item.request_id for item in taken} == {"a", "c"}
    assert ids(queue.tasks_) == [("b", 0), ("b", 1)]


def test_a_request_larger_than_a_call_is_split():
    queue = make_queue(*[task("a", n) for n in range(6)])
    assert len(take(queue, batch=4)) == 4
    assert len(take(queue, batch=4)) == 2


def test_room_bounds_a_call_and_smaller_pieces_go_by():
    queue = make_queue(task("big", due=1.0, size=60), task("small", due=2.0, size=10))
    taken = take(queue, room_bytes=20)
    assert ids(taken) == [("small", 0)]


def test_a_piece_does_not_go_where_it_failed():
    queue = make_queue(task("a", excluded=["e"]))
    assert take(queue, batch=4) == []
    assert take(queue, endpoint_id=EndpointId("f"))


def test_time_to_spare_waits_for_more_pieces_and_urgency_does_not():
    assert make_queue(task("a", due=1.0)).window_ends_at(LIMITS) == 0.0
    window_ends_at = make_queue(task("a", due=4.0)).window_ends_at(LIMITS)
    assert 0.0 < window_ends_at <= 0.18
    full = make_queue(*[task("a", n, due=9.0) for n in range(4)])
    assert full.window_ends_at(LIMITS) == 0.0


def test_a_piece_that_was_late_when_it_came_makes_no_call_leave_early():
    with_time = task("a", due=9.0)
    alone = make_queue(with_time).window_ends_at(LIMITS)
    beside = make_queue(with_time, task("late", due=-1.0)).window_ends_at(LIMITS)
    assert beside == pytest.approx(min(alone, 0.18))


def test_pieces_that_read_results_of_a_hall_go_there_a_little_earlier():
    away = task("away", due=2.0, near={"g": 500_000})
    here = task("here", due=2.1, near={"h": 500_000})
    queue = make_queue(away, here)
    taken = take(queue, batch=1, hall=HallId("h"))
    assert ids(taken) == [("here", 0)]
    urgent = task("urgent", due=1.0, near={"g": 500_000})
    queue = make_queue(urgent, here)
    taken = take(queue, batch=1, hall=HallId("h"))
    assert ids(taken) == [("urgent", 0)]


def waits_for_other_hall(task_to_check, hall, later_s_by_hall, pieces=1):
    chunk = Chunk((task_to_check,) * pieces)
    later_s = {HallId(name): value for name, value in later_s_by_hall.items()}
    return chunk.waits_for_other_hall(HallId(hall), later_s, LIMITS, 0.0)


def test_pieces_wait_for_the_hall_of_their_inputs_if_it_is_soon_free():
    reader = task("a", due=5.0, near={"g": 500_000})
    assert waits_for_other_hall(reader, "h", {"h": 0.0, "g": 0.0})
    assert not waits_for_other_hall(reader, "g", {"h": 0.0, "g": 0.0})
    assert not waits_for_other_hall(reader, "h", {"h": 0.0, "g": 2.0})
    assert not waits_for_other_hall(reader, "h", {"h": 0.0})
    # More pieces that read the same inputs justify a longer wait.
    assert not waits_for_other_hall(reader, "h", {"g": 0.3}, pieces=1)
    assert waits_for_other_hall(reader, "h", {"g": 0.3}, pieces=8)


def test_pieces_without_time_to_spare_wait_for_no_hall():
    urgent = task("a", due=0.5, near={"g": 500_000})
    assert not waits_for_other_hall(urgent, "h", {"h": 0.0, "g": 0.1}, pieces=8)


def test_pieces_wait_for_another_hall_unless_more_waits_than_two_calls_take():
    away = task("away", due=1.0)
    queue = make_queue(away, task("here", due=2.0))
    taken = take(
        queue,
        waits_for_other_hall=lambda chunk: chunk.tasks[0] is away,
    )
    assert ids(taken) == [("here", 0)]
    queue = make_queue(*[task("away", n, due=1.0) for n in range(9)])
    taken = take(
        queue,
        waits_for_other_hall=lambda chunk: True,
    )
    assert len(taken) == 4
