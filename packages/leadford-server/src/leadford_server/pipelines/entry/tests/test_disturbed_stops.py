"""Planned stops of an entry of the own interface in which something fails."""

import asyncio
from types import SimpleNamespace

import pytest

from leadford.events import Event
from leadford_server.pipelines.entry.tests._entry import (
    READ_UNKNOWN,
    play,
    read_all,
    send,
    status_of,
)
from leadford_server.stops.tests._faults import break_once, count

# Past the announcement of a stop, so that only the open request holds it.
PAST_ANNOUNCEMENT_S = 0.8
STEPS = [
    "web_.stop",
    "web_.close_idle",
    "web_.close_all_connections",
    "follower_.stop",
    "hosts_.stop",
    "planner_.stop",
    "directory_.stop",
    "entries_.stop",
    "server_.stop",
]


async def stop_beside_a_request(entry, disturb):
    """Stop an entry with an open request; return what its caller gets."""
    caller = entry.connect()
    await send(caller, READ_UNKNOWN)
    stop = asyncio.create_task(entry.process.drain())
    await asyncio.sleep(0)
    disturb(stop)
    await asyncio.sleep(PAST_ANNOUNCEMENT_S)
    assert not stop.done()
    entry.released.set()
    answer = await read_all(caller)
    await stop
    return answer


@pytest.mark.parametrize("step", STEPS)
def test_an_error_in_a_step_of_a_stop_ends_neither_requests_nor_the_stop(step):
    """An error in a stop ends the process at once, with requests open."""

    async def scenario(entry):
        break_once(entry.process, step)
        answer = await stop_beside_a_request(entry, disturb=lambda stop: None)
        assert status_of(answer) == [b"404"]
        assert count(entry.process, Event.STOP_DISTURBED) == 1
        assert count(entry.process, Event.PROCESS_STOPPED) == 1

    play(scenario)


def test_a_stop_that_is_cancelled_goes_on():
    """A cancellation of a stop ends the process at once, with requests open."""

    async def scenario(entry):
        answer = await stop_beside_a_request(entry, disturb=lambda stop: stop.cancel())
        assert status_of(answer) == [b"404"]
        assert count(entry.process, Event.STOP_DISTURBED) == 1
        assert count(entry.process, Event.PROCESS_STOPPED) == 1

    play(scenario)


def test_a_connection_to_an_entry_may_be_made_while_others_are_closed():
    """A message in the last steps of a stop breaks the one that closes connections."""

    async def scenario(entry):
        dialers_by_id = entry.process.entries_.dialers_by_id_

        async def make_another():
            dialers_by_id["later"] = SimpleNamespace(stop=make_another)

        dialers_by_id["first"] = SimpleNamespace(stop=make_another)
        await entry.process.drain()
        assert count(entry.process, Event.STOP_DISTURBED) == 0

    play(scenario)
