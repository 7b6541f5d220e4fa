"""Streams are split into complete events, wherever the received chunks are split."""

import time

import pytest
from hypothesis import given, strategies as st

from leadford_server.forwarding.answers._events import EventStreamSplitter

EVENTS = [b"id: 1\ndata: a\n\n", b"id: 2\r\ndata: b\r\n\r\n", b"data: no id\n\n"]


@given(st.lists(st.integers(1, 7), max_size=40))
def test_events_come_whole_however_bytes_arrive(sizes):
    data = b"".join(EVENTS)
    splitter = EventStreamSplitter()
    found = []
    while data:
        size = sizes.pop() if sizes else len(data)
        found += splitter.feed(data[:size])
        data = data[size:]
    assert [event.data for event in found] == EVENTS
    assert [event.event_id for event in found] == [1, 2, None]
    assert not splitter.has_partial_event


def test_an_unfinished_event_is_not_passed():
    splitter = EventStreamSplitter()
    assert splitter.feed(b"id: 1\ndata: a") == []
    assert splitter.has_partial_event
    assert len(splitter.feed(b"\n\n")) == 1
    assert not splitter.has_partial_event


def test_many_empty_lines_and_comments_become_few_events():
    splitter = EventStreamSplitter()
    assert splitter.feed(b"\n" * 65_536) == []
    assert not splitter.has_partial_event
    found = splitter.feed(b"\r\n\r\n" + b": c\n\n" * 10_000 + EVENTS[0])
    assert [event.event_id for event in found] == [None, 1]
    assert found[1].data == EVENTS[0]


# Each took from a second to a minute when each byte was searched again and again.
@pytest.mark.parametrize(
    ("data", "size"),
    [
        pytest.param(b"\n" * 65_536, 65_536, id="line-ends"),
        pytest.param(b": c\n\n" * 13_000, 65_536, id="comments"),
        pytest.param(b"id: 1\n\n" * 9_000, 65_536, id="events"),
        pytest.param(b"x" * 500_000, 10, id="one-line-in-small-parts"),
        pytest.param(b"\n" * 500_000, 10, id="line-ends-in-small-parts"),
    ],
)
def test_the_work_grows_with_the_bytes_and_not_faster(data, size):
    splitter = EventStreamSplitter()
    began_at = time.process_time()
    for at in range(0, len(data), size):
        splitter.feed(data[at : at + size])
    assert time.process_time() - began_at < 0.5


def test_a_number_of_too_many_digits_is_no_id():
    splitter = EventStreamSplitter()
    (event,) = splitter.feed(b"id: " + b"9" * 5_000 + b"\n\n")
    assert event.event_id is None
