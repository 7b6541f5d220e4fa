"""Attach to an attempt at an agent that has not read its submission yet, or lost it."""

import asyncio
import math
from types import SimpleNamespace

import msgspec
import pytest

from leadford.common import Outcome, PoolKind
from leadford.pipelines.config import FleetConfig, PoolConfig
from leadford.protocol import Attach, DoneStatus, Note, NoteRequest
from leadford_server.pipelines.agent._service import AgentService
from leadford_server.pipelines.agent.adapters import AdapterOutcome
from leadford_server.pipelines.entry._entries import EntryPeers
from leadford_server.pipelines.entry._run import ARRIVAL_MAX_MS
from leadford_server.pipelines.entry.tests.test_attempts import CONFIRM, Desk, FakePeer

TIMEOUT_S = 5.0
# The submission is read this long after the attach of another entry.
HELD_UP_S = 0.12
OLD_MS = 60_000.0
RESULT = b'"ran"'


class Adapter:
    """End each attempt at once and count how many ran."""

    def __init__(self):
        self.runs = 0

    async def run(self, submit, timeout_s, sink):
        self.runs += 1
        return AdapterOutcome(DoneStatus.OK, RESULT)


class AgentEnd:
    """Stand for an entry's connection at the agent, which hands answers to its run."""

    def __init__(self, name, desk):
        self.info = SimpleNamespace(peer_id=name)
        self.desk = desk

    def send(self, message):
        if hasattr(message, "request_id"):
            self.desk.run.deliver(message)
        return True


class EntryEnd:
    """Stand for a connection to the agent, whose messages it reads when told."""

    def __init__(self, agent, end):
        self.agent = agent
        self.end = end
        self.sent = []
        self.is_read = True
        agent.peer_connected(end)

    def send(self, message):
        self.sent.append(message)
        if self.is_read:
            self.agent.peer_message(self.end, message)
        return True

    def read(self):
        self.is_read = True
        for message in self.sent:
            self.agent.peer_message(self.end, message)


class Scene:
    """Hold the owner of a key, a follower of it, and the agents of two endpoints."""

    def __init__(self):
        self.adapter = Adapter()
        self.agents = {name: self.make_agent(name) for name in ("a", "b")}
        self.owner = self.make_entry("owner")
        self.follower = self.make_entry("follower")
        self.age_ms = 0.0
        services = self.follower.run.services
        services.directory.link = self.follower.links.get
        services.entries.find_note = self.find_note

    def make_agent(self, name):
        return AgentService(
            endpoint_id=name,
            adapter=self.adapter,
            pool=PoolConfig(kind=PoolKind.ENCODER, concurrency=4),
            config=FleetConfig(),
            log=SimpleNamespace(report=lambda event, **fields: None),
            clock=lambda: 0.0,
        )

    def make_entry(self, name):
        desk = Desk(CONFIRM, names=tuple(self.agents))
        for endpoint_id, agent in self.agents.items():
            link = desk.links[endpoint_id]
            link.peer = EntryEnd(agent, AgentEnd(name, desk))
        return desk

    async def find_note(self, request_id) -> Note:
        return msgspec.structs.replace(self.owner.notes[-1], age_ms=self.age_ms)

    def hold_up_owner(self):
        for link in self.owner.links.values():
            link.peer.is_read = False

    async def own(self):
        """Begin the request at its owner, as far as its messages have left."""
        task = asyncio.create_task(self.owner.run.run())
        while not self.owner.notes:
            await asyncio.sleep(0)
        return task

    async def follow(self):
        return await self.follower.run.resume(await self.find_note("r"))

    def read_owner(self):
        for link in self.owner.links.values():
            link.peer.read()

    def attaches(self):
        sent = [m for link in self.follower.links.values() for m in link.peer.sent]
        return [message for message in sent if isinstance(message, Attach)]


def play(scenario):
    return asyncio.run(asyncio.wait_for(scenario(), TIMEOUT_S))


@pytest.mark.parametrize("attach_is_first", [False, True])
def test_both_entries_get_the_answer_in_either_order(attach_is_first):
    """The note of an attempt and its submission leave on two connections."""

    async def scenario():
        scene = Scene()
        if attach_is_first:
            scene.hold_up_owner()
        owner = await scene.own()
        if attach_is_first:
            asyncio.get_running_loop().call_later(HELD_UP_S, scene.read_owner)
        followed = await scene.follow()
        owned = await owner
        assert (owned.outcome, owned.result) == (Outcome.COMPLETE, RESULT)
        assert (followed.outcome, followed.result) == (Outcome.COMPLETE, RESULT)
        assert scene.adapter.runs == 1

    play(scenario)


def test_an_attempt_that_was_refused_is_followed_to_where_it_moved():
    async def scenario():
        scene = Scene()
        scene.hold_up_owner()
        owner = await scene.own()
        scene.agents[scene.owner.notes[0].endpoint_id].drain()
        asyncio.get_running_loop().call_later(HELD_UP_S, scene.read_owner)
        followed = await scene.follow()
        assert (followed.outcome, followed.result) == (Outcome.COMPLETE, RESULT)
        assert (await owner).outcome is Outcome.COMPLETE
        assert scene.adapter.runs == 1

    play(scenario)


@pytest.mark.parametrize("age_ms", [OLD_MS, math.inf])
def test_an_attempt_that_an_agent_lost_ends_at_once(age_ms):
    """An agent that restarted never gets the submission; an old build tells no age."""

    async def scenario():
        scene = Scene()
        scene.hold_up_owner()
        owner = await scene.own()
        scene.age_ms = age_ms
        followed = await scene.follow()
        assert followed.outcome is Outcome.UNKNOWN
        assert followed.problem.reason.value == "endpoint-lost"
        assert len(scene.attaches()) == 1
        owner.cancel()

    play(scenario)


def test_an_attempt_that_an_agent_lost_while_it_restarted_ends_at_once():
    """The agent was away for longer than a submission is on its way."""

    async def scenario():
        scene = Scene()
        scene.hold_up_owner()
        owner = await scene.own()
        place = scene.owner.notes[0].endpoint_id
        link = scene.follower.links[place]
        peer, link.peer = link.peer, None
        follower = asyncio.create_task(scene.follow())
        await asyncio.sleep(HELD_UP_S)
        scene.follower.run.services.clock = lambda: ARRIVAL_MAX_MS / 1000.0
        link.peer = peer
        assert (await follower).outcome is Outcome.UNKNOWN
        assert len(scene.attaches()) == 1
        owner.cancel()

    play(scenario)


def test_an_attempt_whose_submission_never_comes_ends_when_it_is_no_longer_new():
    async def scenario():
        scene = Scene()
        scene.hold_up_owner()
        owner = await scene.own()
        asyncio.get_running_loop().call_later(
            HELD_UP_S, setattr, scene, "age_ms", OLD_MS
        )
        followed = await scene.follow()
        assert followed.outcome is Outcome.UNKNOWN
        assert len(scene.attaches()) > 1
        owner.cancel()

    play(scenario)


def test_a_holder_of_a_note_tells_its_age():
    async def scenario():
        scene = Scene()
        scene.hold_up_owner()
        owner = await scene.own()
        (note,) = scene.owner.notes
        assert note.age_ms == math.inf
        holder = EntryPeers(entry_id="holder", hall="h", dialers=None)
        holder._keep(note)
        await asyncio.sleep(HELD_UP_S)
        asking = FakePeer()
        assert holder.peer_message(asking, NoteRequest(note.request_id))
        (told,) = asking.sent
        found = await holder.find_note(note.request_id)
        for aged in (told.note, found):
            assert msgspec.structs.replace(aged, age_ms=math.inf) == note
            assert HELD_UP_S * 900.0 <= aged.age_ms < TIMEOUT_S * 1000.0
        owner.cancel()

    play(scenario)
