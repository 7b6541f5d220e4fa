"""Streams are split into complete events, wherever the received chunks are split."""

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


def test_an_endless_event_is_noticed():
    splitter = EventStreamSplitter()
    splitter.feed(b"x" * (1024 * 1024 + 1))
    assert splitter.is_too_long
