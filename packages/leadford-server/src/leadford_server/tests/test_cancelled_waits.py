"""Test that a wait which is cancelled as what it waits for arrives is cancelled."""

import asyncio
from random import Random
from types import SimpleNamespace

import pytest

from leadford_server.forwarding.membership._placing import EnginePlacing
from leadford_server.forwarding.store.tests.test_follow import Client, new_follower
from leadford_server.peers import _handshake
from leadford_server.pipelines.agent._models import ModelLoader
from leadford_server.pipelines.config import ConfigFollower
from leadford_server.pipelines.config._source import PeerSource
from leadford_server.pipelines.entry._claims import ClaimService

PEER = SimpleNamespace(send=lambda message: True)


def placing():
    placing = EnginePlacing(
        state=SimpleNamespace(loop=asyncio.get_running_loop(), engines_=None),
        peers_by_id={},
        group_of=None,
        placer_of=None,
        all_know=None,
    )

    def arrive():
        placing.answers_by_id_[1].set_result("endpoint")

    return placing._wait_answer(1, "entry"), arrive


def resting_follower():
    follower = new_follower(Client([]), 4.0)
    follower.max_confirmation_age_s = lambda: 60.0
    follower.confirmed_at_ = asyncio.get_running_loop().time()
    return follower._rest(), follower.poll_requested_.set


def config_of_a_peer():
    source = PeerSource(peer=PEER)
    return source.head(), lambda: source.head_answer_.set_result(None)


def chunks_of_a_peer():
    source = PeerSource(peer=PEER)
    return source.chunks(["key"]), source.all_received_.set


def config_follower():
    follower = ConfigFollower(
        store=None, log=None, random=Random(1), is_relay=None, on_change=None
    )
    return follower._pause(60.0), follower.wake_.set


def model_loader():
    sequence = SimpleNamespace(wanted_copies_=frozenset({"copy"}), fence_=1)
    loader = ModelLoader(
        url="", http=None, sequence=sequence, log=None, on_change=lambda: None
    )
    return loader._pause(), loader.wake_.set


def claim():
    entries = SimpleNamespace(peer=lambda owner: PEER)
    service = ClaimService(
        entry_id="a", store=None, entries=entries, events=None, random=Random(1)
    )

    def arrive():
        service.forwarded_by_id_["c"].future.set_result(None)

    return service._forward("b", "request", "c"), arrive


def handshake():
    arrived = asyncio.get_running_loop().create_future()

    async def receive():
        return await arrived

    socket = SimpleNamespace(recv=receive)
    return _handshake._receive(socket, object), lambda: arrived.set_result(b"")


@pytest.mark.parametrize(
    "make",
    [
        placing,
        resting_follower,
        config_of_a_peer,
        chunks_of_a_peer,
        config_follower,
        model_loader,
        claim,
        handshake,
    ],
)
def test_a_wait_that_is_cancelled_as_its_answer_arrives_does_not_go_on(make):
    # The cancellation was lost: work went on for a caller that had left.
    async def scenario():
        waiting, arrive = make()
        task = asyncio.ensure_future(waiting)
        for _ in range(3):
            await asyncio.sleep(0)
        arrive()
        task.cancel()
        await asyncio.wait({task}, timeout=1.0)
        return task.cancelled()

    assert asyncio.run(scenario())
