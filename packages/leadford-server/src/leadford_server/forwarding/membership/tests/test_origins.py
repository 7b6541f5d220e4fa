"""Entries know which software version began a stream, whichever of them are lost."""

import asyncio
from types import SimpleNamespace

import pytest

from leadford.common import EntryId, RequestId
from leadford.forwarding.endpoints import SoftwareVersion
from leadford.forwarding.routes import ServiceId
from leadford.forwarding.streams import (
    MAX_ORIGIN_AGE_S,
    REPLICA_COUNT,
    OriginLedger,
    SoftwareHistory,
    StreamContent,
    StreamKey,
    StreamOrigin,
)
from leadford.protocol import PROTOCOL_LOAD, PROTOCOL_ORIGINS, StreamOriginNews
from leadford_server.forwarding._links_contract import FoundOrigin, OriginSource
from leadford_server.forwarding.membership._origin_search import MAX_ORIGIN_WAIT_S
from leadford_server.forwarding.membership._origins import CUT_OFF_S, OriginExchange
from leadford_server.forwarding.membership.tests.instant_loop import new_loop

SERVICE = ServiceId("engine")
V1, V2 = SoftwareVersion("v1"), SoftwareVersion("v2")
ORIGIN = StreamOrigin(SERVICE, V1)
REQUEST = RequestId("r")
CONTENT = StreamContent("c")
# For how long the callers of these tests wait.
WAIT_S = 15.0
UNKNOWN = FoundOrigin(OriginSource.NOBODY, None)


class Fleet:
    """Connect entries; the first of them are candidates to keep origins."""

    def __init__(self, *, entries=6, candidates=None, older=()):
        self.delay_s = 0.001
        self.sent = []
        self.cut = set()
        self.older = set(older)
        self.listed = {V1, V2}
        # The only version that the store names, and how long it takes to answer.
        self.recorded = None
        self.store_s = 0.0
        # The longest time that a caller waits, by the store.
        self.longest_wait_s = None
        self.candidates = candidates or entries
        self.entries = [Entry(self, number) for number in range(entries)]
        for entry in self.entries:
            entry.link_all()
        for entry in self.entries:
            entry.origins.refresh()

    def replicas(self):
        """Return the entries that know the origin by a message."""
        return [e for e in self.entries[1:] if e.state.origin_ledger_.find(REQUEST)]

    def kill(self, entry):
        """End the links of an entry."""
        self.cut.add(entry.entry_id)
        for other in self.entries:
            if other is not entry:
                del other.peers[entry.entry_id]
                other.origins.forget(entry.entry_id)

    def start_again(self, entry):
        """Put an entry without memory in the place of one that was killed."""
        self.cut.discard(entry.entry_id)
        new = Entry(self, entry.number)
        self.entries[entry.number] = new
        new.state.software_history_ = SoftwareHistory()
        new.state.software_history_.begin(new.state.now())
        new.state.origin_ledger_.record_gap(new.state.now())
        new.link_all()
        for other in self.entries:
            if other is not new:
                other.peers[new.entry_id] = Link(other, new)
                other.origins.forget(new.entry_id)
            other.origins.refresh()
        return new


class Entry:
    """Hold the origins of one entry, with fakes of what they use."""

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.number = number
        self.entry_id = EntryId(f"entry-{number}")
        loop = asyncio.get_running_loop()
        history = SoftwareHistory()
        history.begin(-MAX_ORIGIN_AGE_S)
        self.state = SimpleNamespace(
            loop=loop,
            now=loop.time,
            origin_ledger_=OriginLedger(),
            software_history_=history,
            roster_=SimpleNamespace(listed_software=lambda service_id: fleet.listed),
            alone_since_=None,
            software_records_=Records(fleet),
            stream_records_=None,
        )
        # It has run for long.
        self.state.origin_ledger_.record_gap(-MAX_ORIGIN_AGE_S)
        self.peers = {}
        self.origins = OriginExchange(
            state=self.state,
            peers_by_id=self.peers,
            common_peers=lambda: {
                EntryId(f"entry-{n}") for n in range(fleet.candidates)
            },
            entry_count=lambda: len(fleet.entries),
        )

    def link_all(self):
        for other in self.fleet.entries:
            if other is not self and other.entry_id not in self.fleet.cut:
                self.peers[other.entry_id] = Link(self, other)

    def record(self, request_id=REQUEST, origin=ORIGIN, content=CONTENT):
        self.origins.record(StreamKey(request_id, content), origin, WAIT_S)

    async def find(self, request_id=REQUEST, content=CONTENT):
        return await self.origins.find(StreamKey(request_id, content), [SERVICE])


class Records:
    """Hold what the store names, for all entries."""

    def __init__(self, fleet):
        self.fleet = fleet

    def longest_wait_s(self, service_id):
        return self.fleet.longest_wait_s

    async def sole(self, service_ids):
        await asyncio.sleep(self.fleet.store_s)
        return self.fleet.recorded


class Link:
    """Carry messages from one entry to another after a delay, unless it is cut."""

    def __init__(self, sender, receiver):
        self.sender, self.receiver = sender, receiver
        is_older = receiver.number in sender.fleet.older
        self.info = SimpleNamespace(
            peer_id=receiver.entry_id,
            protocol_version=PROTOCOL_LOAD if is_older else PROTOCOL_ORIGINS,
        )

    def send(self, message):
        fleet = self.sender.fleet
        assert self.receiver.number not in fleet.older
        fleet.sent.append(message)
        if {self.sender.entry_id, self.receiver.entry_id} & fleet.cut:
            return
        self.sender.state.loop.call_later(fleet.delay_s, self._deliver, message)

    def _deliver(self, message):
        handler = self.receiver.origins.handlers()[type(message)]
        handler(self.receiver.peers[self.sender.entry_id], message)


def run(scenario, **fields):
    async def main():
        fleet = Fleet(**fields)
        await asyncio.wait_for(scenario(fleet), 3_600)
        assert all(not e.origins.search.questions_by_id_ for e in fleet.entries)

    with asyncio.Runner(loop_factory=new_loop) as runner:
        runner.run(main())


async def begin(fleet):
    """Begin a stream at the first entry, and wait until its replicas know."""
    fleet.entries[0].record()
    await asyncio.sleep(0.01)


def test_every_entry_knows_a_stream_after_the_one_that_began_it_was_killed():
    async def scenario(fleet):
        await begin(fleet)
        assert len(fleet.replicas()) == REPLICA_COUNT
        fleet.kill(fleet.entries[0])
        for entry in fleet.entries[1:]:
            assert (await entry.find()).origin == ORIGIN

    run(scenario)


def test_a_stream_is_known_after_all_its_replicas_were_lost_one_by_one():
    async def scenario(fleet):
        await begin(fleet)
        for replica in fleet.replicas():
            fleet.kill(replica)
            await asyncio.sleep(0.01)
            fleet.start_again(replica)
            await asyncio.sleep(0.01)
        fleet.kill(fleet.entries[0])
        for entry in fleet.entries[1:]:
            assert (await entry.find()).origin == ORIGIN

    run(scenario)


def test_a_resumed_stream_is_known_after_all_that_knew_it_before_were_lost():
    async def scenario(fleet):
        await begin(fleet)
        first, *replicas = [fleet.entries[0], *fleet.replicas()]
        taker = next(e for e in fleet.entries[1:] if e not in replicas)
        found = await taker.find()
        taker.record(origin=found.origin)
        await asyncio.sleep(0.01)
        for entry in (first, *replicas):
            fleet.kill(entry)
        await asyncio.sleep(0.01)
        for entry in fleet.entries:
            if entry not in (first, *replicas):
                assert (await entry.find()).origin == ORIGIN

    run(scenario, entries=8)


def test_a_dead_replica_does_not_hold_up_the_answer_of_another():
    async def scenario(fleet):
        await begin(fleet)
        dead, *_ = fleet.replicas()
        # Its links still seem to be open.
        fleet.cut.add(dead.entry_id)
        asked_at = fleet.entries[0].state.now()
        for entry in fleet.entries[1:]:
            if entry is not dead:
                assert (await entry.find()).origin == ORIGIN
        assert fleet.entries[0].state.now() - asked_at < MAX_ORIGIN_WAIT_S

    run(scenario)


def test_nobody_guesses_while_two_versions_serve():
    async def scenario(fleet):
        assert await fleet.entries[1].find() == UNKNOWN
        assert await fleet.entries[1].find(None) == UNKNOWN

    run(scenario)


def test_a_stream_that_nobody_knows_goes_on_where_the_store_names_one_version():
    async def scenario(fleet):
        fleet.listed = {V1}
        assert await fleet.entries[1].find() == UNKNOWN
        fleet.recorded = V1
        found = await fleet.entries[1].find()
        assert found == FoundOrigin(OriginSource.SOLE, ORIGIN)
        # One entry has seen another version not long ago.
        fleet.longest_wait_s = 30.0
        for entry in fleet.entries[2:]:
            history = entry.state.software_history_
            history.record_gone(SERVICE, V2, entry.state.now())
        assert await fleet.entries[1].find() == UNKNOWN
        await asyncio.sleep(31.0)
        assert await fleet.entries[1].find() == found

    run(scenario)


def test_entries_that_are_cut_off_together_conclude_nothing_from_their_listings():
    # They have listed one version for long, and do not know that another one came.
    async def scenario(fleet):
        fleet.listed = {V1}
        fleet.cut.update(entry.entry_id for entry in fleet.entries[2:])
        for entry in fleet.entries[:2]:
            assert await entry.find() == UNKNOWN
        fleet.recorded = V1
        fleet.store_s = 10.0
        assert await fleet.entries[0].find() == UNKNOWN

    run(scenario)


def test_an_entry_that_just_started_believes_what_the_store_names():
    async def scenario(fleet):
        fleet.listed = {V1}
        fleet.recorded = V1
        fleet.kill(fleet.entries[1])
        new = fleet.start_again(fleet.entries[1])
        assert (await new.find()).source is OriginSource.SOLE

    run(scenario)


def test_an_entry_without_answers_concludes_nothing_from_its_own_listing():
    async def scenario(fleet):
        fleet.listed = {V1}
        fleet.cut.update(entry.entry_id for entry in fleet.entries[1:])
        asked_at = fleet.entries[0].state.now()
        assert await fleet.entries[0].find() == UNKNOWN
        waited_s = fleet.entries[0].state.now() - asked_at
        assert waited_s == pytest.approx(MAX_ORIGIN_WAIT_S, abs=0.01)

    run(scenario)


def test_an_entry_alone_knows_its_own_streams_and_what_it_has_listed():
    async def scenario(fleet):
        (entry,) = fleet.entries
        assert await entry.find() == UNKNOWN
        entry.record()
        assert await entry.find() == FoundOrigin(OriginSource.OWN, ORIGIN)
        fleet.listed = {V2}
        fleet.recorded = V2
        found = await entry.find(RequestId("other"))
        assert found.origin == StreamOrigin(SERVICE, V2)

    run(scenario, entries=1)


def test_an_entry_that_starts_waits_for_its_links_before_it_refuses():
    async def scenario(fleet):
        await begin(fleet)
        entry = fleet.entries[0]
        newcomer = Entry(fleet, 5)
        fleet.entries[5] = newcomer
        entry.state.loop.call_later(0.1, newcomer.link_all)
        entry.state.loop.call_later(0.15, newcomer.origins.refresh)
        for other in fleet.entries[:5]:
            other.peers[newcomer.entry_id] = Link(other, newcomer)
        assert (await newcomer.find()).origin == ORIGIN

    run(scenario)


def test_entries_of_an_older_build_are_neither_told_nor_asked():
    async def scenario(fleet):
        await begin(fleet)
        assert {replica.number for replica in fleet.replicas()} == {3, 4, 5}
        for entry in fleet.entries[3:]:
            assert (await entry.find()).origin == ORIGIN
        # Streams that the older entries began are known to nobody.
        assert await fleet.entries[3].find(RequestId("other")) == UNKNOWN

    run(scenario, older=(1, 2))


def test_origins_end_with_their_callers():
    async def scenario(fleet):
        await begin(fleet)
        await asyncio.sleep(WAIT_S)
        for entry in fleet.entries:
            entry.origins.refresh()
            assert len(entry.state.origin_ledger_) == 0
            assert not entry.origins.told_by_id_
        assert await fleet.entries[1].find() == UNKNOWN

    run(scenario)


def test_the_cost_of_a_stream_does_not_grow_with_the_fleet():
    async def scenario(fleet):
        await begin(fleet)
        assert len(fleet.sent) == REPLICA_COUNT
        assert all(type(message) is StreamOriginNews for message in fleet.sent)
        await fleet.entries[250].find()
        # A question and an answer for each replica.
        assert len(fleet.sent) <= REPLICA_COUNT + 2 * REPLICA_COUNT

    run(scenario, entries=300, candidates=8)


def test_a_version_that_was_not_known_is_not_told():
    async def scenario(fleet):
        origin = StreamOrigin(SERVICE, None)
        fleet.entries[0].record(origin=origin)
        assert fleet.sent == []
        assert await fleet.entries[0].find() == UNKNOWN

    run(scenario)


def test_a_stream_whose_caller_does_not_name_it_is_known_by_its_content():
    async def scenario(fleet):
        await begin(fleet)
        fleet.kill(fleet.entries[0])
        for entry in fleet.entries[1:]:
            assert (await entry.find(None)).origin == ORIGIN
            assert await entry.find(None, StreamContent("other")) == UNKNOWN

    run(scenario, entries=9)


def test_streams_of_one_content_at_two_versions_are_not_confused():
    async def scenario(fleet):
        await begin(fleet)
        other = StreamOrigin(SERVICE, V2)
        fleet.entries[1].record(RequestId("other"), other)
        await asyncio.sleep(0.01)
        for entry in fleet.entries:
            assert await entry.find(None) == UNKNOWN
            assert (await entry.find()).origin == ORIGIN
            assert (await entry.find(RequestId("other"))).origin == other

    run(scenario, entries=9)


def test_an_entry_among_older_ones_refuses_without_a_wait():
    async def scenario(fleet):
        asked_at = fleet.entries[0].state.now()
        assert await fleet.entries[0].find() == UNKNOWN
        assert fleet.entries[0].state.now() == asked_at

    run(scenario, entries=4, older=(1, 2, 3))


def test_a_stream_whose_caller_waits_no_longer_leaves_nothing_behind():
    async def scenario(fleet):
        exchange = fleet.entries[0].origins
        exchange.record(StreamKey(REQUEST, CONTENT), ORIGIN, 0.0)
        assert not exchange.told_by_id_
        assert fleet.sent == []

    run(scenario)


def test_many_streams_of_one_content_do_not_hide_another_version():
    async def scenario(fleet):
        knowing, asking = fleet.entries
        for number in range(40):
            knowing.record(RequestId(f"r{number:02}"))
        knowing.record(RequestId("r99"), StreamOrigin(SERVICE, V2))
        assert await asking.find(None) == UNKNOWN

    run(scenario, entries=2, candidates=1)


async def lose_all(fleet):
    """Start all entries again, without what they knew."""
    for entry in list(fleet.entries):
        fleet.kill(entry)
    for entry in list(fleet.entries):
        fleet.start_again(entry)


def test_a_content_begun_anew_does_not_name_a_stream_that_all_entries_have_lost():
    # The caller of the lost stream names no request; another one has begun since.
    async def scenario(fleet):
        await begin(fleet)
        await lose_all(fleet)
        fleet.entries[1].record(RequestId("other"), StreamOrigin(SERVICE, V2))
        await asyncio.sleep(0.01)
        for entry in fleet.entries:
            assert await entry.find(None) == UNKNOWN
            assert (await entry.find(RequestId("other"))).origin.software == V2
        await asyncio.sleep(MAX_ORIGIN_AGE_S)
        for entry in fleet.entries:
            entry.record(RequestId("later"), ORIGIN, StreamContent("later"))
        assert (await entry.find(None, StreamContent("later"))).origin == ORIGIN

    run(scenario, entries=4)


@pytest.mark.parametrize("lost", [3, 4])
def test_a_content_names_no_stream_once_all_holders_of_one_may_be_lost(lost):
    async def scenario(fleet):
        fleet.entries[0].record(RequestId("other"), StreamOrigin(SERVICE, V2))
        await asyncio.sleep(0.01)
        for entry in fleet.entries[-lost:]:
            fleet.kill(entry)
        for entry in fleet.entries[-lost:]:
            fleet.start_again(entry)
        assert await fleet.entries[0].find(None) == UNKNOWN
        assert await fleet.entries[-1].find(None) == UNKNOWN

    run(scenario, entries=9, candidates=8)


def test_a_content_names_no_stream_at_an_entry_that_nobody_answers():
    # The stream that is meant may have begun at one of the others meanwhile.
    async def scenario(fleet):
        entry = fleet.entries[0]
        entry.record(RequestId("other"), StreamOrigin(SERVICE, V2))
        for other in fleet.entries[1:]:
            fleet.kill(other)
        assert await entry.find(None) == UNKNOWN
        assert (await entry.find(RequestId("other"))).origin.software == V2

    run(scenario, entries=3)


def test_a_content_names_no_stream_at_an_entry_that_was_cut_off():
    async def scenario(fleet):
        entry = fleet.entries[0]
        entry.state.alone_since_ = entry.state.now() - CUT_OFF_S
        entry.origins.refresh()
        entry.state.alone_since_ = None
        entry.record(RequestId("other"), StreamOrigin(SERVICE, V2))
        assert entry.state.origin_ledger_.complete_for_s(entry.state.now()) == 0.0

    run(scenario)


def test_a_content_names_no_stream_where_too_few_entries_answer():
    # The entries that do not answer may hold another stream of the content.
    async def scenario(fleet):
        entry = fleet.entries[0]
        entry.record(RequestId("other"), StreamOrigin(SERVICE, V2))
        fleet.cut.update(other.entry_id for other in fleet.entries[1:4])
        assert await entry.find(None) == UNKNOWN

    run(scenario, entries=6)


def test_a_version_listed_alone_since_a_while_did_not_begin_what_all_entries_lost():
    # The caller waits for 100 s, but no entry that lives has seen it wait.
    async def scenario(fleet):
        fleet.listed = {V1}
        fleet.entries[0].origins.record(StreamKey(REQUEST, CONTENT), ORIGIN, 100.0)
        await asyncio.sleep(0.01)
        fleet.listed = {V2}
        await lose_all(fleet)
        for wait_s in (31.0, 60.0):
            await asyncio.sleep(wait_s)
            for entry in fleet.entries:
                assert await entry.find() == UNKNOWN

    run(scenario, entries=3)


def test_a_loss_after_a_gap_alone_hides_no_stream():
    # Three holders were lost some time ago; one more is no reason to doubt the others.
    async def scenario(fleet):
        entry = fleet.entries[0]
        ledger = entry.state.origin_ledger_
        for lost in fleet.entries[1:4]:
            fleet.kill(lost)
            fleet.start_again(lost)
        assert ledger.complete_for_s(entry.state.now()) == 0.0
        await asyncio.sleep(40.0)
        fleet.kill(fleet.entries[4])
        assert ledger.complete_for_s(entry.state.now()) >= 40.0

    run(scenario, entries=9)
