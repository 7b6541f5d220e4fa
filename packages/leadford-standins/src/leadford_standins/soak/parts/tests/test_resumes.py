"""Callers resume the streams that broke off, until their time or tries are over."""

from random import Random

import pytest

from leadford_standins.soak._ledger import Outcome, Sent
from leadford_standins.soak.parts._resumes import MAX_RESUMES, StreamResumer


def stream(request_id="r1", last=2, **fields):
    events = [
        f"id: {number}\ndata: token {number} of {request_id} by v1\n\n"
        for number in range(1, last + 1)
    ]
    sent = Sent(
        request_id=request_id,
        route="resumed",
        path="/resumed/1",
        method="POST",
        key="key-1",
        body=b"payload",
        entry="entry-0",
        incarnation=1,
        sent_at=50.0,
        timeout_s=4.0,
        asked={"X-Deadline-Ms": "3000", "X-Model": "m"},
        outcome=Outcome.CUT,
        answer="".join(events).encode(),
        ended_at=50.5,
    )
    for name, value in fields.items():
        setattr(sent, name, value)
    return sent


def resumer(*sent, part=0.5):
    by_id = {request.request_id: request for request in sent}
    return StreamResumer(part=part, random=Random(1), sent_by_id=by_id)


def test_a_stream_that_broke_off_is_resumed_after_its_last_event():
    first = stream()
    following = resumer(first).next_request(first, "r2")
    assert (following.resumes, following.after_event) == ("r1", 2)
    assert following.asked["Resumes"] == "r1"
    assert following.asked["Last-Event-Id"] == "2"
    assert following.asked["X-Deadline-Ms"] == "2500"
    assert following.body == first.body
    assert following.answer == b""


def test_a_stream_resumed_again_names_the_request_that_began_it():
    first = stream()
    second = stream("r2", 0, resumes="r1", after_event=2, status=503)
    second.outcome = Outcome.WHOLE
    following = resumer(first, second).next_request(second, "r3")
    assert (following.resumes, following.after_event) == ("r1", 2)


@pytest.mark.parametrize(
    "fields",
    [
        {"outcome": Outcome.WHOLE, "status": 200},
        {"last": 0},
        {"last": 5},
        {"route": "once"},
        {"ended_at": 52.9},
    ],
)
def test_a_stream_that_ended_otherwise_is_not_resumed(fields):
    first = stream(**fields)
    assert resumer(first).next_request(first, "r2") is None


def test_callers_give_up_after_some_tries():
    first = stream()
    callers = resumer(first)
    found = [callers.next_request(first, f"r{number}") for number in range(5)]
    assert sum(sent is not None for sent in found) == MAX_RESUMES


def test_no_stream_is_resumed_where_none_is_broken_off():
    first = stream()
    callers = resumer(first, part=0.0)
    assert not callers.breaks_off(first)
    assert callers.next_request(first, "r2") is None
