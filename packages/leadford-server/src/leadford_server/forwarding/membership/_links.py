"""Hold the links to other entries: connect, track liveness and dispatch messages.

Owns the connections to peers and the time at which each was last heard, which decides
whether it is alive. The store only says which entries exist; `_fleet` holds these. The
content of messages is left to `_heartbeats`, `_pieces` and `_news`.
"""

import asyncio
from collections.abc import Callable
from random import Random

from leadford.common import EntryId, HallId
from leadford.events import Event
from leadford.forwarding.endpoints import ListedEndpoint
from leadford.forwarding.history import StorePosition
from leadford.forwarding.membership import (
    BuildVersions,
    DialTimes,
    PeerLiveness,
    PeerReach,
    SharedRule,
)
from leadford.forwarding.routes import ForwardConfig
from leadford.protocol import (
    PROTOCOL_VERSION,
    EntryHeartbeat,
    FleetBacklog,
    LimitNews,
    Message,
)
from leadford_server.forwarding._peers import MessageHandlers
from leadford_server.forwarding._state import ForwardState
from leadford_server.forwarding._store_contract import KnownEntry
from leadford_server.forwarding.batching import PieceExchange, StageRunner
from leadford_server.forwarding.membership._bookings import BookingExchange
from leadford_server.forwarding.membership._crashes import CrashExchanges
from leadford_server.forwarding.membership._evacuations import EvacuationExchange
from leadford_server.forwarding.membership._fleet import FleetView
from leadford_server.forwarding.membership._heartbeats import Heartbeats
from leadford_server.forwarding.membership._ledgers import ServiceLedgers
from leadford_server.forwarding.membership._news import NewsExchange
from leadford_server.forwarding.membership._origins import OriginExchange
from leadford_server.forwarding.membership._paces import AddressedPaces, PaceExchange
from leadford_server.forwarding.membership._placing import EnginePlacing
from leadford_server.forwarding.membership._relays import StoreRelays
from leadford_server.forwarding.membership._shares import ShareExchange
from leadford_server.forwarding.store import HallsHolder
from leadford_server.peers import Dialer, Identity, PeerConnection, PeerServer
from leadford_server.settings import SocketAddress

# Mean time between heartbeats, and the range of the random factor of each pause.
HEARTBEAT_INTERVAL_S = 0.2
HEARTBEAT_JITTER = (0.9, 1.1)


class EntryLinks:
    """Hold links to the entries that this one works with.

    These are the first candidates to schedule each group, and the next entries in
    the order of ids, so that news reaches all entries; others take the place of those
    that cannot be reached. Their number does not grow with the fleet.
    """

    def __init__(
        self,
        *,
        entry_id: EntryId,
        address: SocketAddress,
        secret: bytes,
        state: ForwardState,
        stages: StageRunner,
        random: Random,
        on_config: Callable[[ForwardConfig, str], None],
        on_listing: Callable[[list[ListedEndpoint], StorePosition], None],
        on_entries: Callable[[list[KnownEntry]], None],
        on_confirmed: Callable[[float], None],
        halls: HallsHolder,
        config_kind: str,
    ) -> None:
        self.entry_id = entry_id
        self.state = state
        self.stages = stages
        self.random = random
        self.address = address
        self.identity = Identity(entry_id, "entry", state.hall, secret)
        self.fleet = FleetView(state=state)
        self.dialers_by_id_: dict[EntryId, Dialer] = {}
        self.peers_by_id_: dict[EntryId, PeerConnection] = {}
        self.heard_ = PeerLiveness()
        self.dial_times_ = DialTimes()
        self.builds_ = BuildVersions(own=PROTOCOL_VERSION)
        self.shared_rules_: frozenset[SharedRule] = frozenset()
        self.draining_ids_: set[EntryId] = set()
        self.server_: PeerServer | None = None
        self.is_draining_ = False
        self.heartbeats = Heartbeats(entry_id=entry_id, state=state, stages=stages)
        self.paces = PaceExchange(state=state)
        self.evacuations = EvacuationExchange(
            state=state, peers_by_id=self.peers_by_id_, halls=halls
        )
        self.pieces = PieceExchange(
            state=state, stages=stages, peers_by_id=self.peers_by_id_
        )
        self.news = NewsExchange(
            own=KnownEntry(entry_id, str(address), state.hall),
            state=state,
            entries_by_id=self.fleet.entries_by_id_,
            on_config=on_config,
            on_listing=on_listing,
            on_entries=on_entries,
            on_confirmed=on_confirmed,
        )
        self.relays = StoreRelays(
            state=state,
            config_kind=config_kind,
            peers_by_id=self.peers_by_id_,
            followers=self.fleet.followers,
            entry_count=self.fleet.entry_count,
        )
        self.crashes = CrashExchanges(
            state=state,
            peers_by_id=self.peers_by_id_,
            forwards_news=lambda: self.relays.is_follower,
        )
        self.placing = EnginePlacing(
            state=state,
            peers_by_id=self.peers_by_id_,
            group_of=self.fleet.engine_group,
            placer_of=stages.groups.scheduler_of,
            all_know=self.all_know,
        )
        state.placing_ = self.placing
        self.ledgers = ServiceLedgers(
            state=state, stages=stages, all_know=self.all_know
        )
        self.bookings = BookingExchange(
            state=state, peers_by_id=self.peers_by_id_, ledgers=self.ledgers
        )
        state.bookings_ = self.bookings
        self.origins = OriginExchange(
            state=state,
            peers_by_id=self.peers_by_id_,
            common_peers=self.fleet.common_peers,
            entry_count=self.fleet.entry_count,
        )
        state.stream_origins_ = self.origins
        self.shares = ShareExchange(
            state=state,
            peers_by_id=self.peers_by_id_,
            common_peers=self.fleet.common_peers,
            entry_count=self.fleet.entry_count,
        )
        self.handlers_ = self._handlers()

    def _handlers(self) -> MessageHandlers:
        """Return the handler of each type of message."""
        return {
            EntryHeartbeat: self._on_heartbeat,
            FleetBacklog: self._on_backlog,
            LimitNews: self._on_limits,
            **self.heartbeats.levels.handlers(),
            **self.evacuations.handlers(),
            **self.pieces.handlers(),
            **self.news.handlers(),
            **self.relays.handlers(),
            **self.placing.handlers(),
            **self.bookings.handlers(),
            **self.crashes.handlers(),
            **self.origins.handlers(),
            **self.shares.handlers(),
            **self.paces.handlers(),
        }

    async def start(self) -> None:
        """Start to listen for peers."""
        self.server_ = PeerServer(
            identity=self.identity,
            handler=self,
            log=self.state.log,
            random=self.random,
            config_version=self.news.version,
            is_draining=lambda: self.is_draining_,
        )
        await self.server_.start(self.address)

    def stop(self) -> None:
        """Close all links and stop listening."""
        for dialer in self.dialers_by_id_.values():
            dialer.task_.cancel()
        for peer in list(self.peers_by_id_.values()):
            peer.abort()
        self.server_.server_.close()

    async def run(self) -> None:
        """Send heartbeats and maintain the links until cancelled."""
        while True:
            self.heard_.record_running(self.state.now())
            self._dial()
            self._send_heartbeats()
            self.origins.refresh()
            self.shares.refresh()
            self.stages.sent.check()
            self.stages.return_waiting_pieces()
            spread = self.random.uniform(*HEARTBEAT_JITTER)
            await asyncio.sleep(HEARTBEAT_INTERVAL_S * spread)

    def _dial(self) -> None:
        now = self.state.now()
        wanted = self.fleet.peers_to_link(self._reach(now))
        for entry_id in set(self.dialers_by_id_) - wanted:
            dialer = self.dialers_by_id_.pop(entry_id)
            asyncio.ensure_future(dialer.stop())
        for entry_id in wanted - set(self.dialers_by_id_):
            if self.is_live(entry_id, now):
                continue
            dialer = Dialer(
                address=self.fleet.entries_by_id_[entry_id].address,
                identity=self.identity,
                handler=self,
                log=self.state.log,
                random=self.random,
                config_version=self.news.version,
                on_disconnected=lambda: None,
            )
            dialer.start()
            self.dialers_by_id_[entry_id] = dialer

    def _reach(self, now: float) -> PeerReach:
        """Return which entries are live, and which were dialed in vain for long."""
        reached = {self.entry_id}
        reached.update(name for name in self.peers_by_id_ if self.is_live(name, now))
        for entry_id in reached:
            self.dial_times_.record_reached(entry_id)
        for entry_id in set(self.dialers_by_id_) - reached:
            self.dial_times_.record_dialing(entry_id, now)
        self.dial_times_.retain(self.fleet.entries_by_id_)
        return self.dial_times_.reach(reached, now)

    def _send_heartbeats(self) -> None:
        """Send heartbeats, and abort connections to peers that are silent for long."""
        now = self.state.now()
        version_by_live_peer = {
            entry_id: peer.info.protocol_version
            for entry_id, peer in self.peers_by_id_.items()
            if self.heard_.is_live(entry_id, now)
        }
        self.state.record_live_peers(len(version_by_live_peer))
        self.shared_rules_ = self.builds_.shared_rules(version_by_live_peer)
        self.state.has_priority_levels_ = self.all_know(SharedRule.PRIORITY_LEVELS)
        self.ledgers.refresh()
        heartbeat = self.heartbeats.next(
            self.fleet.stage_groups(),
            is_draining=self.is_draining_,
            lowest_version=self.builds_.lowest_linked(version_by_live_peer),
            confirmations=self.relays.confirmations(),
            confirmed_version=self.relays.min_version,
            paces=self._paces_to_report(),
        )
        for entry_id, peer in list(self.peers_by_id_.items()):
            if self.heard_.is_silent(entry_id, now):
                # The connection is open, but its peer no longer sends heartbeats.
                peer.abort()
                continue
            heartbeat.send(peer)

    def _paces_to_report(self) -> AddressedPaces | None:
        """Return the paces that the next heartbeat carries, and who gets them."""
        if not self.heartbeats.next_carries_paces:
            return None
        news = self.paces.make()
        if news is None:
            return None
        groups = self.fleet.stage_groups() | self.fleet.engine_groups()
        return self.paces.address(
            news, {self.stages.groups.scheduler_of(group) for group in groups}
        )

    def all_know(self, rule: SharedRule) -> bool:
        """Return whether the build of every live entry knows a rule."""
        return rule in self.shared_rules_

    def is_live(self, entry_id: EntryId, now: float) -> bool:
        """Return whether an entry is linked and was heard recently."""
        if entry_id not in self.peers_by_id_:
            return False
        return self.heard_.is_live(entry_id, now)

    def halls_by_live_entry(self) -> dict[EntryId, HallId]:
        """Return the halls of the live peers that are not draining."""
        now = self.state.now()
        # Iterates over the few links: this runs for each piece, and a fleet may have
        # 300 entries.
        halls: dict[EntryId, HallId] = {}
        for entry_id in self.peers_by_id_:
            entry = self.fleet.entries_by_id_.get(entry_id)
            if entry is None or entry_id in self.draining_ids_:
                continue
            if self.heard_.is_live(entry_id, now):
                halls[entry_id] = entry.hall
        return halls

    def peer_connected(self, peer: PeerConnection) -> None:
        """Record a new connection, and send the peer what it has to know first."""
        entry_id = EntryId(peer.info.peer_id)
        self.peers_by_id_[entry_id] = peer
        self.heard_.record_heard(entry_id, self.state.now())
        self.builds_.forget(entry_id)
        self.origins.forget(entry_id)
        self.shares.forget(entry_id)
        self.state.log.report(
            Event.PEER_CONNECTED, peer=entry_id, version=peer.info.protocol_version
        )
        # Before the configuration: budgets are divided among the known entries.
        self.news.send_entries(peer)
        self.evacuations.send_known(peer)
        self.crashes.send_known(peer)
        peer.announce_version()

    def peer_lost(self, peer: PeerConnection) -> None:
        """Record that a connection ended."""
        entry_id = EntryId(peer.info.peer_id)
        if self.peers_by_id_.get(entry_id) is not peer:
            return
        del self.peers_by_id_[entry_id]
        self.builds_.forget(entry_id)
        self.news.forget(entry_id)
        self.relays.forget(entry_id)
        self.origins.forget(entry_id)
        self.shares.forget(entry_id)
        self.state.peer_delays_.forget(entry_id)
        self.state.log.report(Event.PEER_LOST, peer=entry_id)
        self.stages.scheduler_.drop_pieces_of(entry_id)
        self.stages.results.record_scheduler_lost(entry_id)
        self.stages.sent.on_scheduler_lost(entry_id)
        self.stages.backlog_.forget(entry_id)

    def peer_version(self, peer: PeerConnection, version: int) -> None:
        """Do nothing: `NewsExchange` reads the version from the connection."""

    def peer_message(self, peer: PeerConnection, message: Message) -> None:
        """Record that a peer was heard, and dispatch its message."""
        entry_id = EntryId(peer.info.peer_id)
        self.heard_.record_heard(entry_id, self.state.now())
        if self.peers_by_id_.get(entry_id) is None:
            self.peers_by_id_[entry_id] = peer
        handler = self.handlers_.get(type(message))
        if handler is not None:
            handler(peer, message)

    def _on_backlog(self, peer: PeerConnection, message: FleetBacklog) -> None:
        self.heartbeats.record_backlog(message)

    def _on_limits(self, peer: PeerConnection, message: LimitNews) -> None:
        self.heartbeats.record_limits(message)

    def _on_heartbeat(self, peer: PeerConnection, message: EntryHeartbeat) -> None:
        entry_id = EntryId(peer.info.peer_id)
        if message.is_draining:
            self.draining_ids_.add(entry_id)
        else:
            self.draining_ids_.discard(entry_id)
        self.builds_.record_reported(entry_id, message.lowest_version)
        self.heartbeats.record(entry_id, message)
        self.news.ask_if_behind(peer, message, self.state.now())
