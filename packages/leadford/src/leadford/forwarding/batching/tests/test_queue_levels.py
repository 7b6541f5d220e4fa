"""Test the order of a queue by level, and the places reserved for less urgent pieces.

The load of the replays: a queue in which more urgent pieces than fit always wait.
"""

import pytest

from leadford.common import EndpointId, RequestId
from leadford.forwarding.batching import RESERVED_FRACTION, PieceQueue
from leadford.forwarding.batching.tests.conftest import piece_limits, piece_task

LIMITS = piece_limits(batch=8, room_bytes=10**9)


def push(queue, name, level, count=1, **fields):
    for number in range(count):
        task = piece_task(
            request_id=RequestId(name), level=level, correlation_id=number, **fields
        )
        queue.push(task)


def take(queue, now=0.0, limits=LIMITS):
    tasks = queue.take(
        limits=limits, now=now, room_bytes=10**9, endpoint_id=EndpointId("p")
    )
    return [task.request_id for task in tasks]


def order(queue, now=0.0):
    chunks = queue._ordered(None, LIMITS, now)
    return [chunk.tasks[0].request_id for chunk in chunks]


def test_the_level_goes_before_the_rank():
    queue = PieceQueue()
    push(queue, "less urgent", 2, due_at=3.0, rank_at=3.0)
    push(queue, "later", 1, due_at=9.0, rank_at=9.0)
    push(queue, "sooner", 1, due_at=8.0, rank_at=8.0)
    assert order(queue) == ["sooner", "later", "less urgent"]


def test_pieces_that_are_late_stay_behind_those_of_all_levels():
    queue = PieceQueue()
    push(queue, "late", 0, due_at=0.0, rank_at=0.0)
    push(queue, "in time", 5, due_at=9.0, rank_at=9.0)
    assert order(queue, 1.0) == ["in time", "late"]


def test_without_levels_the_rank_decides():
    queue = PieceQueue()
    push(queue, "less urgent", None, due_at=3.0, rank_at=5.0)
    push(queue, "urgent", None, due_at=6.0, rank_at=6.0)
    assert order(queue) == ["less urgent", "urgent"]


def test_pieces_of_entries_that_tell_no_level_rank_by_two():
    queue = PieceQueue()
    push(queue, "told 1", 1, due_at=9.0, rank_at=11.0)
    push(queue, "untold urgent", None, due_at=9.5, rank_at=9.5)
    push(queue, "untold", None, due_at=9.0, rank_at=11.5)
    push(queue, "told 0", 0, due_at=9.0, rank_at=9.0)
    assert order(queue) == ["told 0", "untold urgent", "told 1", "untold"]


def replay(*, calls, chunk, levels=(0, 3), due_at=100.0):
    """Return the requests of each call while urgent pieces always wait."""
    queue = PieceQueue()
    for number in range(calls):
        name = f"low {number}"
        push(queue, name, levels[1], chunk, queued_at=number, due_at=due_at)
    made = []
    for call in range(calls):
        for number in range(LIMITS.batch):
            push(queue, f"high {call} {number}", levels[0], due_at=100.0)
        made.append(take(queue, now=1.0))
    return made


@pytest.mark.parametrize("chunk", [1, 3, 8])
@pytest.mark.parametrize("due_at", [100.0, 0.0])
def test_less_urgent_pieces_get_the_reserved_places_and_no_more(chunk, due_at):
    """Also late ones if no others wait: admission counts them as long as they do."""
    made = replay(calls=200, chunk=chunk, due_at=due_at)
    low = sum(1 for call in made for name in call if name.startswith("low"))
    reserved = max(1, round(RESERVED_FRACTION * LIMITS.batch))
    assert 200 * reserved - 2 * LIMITS.batch <= low <= 200 * reserved
    assert all(len(call) == LIMITS.batch for call in made)


def test_chunks_that_have_waited_longest_go_ahead_whole():
    calls = [call for call in replay(calls=20, chunk=3) if "low 0" in call]
    assert [call.count("low 0") for call in calls] == [3]


def test_no_place_is_reserved_where_there_are_no_levels():
    made = replay(calls=50, chunk=1, levels=(None, None))
    assert all(len(call) == LIMITS.batch for call in made)
    queue = PieceQueue()
    push(queue, "a", None, 20)
    take(queue)
    assert queue.reserved_.credit_ == 0


def test_nothing_is_reserved_while_all_that_waits_fits_in_a_call():
    queue = PieceQueue()
    push(queue, "high", 0, 5)
    push(queue, "low", 3, 3)
    assert len(take(queue)) == 8
    assert queue.reserved_.credit_ == 0
