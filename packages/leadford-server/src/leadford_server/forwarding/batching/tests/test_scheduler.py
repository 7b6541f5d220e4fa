"""Pieces that are given back leave their queue, even if they are queued again."""

from types import SimpleNamespace

from leadford.common import EntryId, RequestId
from leadford.forwarding.batching import GroupId, PieceKey, PieceTask, PlaceId
from leadford.forwarding.routes import ServiceId
from leadford_server.forwarding.batching._scheduler import BatchScheduler


def group(name):
    return GroupId(ServiceId(name), PlaceId("region"))


def task(name):
    return PieceTask(
        correlation_id=1,
        origin=EntryId("entry"),
        request_id=RequestId(name),
        key=PieceKey(0, 0),
        request_key="k",
        inputs=(),
        result_bytes=1,
        deadline=9.0,
        due_at=9.0,
        rank_at=9.0,
        queued_at=0.0,
    )


def new_scheduler(reply):
    loop = SimpleNamespace(call_soon=lambda *arguments: None)
    return BatchScheduler(
        state=SimpleNamespace(loop=loop),
        reply=reply,
        on_inputs_read=lambda tasks: None,
    )


def test_only_what_another_entry_schedules_is_given_back():
    replies = []
    scheduler = new_scheduler(lambda task, answer: replies.append((task, answer)))
    scheduler.submit(group("here"), task("a"))
    scheduler.submit(group("there"), task("b"))
    scheduler.return_waiting_pieces(lambda found: found == group("there"))
    ((given_back, answer),) = replies
    assert (given_back.request_id, answer.reason) == ("b", "moved")
    assert len(scheduler.queues_by_group_[group("here")]) == 1
    assert len(scheduler.queues_by_group_[group("there")]) == 0


def test_a_piece_that_is_given_back_may_be_queued_here_again_in_a_new_group():
    def queue_again(task, answer):
        scheduler.submit(group("new"), task)

    scheduler = new_scheduler(queue_again)
    scheduler.submit(group("first"), task("a"))
    scheduler.submit(group("second"), task("b"))
    scheduler.return_waiting_pieces(lambda found: found != group("new"))
    assert len(scheduler.queues_by_group_[group("new")]) == 2
