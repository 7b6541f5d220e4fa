"""Data that an entry requests from peers is applied, however slow their links are."""

import zlib
from random import Random
from types import SimpleNamespace

import msgspec
import pytest

from leadford.common import EndpointId, EntryId, HallId
from leadford.forwarding.endpoints import (
    EndpointAddress,
    ListedEndpoint,
    ListedState,
)
from leadford.forwarding.history import FIRST_EPOCH, StorePosition
from leadford.forwarding.routes import ForwardConfig, ServiceId, TrafficLimits
from leadford.protocol import (
    PROTOCOL_CONFIRMED,
    PROTOCOL_FLEET,
    PROTOCOL_PACKED,
    ConfigPartAnswer,
    ConfigPartRequest,
    EntryHeartbeat,
    ListingRequest,
    PackedListing,
)
from leadford_server.forwarding._state import ForwardBounds, ForwardState
from leadford_server.forwarding._store_contract import KnownEntry
from leadford_server.forwarding.membership._news import NewsExchange
from leadford_server.logs import EventLog

HEARTBEAT = EntryHeartbeat(0, [], False, [], [], [])
OWN_VERSION = 3
NEWER_VERSION = 4
NEWER = ForwardConfig(NEWER_VERSION, (), {}, TrafficLimits())
ENDPOINT = ListedEndpoint(
    endpoint_id=EndpointId("e1"),
    service_id=ServiceId("s"),
    address=EndpointAddress("10.0.0.1:80"),
    hall=HallId("h"),
    state=ListedState.READY,
    slots=4,
    revision=9,
)


class Clock:
    """Stand in for the event loop, of which only the clock is used."""

    def __init__(self):
        self.now = 10.0

    def time(self):
        return self.now


class Peer:
    """Stand in for a peer, by default with a newer version; record what it is asked."""

    def __init__(self, number, *, protocol_version=2, config_version=NEWER_VERSION):
        self.info = SimpleNamespace(
            peer_id=f"entry-{number}", protocol_version=protocol_version
        )
        self.peer_config_version_ = config_version
        self.asked = []

    def send(self, message):
        if isinstance(message, ConfigPartRequest):
            self.asked.append(message)
        return True

    def take_asked(self):
        asked, self.asked = self.asked, []
        return asked


def new_exchange(clock):
    state = ForwardState(
        codec=None,
        hall=HallId("h"),
        bounds=ForwardBounds(),
        entry_id=EntryId("e"),
        random=Random(1),
        loop=clock,
        log=EventLog(process_id="e"),
    )
    state.config_version = lambda: OWN_VERSION
    return NewsExchange(
        own=KnownEntry(EntryId("own"), "127.0.0.1:1", HallId("h")),
        state=state,
        entries_by_id={},
        on_config=lambda config, source: None,
        on_listing=lambda listed, revision: None,
        on_entries=lambda entries: None,
        on_confirmed=lambda confirmed_at: None,
    )


def test_a_configuration_comes_though_each_answer_takes_longer_than_a_stall():
    """A transfer must not restart forever where answers are slow.

    Links are so slow that each answer of a peer takes 1.2 s. If after 1 s without an
    answer another peer is asked from the beginning, the answer of the first arrives
    0.2 s later and is discarded, and so is every later one.
    """
    clock = Clock()
    exchange = new_exchange(clock)
    taken = []
    exchange.on_config = lambda config, source: taken.append(config)
    data = zlib.compress(msgspec.msgpack.encode(NEWER))
    peers = [Peer(number) for number in range(7)]
    due = []
    for step in range(600):
        clock.now = 10.0 + step * 0.01
        if not taken:
            peer = peers[step % len(peers)]
            exchange.ask_if_behind(peer, HEARTBEAT, clock.now)
        for peer in peers:
            due += [(clock.now + 1.2, peer, asked) for asked in peer.take_asked()]
        for item in [item for item in due if item[0] <= clock.now]:
            due.remove(item)
            _, peer, asked = item
            part = data[asked.offset :]
            answer = ConfigPartAnswer(NEWER_VERSION, len(data), asked.offset, part)
            exchange._on_part(peer, answer)
    assert taken


def test_a_peer_is_asked_before_the_bound_though_the_store_sends_slowly():
    """An entry must not refuse requests while its peers have what it lacks.

    The store's answer arrives slowly (a slow store, a slow link, an answer that holds
    several versions). If no peer is asked meanwhile, for up to 20 s, although what a
    peer sends is a twentieth of it, the entry refuses all requests after 1.5 s and is
    not ready.
    """
    clock = Clock()
    exchange = new_exchange(clock)
    peer = Peer(1)
    state = exchange.state
    for step in range(100):
        clock.now = 10.0 + step * 0.1
        state.config_arrived_at_ = clock.now
        exchange.ask_if_behind(peer, HEARTBEAT, clock.now)
        if state.age().is_stale:
            break
    assert state.age().is_stale
    assert peer.asked


@pytest.mark.parametrize("version", [PROTOCOL_FLEET, PROTOCOL_PACKED])
def test_a_listing_reaches_entries_that_pack_and_those_that_do_not(version):
    clock = Clock()
    sender, receiver = new_exchange(clock), new_exchange(clock)
    sender.state.roster_.record_listed(ENDPOINT)
    learned = []
    receiver.on_listing = lambda listed, revision: learned.append((listed, revision))
    sent = []
    peer = Peer(1, protocol_version=version)
    peer.send = sent.append
    sender.handlers()[ListingRequest](peer, ListingRequest(0))
    receiver.handlers()[type(sent[0])](peer, sent[0])
    assert learned == [([ENDPOINT], StorePosition(FIRST_EPOCH, 9))]


def test_a_listing_that_cannot_be_read_changes_nothing():
    exchange = new_exchange(Clock())
    learned = []
    exchange.on_listing = lambda listed, revision: learned.append(listed)
    exchange.handlers()[PackedListing](Peer(1), PackedListing(9, b"spoiled"))
    assert learned == []


def confirmed_heartbeat(sent_at, confirmed_at):
    """Return a heartbeat with times of the clock of its sender."""
    return msgspec.structs.replace(
        HEARTBEAT,
        sent_ms=sent_at * 1_000.0,
        config_confirmed_ms=confirmed_at * 1_000.0,
    )


@pytest.mark.parametrize(
    ("heard", "protocol_version", "is_learned"),
    [
        (OWN_VERSION, PROTOCOL_CONFIRMED, True),
        (NEWER_VERSION, PROTOCOL_CONFIRMED, False),
        (OWN_VERSION, PROTOCOL_CONFIRMED - 1, False),
    ],
)
def test_a_confirmation_of_a_peer_holds_where_the_peer_knows_nothing_newer(
    heard, protocol_version, is_learned
):
    """An entry that the store turns away must know how old its configuration is."""
    clock = Clock()
    exchange = new_exchange(clock)
    learned = []
    exchange.on_confirmed = learned.append
    peer = Peer(1, protocol_version=protocol_version, config_version=heard)
    exchange.ask_if_behind(peer, confirmed_heartbeat(500.0, 499.0), clock.now)
    assert learned == ([9.0] if is_learned else [])


def test_a_heartbeat_that_waited_on_its_way_confirms_nothing_newer():
    """A configuration must not seem as new as the message that arrived late."""
    clock = Clock()
    exchange = new_exchange(clock)
    learned = []
    exchange.on_confirmed = learned.append
    peer = Peer(1, protocol_version=PROTOCOL_CONFIRMED, config_version=OWN_VERSION)
    exchange.ask_if_behind(peer, confirmed_heartbeat(500.0, 499.0), clock.now)
    clock.now += 5.0
    exchange.ask_if_behind(peer, confirmed_heartbeat(500.2, 499.0), clock.now)
    assert learned == [9.0, 9.0]


def test_an_entry_without_a_confirmation_for_long_asks_the_first_peer_that_is_ahead():
    """It uses its configuration no longer, so it must not wait to be told again."""
    clock = Clock()
    exchange = new_exchange(clock)
    exchange.state.config_seen_at_ = clock.now - 30.0
    assert not exchange.state.age().is_stale
    peer = Peer(1)
    exchange.ask_if_behind(peer, HEARTBEAT, clock.now)
    assert exchange.state.age().is_stale
    assert peer.asked


def test_an_entry_that_was_told_lately_serves_while_it_asks():
    """A new configuration must not stop requests at the entries that hear of it."""
    clock = Clock()
    exchange = new_exchange(clock)
    exchange.state.config_seen_at_ = clock.now - 3.0
    peer = Peer(1)
    exchange.ask_if_behind(peer, HEARTBEAT, clock.now)
    assert not exchange.state.age().is_stale
    assert not peer.asked
