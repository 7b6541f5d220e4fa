"""Contended stages share calls of suspects, keep refused room, and drop lost work."""

import msgspec
import pytest

from leadford.common import EndpointId, RequestId
from leadford.forwarding.batching import (
    CONTENDED_CALLS,
    USUAL_CALLS,
    CapacityTable,
    LeftCause,
    PieceKey,
    PieceQueue,
    next_call,
)
from leadford.forwarding.batching.tests.conftest import piece_limits, piece_task
from leadford.quarantine import (
    MIN_REPEATED_ENDS,
    CaseId,
    CrashCase,
    CrashLedger,
    RequestDigest,
    decide_quarantine,
)
from leadford_standins.records import endpoint_record

LIMITS = piece_limits(batch=8, room_bytes=400)
ENDPOINT = EndpointId("e")
REQUESTS = 6


def queue_of(*waiting):
    queue = PieceQueue()
    for number, task in enumerate(waiting):
        queue.push(msgspec.structs.replace(task, key=PieceKey(0, number)))
    return queue


def first_call(queue):
    return next_call(queue, CapacityTable(), [endpoint_record("e")], LIMITS, 0.9)


def suspect(name, *, once=True):
    return piece_task(
        request_id=RequestId(name), is_suspect=True, is_suspect_once=once, due_at=1.5
    )


@pytest.mark.parametrize(("once", "expected"), [(True, 2), (False, 1)])
def test_requests_suspect_once_share_calls_and_others_go_alone(once, expected):
    queue = queue_of(
        suspect("a", once=once), suspect("b", once=once), piece_task(due_at=1.6)
    )
    call = first_call(queue)
    assert len(call.tasks) == expected
    assert call.left_by_cause == {LeftCause.SUSPECT: 3 - expected}


def crash(ledger, digests, number):
    for digest in digests:
        endpoint_id = EndpointId(f"e{number}")
        case_id = CaseId(len(ledger.case_ids_))
        ledger.record(CrashCase(case_id, digest, endpoint_id, False), 0.0)


def test_the_request_at_fault_is_known_after_three_crashes_and_no_other_is():
    ledger = CrashLedger()
    digests = [RequestDigest(f"r{number}") for number in range(REQUESTS)]
    at_fault, *others = digests
    crash(ledger, digests, 0)
    for number in (1, 2):
        queue = PieceQueue()
        for digest in digests:
            suspicion = ledger.suspicion(digest)
            once = suspicion.ends < MIN_REPEATED_ENDS
            queue.push(suspect(digest, once=once))
        beside = [task.request_id for task in first_call(queue).tasks]
        assert at_fault in beside
        crash(ledger, [RequestDigest(name) for name in beside], number)
    assert decide_quarantine(ledger.suspicion(at_fault), 0.0).refuses
    for digest in others:
        assert not decide_quarantine(ledger.suspicion(digest), 0.0).refuses


def refuse_until_gone(policy):
    """Return the pieces refused by an endpoint full of results unknown here.

    They were left by a scheduler that was lost, and expire after four seconds. A call
    takes all the room that is believed to be there, every 0.3 s.
    """
    capacity = CapacityTable().capacity(ENDPOINT, LIMITS)
    refused = 0
    for step in range(30):
        now = 0.3 * step
        believed = min(capacity.room_bytes(now), 80)
        if believed < 10 or now >= 4.0:
            continue
        refused += believed // 10
        room = capacity.room_bytes(now)
        capacity.record_refused(room, 0, now + 0.01, sent_at=now, policy=policy)
    assert capacity.room_bytes(9.0) == LIMITS.room_bytes
    return refused


def test_room_refused_again_is_believed_for_longer_only_where_contended():
    assert refuse_until_gone(CONTENDED_CALLS) <= 4 * 8
    assert refuse_until_gone(USUAL_CALLS) > 6 * 8


def test_room_refused_again_adds_to_what_was_refused():
    for policy, expected in ((CONTENDED_CALLS, 50), (USUAL_CALLS, 350)):
        capacity = CapacityTable().capacity(ENDPOINT, LIMITS)
        capacity.record_refused(400, 100, 0.0, policy=policy)
        assert capacity.room_bytes(0.1) == 100
        # The call at 0.1 takes all the room that is left, and half of it fits.
        capacity.record_refused(100, 50, 0.2, sent_at=0.1, policy=policy)
        assert capacity.room_bytes(0.25) == expected


@pytest.mark.parametrize(
    ("policy", "deadline", "expected"),
    [
        (USUAL_CALLS, 1.1, 0),
        (CONTENDED_CALLS, 1.1, 1),
        (CONTENDED_CALLS, 1.3, 0),
        (USUAL_CALLS, 1.0, 1),
    ],
)
def test_pieces_that_no_call_finishes_in_time_are_not_begun(policy, deadline, expected):
    queue = queue_of(piece_task(deadline=deadline))
    assert len(queue.take_hopeless(LIMITS, policy, 1.0)) == expected
    assert len(queue) == 1 - expected
