"""Attempts whose call to the endpoint breaks off in the agent."""

import asyncio
from types import SimpleNamespace

import pytest

from leadford.common import PoolKind
from leadford.pipelines.config import FleetConfig, PoolConfig
from leadford.protocol import Done, DoneStatus
from leadford_server.pipelines.agent._service import AgentService
from leadford_server.pipelines.agent.tests.attempt_submit import make_submit

TIMEOUT_S = 5.0
POOL = PoolConfig(kind=PoolKind.ENGINE, concurrency=1)


class FakePeer:
    def __init__(self):
        self.info = SimpleNamespace(peer_id="entry")
        self.sent = []

    def send(self, message):
        self.sent.append(message)
        return True

    def ends(self):
        return [message for message in self.sent if isinstance(message, Done)]


def make_service(adapter):
    service = AgentService(
        endpoint_id="e",
        adapter=adapter,
        pool=POOL,
        config=FleetConfig(),
        log=SimpleNamespace(report=lambda event, **fields: None),
        clock=lambda: 0.0,
    )
    peer = FakePeer()
    service.peer_connected(peer)
    return service, peer


class BrokenAdapter:
    """Raise an error in each call, or wait to be cancelled."""

    def __init__(self, *, raises):
        self.raises = raises

    async def run(self, submit, timeout_s, sink):
        if self.raises:
            raise KeyError("lost")
        await asyncio.Event().wait()


def task_of(service):
    (attempt,) = service.state_.attempts_by_key_.values()
    return attempt.task_


@pytest.mark.parametrize("moment", ["raises", "cancelled", "cancelled-unbegun"])
def test_an_attempt_that_breaks_off_ends_and_frees_its_slot(moment):
    """An attempt that broke off holds its slot and a planned stop for ever."""

    async def scenario():
        service, peer = make_service(BrokenAdapter(raises=moment == "raises"))
        for number in (1, 2):
            service.peer_message(peer, make_submit(attempt=number))
            if moment == "cancelled":
                await asyncio.sleep(0.01)
            if moment != "raises":
                task_of(service).cancel()
            for _ in range(5):
                await asyncio.sleep(0)
        ends = [(done.attempt, done.status) for done in peer.ends()]
        assert ends == [(1, DoneStatus.FAILED), (2, DoneStatus.FAILED)]
        assert service.is_idle

    asyncio.run(asyncio.wait_for(scenario(), TIMEOUT_S))


def test_an_attempt_that_waits_is_not_started_as_others_are_cancelled_at_the_end():
    """An attempt that is cancelled as the process ends starts the next one."""

    async def scenario():
        service, peer = make_service(BrokenAdapter(raises=False))
        service.peer_message(peer, make_submit(attempt=1))
        service.peer_message(peer, make_submit(attempt=2))
        first, second = service.state_.attempts_by_key_.values()
        service.stop()
        first.task_.cancel()
        await asyncio.sleep(0.01)
        assert first.item.key not in service.state_.attempts_by_key_
        assert second.task_ is None

    asyncio.run(asyncio.wait_for(scenario(), TIMEOUT_S))
