"""Planned stops of an agent in which something fails."""

import asyncio
from types import SimpleNamespace

import pytest

from leadford.events import Event
from leadford.protocol import Done, DoneStatus
from leadford_server.pipelines.agent.adapters import AdapterOutcome
from leadford_server.pipelines.agent.tests.agent_process import (
    CONFIG,
    make_agent_process,
)
from leadford_server.pipelines.agent.tests.attempt_submit import make_submit
from leadford_server.stops.tests._faults import break_once, count

TIMEOUT_S = 10.0
# Past the announcement of a stop, so that only the running attempt holds it.
PAST_ANNOUNCEMENT_S = 0.8
STEPS = [
    "service_.drain",
    "service_.stop",
    "peer.close",
    "follower_.stop",
    "server_.stop",
    "web_.stop",
]


class FakePeer:
    """Keep what an agent sends to an entry."""

    def __init__(self, name):
        self.info = SimpleNamespace(peer_id=name, role="entry")
        self.sent = []
        self.is_closed = False

    def send(self, message):
        self.sent.append(message)
        return True

    def announce_version(self):
        pass

    async def close(self):
        self.is_closed = True


class WaitingAdapter:
    """Hold a call to the endpoint until it is released."""

    def __init__(self):
        self.released = asyncio.Event()

    async def run(self, submit, timeout_s, sink):
        await self.released.wait()
        return AdapterOutcome(DoneStatus.OK)


async def start_agent():
    """Return an agent that runs an attempt, its adapter and its peers."""
    process = make_agent_process()
    await process.start()
    process._apply(CONFIG)
    adapter = WaitingAdapter()
    process.service_.runner_.adapter = adapter
    peers = [FakePeer("a"), FakePeer("b")]
    for peer in peers:
        process.peer_connected(peer)
    process.peer_message(peers[0], make_submit(stage="check", repeatable=False))
    return process, adapter, peers


async def stop_beside_an_attempt(process, adapter, disturb):
    """Stop an agent, and end its attempt while the stop waits."""
    stop = asyncio.create_task(process.drain())
    await asyncio.sleep(0)
    disturb(stop)
    await asyncio.sleep(PAST_ANNOUNCEMENT_S)
    assert not stop.done()
    adapter.released.set()
    await stop


def check_stopped(process, peers):
    """Check that the attempt has its result, and that the stop went to its end."""
    ends = [message for message in peers[0].sent if isinstance(message, Done)]
    assert [end.status for end in ends] == [DoneStatus.OK]
    assert peers[1].is_closed
    assert count(process, Event.STOP_DISTURBED) == 1
    assert count(process, Event.PROCESS_STOPPED) == 1


@pytest.mark.parametrize("step", STEPS)
def test_an_error_in_a_step_of_a_stop_ends_neither_attempts_nor_the_stop(step):
    """An error in a stop ends the process at once, with attempts at its endpoint."""

    async def scenario():
        process, adapter, peers = await start_agent()
        # A step is looked up on the process.
        process.peer = peers[0]
        break_once(process, step)
        await stop_beside_an_attempt(process, adapter, disturb=lambda stop: None)
        check_stopped(process, peers)

    asyncio.run(asyncio.wait_for(scenario(), TIMEOUT_S))


def test_a_stop_that_is_cancelled_goes_on():
    """A cancellation of a stop ends the process at once, with attempts running."""

    async def scenario():
        process, adapter, peers = await start_agent()
        await stop_beside_an_attempt(
            process, adapter, disturb=lambda stop: stop.cancel()
        )
        check_stopped(process, peers)

    asyncio.run(asyncio.wait_for(scenario(), TIMEOUT_S))
