"""Only events with new ids show that an answer goes on."""

import asyncio

import pytest

from leadford_server.forwarding.answers._event_reader import EventReader
from leadford_server.forwarding.endpoints import LiveAnswer
from leadford_server.forwarding.endpoints._reader import AnswerReader

EVENT = b"id: 3\ndata: a\n\n"
NEXT_EVENT = b"id: 4\ndata: b\n\n"
COMMENT = b": c\n\n"


def read_all(parts, *, last_event_id=None, is_complete=True):
    """Return what was read of an answer that arrives in parts, and its reader."""

    async def read():
        collector = AnswerReader(codec=None)
        answer = LiveAnswer(None, collector, None)
        reader = EventReader(answer=answer, last_event_id=last_event_id)
        arriving = asyncio.ensure_future(deliver(collector))
        found = []
        while True:
            new = await reader.read()
            if not new.data:
                arriving.cancel()
                return found, reader
            found.append(new.data)

    async def deliver(collector):
        for part in parts:
            collector.data_received(part)
            await asyncio.sleep(0.001)
        if is_complete:
            collector.finish()
        else:
            collector.on_connection_close()

    return asyncio.run(asyncio.wait_for(read(), 10.0))


def test_events_without_an_id_come_with_the_next_event():
    found, _ = read_all([EVENT, COMMENT, COMMENT, NEXT_EVENT])
    assert found == [EVENT, COMMENT + COMMENT + NEXT_EVENT]


def test_events_without_an_id_at_the_end_come_only_if_the_answer_is_complete():
    assert read_all([EVENT, COMMENT])[0] == [EVENT, COMMENT]
    assert read_all([EVENT, COMMENT], is_complete=False)[0] == [EVENT]
    assert read_all([EVENT, COMMENT + b"id: 4"])[0] == [EVENT]


def test_events_that_the_caller_has_are_dropped():
    found, reader = read_all([EVENT + COMMENT + EVENT, NEXT_EVENT], last_event_id=3)
    assert found == [NEXT_EVENT]
    assert reader.has_events_


def test_an_endless_event_is_noticed():
    found, reader = read_all([b"x" * (1024 * 1024 + 1)], is_complete=False)
    assert found == []
    assert reader.is_too_long


@pytest.mark.parametrize("piece", [b"\n", COMMENT, EVENT, b"x"])
def test_an_answer_without_new_events_is_too_long_at_a_bound(piece):
    part = piece * (65_536 // len(piece))
    found, reader = read_all([EVENT, *[part] * 20], is_complete=False)
    assert found == [EVENT]
    assert reader.is_too_long and not reader.is_at_end_


def test_other_tasks_run_between_the_parts_of_what_arrived_at_once():
    # An entry did nothing else until it had split all that had arrived.
    async def read():
        collector = AnswerReader(codec=None)
        collector.data_received(COMMENT * 40_000)
        collector.finish()
        answer = LiveAnswer(None, collector, None)
        reader = EventReader(answer=answer, last_event_id=None)
        reading = asyncio.ensure_future(reader.read())
        turns = 0
        while not reading.done():
            await asyncio.sleep(0)
            turns += 1
        return turns

    assert asyncio.run(read()) >= 10
