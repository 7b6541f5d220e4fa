"""Attempts that arrive while an agent stops as planned."""

import asyncio
from random import Random

from leadford.protocol import Draining, Refused
from leadford_server.logs import EventLog
from leadford_server.peers import Dialer, Identity
from leadford_server.pipelines.agent.tests.agent_process import (
    CONFIG,
    SECRET,
    make_agent_process,
)
from leadford_server.pipelines.agent.tests.attempt_submit import make_submit

TIMEOUT_S = 10.0
# On its way for longer than the announcement, as between data halls.
CROSSING_S = 0.1


class Entry:
    """Send an attempt that crosses the announcement of a stop."""

    def __init__(self):
        self.is_connected = asyncio.Event()
        self.refused = asyncio.get_running_loop().create_future()

    def peer_connected(self, peer):
        self.is_connected.set()

    def peer_lost(self, peer):
        if not self.refused.done():
            self.refused.set_result(None)

    def peer_version(self, peer, version):
        pass

    def peer_message(self, peer, message):
        if isinstance(message, Draining):
            loop = asyncio.get_running_loop()
            submit = make_submit(stage="check", repeatable=False)
            loop.call_later(CROSSING_S, peer.send, submit)
        if isinstance(message, Refused):
            self.refused.set_result(message)


def test_an_attempt_that_crosses_a_stop_is_refused_and_not_lost():
    """An attempt that may not be repeated counts as lost, though it never began."""

    async def scenario():
        process = make_agent_process()
        address = await process.start()
        process._apply(CONFIG)
        entry = Entry()
        dialer = Dialer(
            address=str(address),
            identity=Identity("entry", "entry", "h", SECRET),
            handler=entry,
            log=EventLog(process_id="entry"),
            random=Random(2),
            config_version=lambda: 0,
            on_disconnected=lambda: None,
        )
        dialer.start()
        await entry.is_connected.wait()
        stop = asyncio.create_task(process.drain())
        refused = await entry.refused
        assert refused is not None
        assert (refused.reason, refused.begun) == ("draining", False)
        await stop
        await dialer.stop()

    asyncio.run(asyncio.wait_for(scenario(), TIMEOUT_S))
