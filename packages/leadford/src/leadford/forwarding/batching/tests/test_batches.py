"""Calls are filled with whole requests, within the available room and time."""

import msgspec
import pytest

from leadford.common import EndpointId, EntryId, HallId, RequestId
from leadford.forwarding.batching import (
    AdmittedBacklog,
    BacklogKey,
    CapacityTable,
    CapacityUse,
    Chunk,
    GroupId,
    GroupLoad,
    GroupTable,
    PieceKey,
    PieceQueue,
    PlaceId,
    RegionMap,
    queue_delay_s,
    schedulers_in_order,
)
from leadford.forwarding.batching.tests.conftest import piece_limits, piece_task
from leadford.forwarding.endpoints import (
    EndpointFailure,
)
from leadford.forwarding.routes import (
    ResultHandle,
    Route,
    RouteId,
    RouteKind,
    ServiceId,
)
from leadford_standins.records import endpoint_record

LIMITS = piece_limits()
SERVICE = ServiceId("s")
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


def test_schedulers_are_near_and_the_same_for_everybody():
    halls = {EntryId(f"n{n}"): HallId("h" if n < 2 else "g") for n in range(5)}
    group = GroupId(SERVICE, PlaceId("h"))
    order = schedulers_in_order(group, halls, RegionMap())
    assert set(order[:2]) == {"n0", "n1"}
    assert order == schedulers_in_order(
        group, dict(reversed(halls.items())), RegionMap()
    )
    del halls[order[0]]
    assert schedulers_in_order(group, halls, RegionMap())[0] == order[1]


def test_the_group_with_the_least_wait_is_chosen_and_moved_bytes_count():
    table = GroupTable()
    near, far = GroupId(SERVICE, PlaceId("h")), GroupId(SERVICE, PlaceId("g"))

    def choose(moved):
        return table.choose(
            {near: 1, far: 1},
            LIMITS,
            result_bytes=1,
            moved_bytes_by_group=moved,
            now=0.0,
        )

    moved = {far: 1_000_000}
    assert choose(moved) == near
    table.record_load(near, GroupLoad(0.2, 100, 0.0))
    assert choose(moved) == near
    table.record_load(near, GroupLoad(2.0, 100, 0.0))
    assert choose(moved) == far
    for _ in range(40):
        table.record_sent(far)
    assert choose(moved) == near


def test_the_halls_of_a_region_are_one_group_unless_it_has_many_endpoints():
    regions = RegionMap(
        {
            HallId("a"): PlaceId("r"),
            HallId("b"): PlaceId("r"),
            HallId("c"): PlaceId("q"),
        }
    )
    few = regions.groups(SERVICE, {HallId("a"): 2, HallId("b"): 1, HallId("c"): 1})
    assert few == {
        "a": GroupId(SERVICE, PlaceId("r")),
        "b": GroupId(SERVICE, PlaceId("r")),
        "c": GroupId(SERVICE, PlaceId("q")),
    }
    many = regions.groups(SERVICE, {HallId("a"): 20, HallId("b"): 20})
    assert many["a"].place == "a" and many["b"].place == "b"
    unknown = regions.groups(SERVICE, {HallId("z"): 1})
    assert unknown["z"].place == "z"


def test_entries_of_a_region_keep_its_group():
    regions = RegionMap({HallId("a"): PlaceId("r"), HallId("b"): PlaceId("r")})
    halls = {EntryId("n1"): HallId("a"), EntryId("n2"): HallId("c")}
    halls[EntryId("n3")] = HallId("b")
    order = schedulers_in_order(GroupId(SERVICE, PlaceId("r")), halls, regions)
    assert set(order[:2]) == {"n1", "n3"}


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


def test_the_backlog_of_other_entries_expires():
    table = AdmittedBacklog()
    key = BacklogKey(SERVICE, 0)
    later = BacklogKey(SERVICE, 1)
    table.add(key, 4)
    table.record_report(EntryId("n1"), {key: 2, later: 10}, 0.0)

    def before(level, now):
        return table.pieces_before(SERVICE, level, less_urgent_fraction=0.5, now=now)

    assert before(0, 0.1) == 4 + 2 + 5
    assert before(1, 0.1) == 16
    assert before(0, 9.0) == 4
    table.add(key, -4)
    assert before(0, 9.0) == 0
