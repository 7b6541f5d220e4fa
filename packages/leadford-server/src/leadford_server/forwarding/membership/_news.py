"""Exchange the configuration, listings of endpoints and known entries with peers.

An entry whose calls the store rejects is thus kept up to date by its peers, and entries
that restart during an outage of the store find each other. The owner of the data
(`on_config`, `on_listing`, `on_entries`) applies what is received, unless what it has
is newer. `on_confirmed` receives the time at which the store confirmed to a peer that
this entry's configuration is the newest one.
"""

from collections.abc import Callable, Mapping
from enum import Enum

import msgspec
from returns.result import Failure, Result, Success

from leadford.common import EntryId, HallId, decode_as, pack, unpack
from leadford.events import Event
from leadford.forwarding.endpoints import ListedEndpoint, is_dialable
from leadford.forwarding.history import START_POSITION, StoreEpoch, StorePosition
from leadford.forwarding.membership import PeerClock, PeerFetch
from leadford.forwarding.routes import (
    ConfigDownload,
    ConfigPart,
    ConfigParts,
    ForwardConfig,
)
from leadford.protocol import (
    PROTOCOL_CONFIG_PARTS,
    PROTOCOL_CONFIRMED,
    PROTOCOL_EPOCHS,
    PROTOCOL_PACKED,
    ConfigPartAnswer,
    ConfigPartRequest,
    EntryAddress,
    EntryHeartbeat,
    EntryListing,
    ForwardConfigAnswer,
    ForwardConfigRequest,
    ListingAnswer,
    ListingRequest,
    PackedListing,
)
from leadford_server.forwarding._peers import MessageHandlers
from leadford_server.forwarding._state import ForwardState
from leadford_server.forwarding._store_contract import KnownEntry
from leadford_server.forwarding.store import report_unreadable
from leadford_server.metrics import NEWS_BYTES_TOTAL
from leadford_server.peers import PeerConnection

# A decoding error is cut to this length in a log line.
ERROR_LOGGED_MAX_CHARS = 200
# Label of the metric of transferred bytes for each event.
DIRECTION_BY_EVENT = {Event.NEWS_SENT: "sent", Event.NEWS_RECEIVED: "received"}


class NewsKind(Enum):
    """Name what an entry can request from a peer."""

    CONFIG = "config"
    LISTING = "listing"


class NewsExchange:
    """Request newer data from peers, and answer their requests."""

    def __init__(
        self,
        *,
        own: KnownEntry,
        state: ForwardState,
        entries_by_id: Mapping[EntryId, KnownEntry],
        on_config: Callable[[ForwardConfig, str], None],
        on_listing: Callable[[list[ListedEndpoint], StorePosition], None],
        on_entries: Callable[[list[KnownEntry]], None],
        on_confirmed: Callable[[float], None],
    ) -> None:
        self.own = own
        self.state = state
        self.entries_by_id = entries_by_id
        self.on_config = on_config
        self.on_listing = on_listing
        self.on_entries = on_entries
        self.on_confirmed = on_confirmed
        self.clocks_by_peer_: dict[EntryId, PeerClock] = {}
        self.config_fetch_ = PeerFetch(0)
        self.listing_fetch_ = PeerFetch(START_POSITION)
        self.download_ = ConfigDownload()
        self.parts_ = ConfigParts()

    def handlers(self) -> MessageHandlers:
        """Return the handler of each type of message that this exchange receives."""
        return {
            EntryListing: self._on_entries,
            ForwardConfigRequest: self._send_config,
            ForwardConfigAnswer: self._on_config,
            ConfigPartRequest: self._send_part,
            ConfigPartAnswer: self._on_part,
            ListingRequest: self._send_listing,
            ListingAnswer: self._on_listing,
            PackedListing: self._on_listing,
        }

    def version(self) -> int:
        """Return the version of the configuration in force, or 0 if there is none."""
        return self.state.config_version()

    def ask_if_behind(
        self, peer: PeerConnection, message: EntryHeartbeat, now: float
    ) -> None:
        """Request what a peer has had in a newer version for a while."""
        version = self.version()
        heard = peer.peer_config_version_
        if heard <= version:
            self._learn_confirmed(peer, message, now)
        self.state.heard_versions_.record(heard, version, now)
        is_urgent = self.state.age().is_unconfirmed
        if self.config_fetch_.should_request(version, heard, now, is_urgent=is_urgent):
            self._ask_config(peer, version, now)
        known = self.state.roster_.changed_position_
        heard = self._position(peer, message.listing_epoch, message.listing_revision)
        if self.listing_fetch_.should_request(known, heard, now):
            self._log_request(peer, NewsKind.LISTING, known.revision)
            self.listing_fetch_.record_requested(EntryId(peer.info.peer_id), now)
            peer.send(ListingRequest(known.revision, known.epoch))

    def _learn_confirmed(
        self, peer: PeerConnection, message: EntryHeartbeat, now: float
    ) -> None:
        """Pass on when the store confirmed the configuration to a peer itself.

        What the peer heard from others is not reported: with each step between entries
        it would seem younger than it is.
        """
        if peer.info.protocol_version < PROTOCOL_CONFIRMED:
            return
        clock = self.clocks_by_peer_.setdefault(EntryId(peer.info.peer_id), PeerClock())
        clock.record(message.sent_ms / 1_000.0, now)
        if message.config_confirmed_ms is None:
            return
        self.on_confirmed(clock.to_local_time(message.config_confirmed_ms / 1_000.0))

    def _position(
        self, peer: PeerConnection, epoch: int, revision: int
    ) -> StorePosition:
        """Return the position in the history of the store of data from a peer."""
        if peer.info.protocol_version < PROTOCOL_EPOCHS:
            epoch = self.state.epochs_.assumed_epoch()
        return StorePosition(StoreEpoch(epoch), revision)

    def forget(self, entry_id: EntryId) -> None:
        """Record that the link to a peer ended: its next process has another clock."""
        self.clocks_by_peer_.pop(entry_id, None)
        self.config_fetch_.record_lost(entry_id)
        self.listing_fetch_.record_lost(entry_id)

    def _ask_config(self, peer: PeerConnection, version: int, now: float) -> None:
        """Request the configuration of a peer, or the missing rest of a download."""
        self._log_request(peer, NewsKind.CONFIG, version)
        self.config_fetch_.record_requested(EntryId(peer.info.peer_id), now)
        if peer.info.protocol_version < PROTOCOL_CONFIG_PARTS:
            peer.send(ForwardConfigRequest(version))
            return
        download = self.download_
        if download.version_ <= version:
            # The store has delivered this version or a newer one meanwhile.
            download.clear()
        peer.send(ConfigPartRequest(version, download.version_, download.offset))

    def _send_part(self, peer: PeerConnection, message: ConfigPartRequest) -> None:
        """Send the requested part, unless the peer has the same or a newer version."""
        table = self.state.table_
        if table is None or table.config.version <= message.known_version:
            return
        part = self.parts_.part(table.config, message.version, message.offset)
        if part.offset == 0:
            self._log_transfer(
                Event.NEWS_SENT, peer, NewsKind.CONFIG, part.version, part.total
            )
        peer.send(ConfigPartAnswer(part.version, part.total, part.offset, part.data))

    def _on_part(self, peer: PeerConnection, message: ConfigPartAnswer) -> None:
        """Add a part, and request the next one until the configuration is complete."""
        fetch = self.config_fetch_
        version = self.version()
        part = ConfigPart(message.version, message.total, message.offset, message.data)
        if message.version <= version or not self.download_.is_next_part(part):
            # The store has delivered this version, or another peer this part.
            return
        now = self.state.now()
        fetch.record_part(now)
        added = self.download_.add(part)
        if isinstance(added, Failure):
            self._log_unreadable(added.failure())
            fetch.record_unusable(now)
            return
        config = added.unwrap()
        if config is None:
            offset = message.offset + len(message.data)
            peer.send(ConfigPartRequest(version, message.version, offset))
            return
        fetch.record_end()
        self._log_transfer(
            Event.NEWS_RECEIVED, peer, NewsKind.CONFIG, message.version, message.total
        )
        self.on_config(config, peer.info.peer_id)

    def send_entries(self, peer: PeerConnection) -> None:
        """Send a new peer the entries that are known to exist."""
        own = EntryAddress(self.own.entry_id, self.own.address, self.own.hall)
        known = [
            EntryAddress(entry.entry_id, entry.address, entry.hall)
            for entry in self.entries_by_id.values()
        ]
        peer.send(EntryListing([own, *known]))

    def _on_entries(self, peer: PeerConnection, message: EntryListing) -> None:
        self.on_entries(
            [
                KnownEntry(EntryId(entry.entry_id), entry.address, HallId(entry.hall))
                for entry in message.entries
                if is_dialable(entry.address)
            ]
        )

    def _send_config(self, peer: PeerConnection, message: ForwardConfigRequest) -> None:
        table = self.state.table_
        if table is not None and table.config.version > message.known_version:
            data = msgspec.msgpack.encode(table.config)
            self._log_transfer(
                Event.NEWS_SENT, peer, NewsKind.CONFIG, table.config.version, len(data)
            )
            peer.send(ForwardConfigAnswer(table.config.version, data))

    def _on_config(self, peer: PeerConnection, message: ForwardConfigAnswer) -> None:
        self.config_fetch_.record_end()
        self._log_transfer(
            Event.NEWS_RECEIVED,
            peer,
            NewsKind.CONFIG,
            message.version,
            len(message.config),
        )
        try:
            config = msgspec.msgpack.decode(message.config, type=ForwardConfig)
        except msgspec.DecodeError as error:
            self._log_unreadable(str(error))
            self.config_fetch_.record_unusable(self.state.now())
            return
        self.on_config(config, peer.info.peer_id)

    def _send_listing(self, peer: PeerConnection, message: ListingRequest) -> None:
        roster = self.state.roster_
        listed_at = roster.changed_position_
        known = self._position(peer, message.known_epoch, message.known_revision)
        if listed_at > known:
            answer = _listing_answer(
                roster.listed(),
                listed_at,
                is_packed=peer.info.protocol_version >= PROTOCOL_PACKED,
            )
            self._log_transfer(
                Event.NEWS_SENT,
                peer,
                NewsKind.LISTING,
                answer.revision,
                len(answer.endpoints),
            )
            peer.send(answer)

    def _on_listing(
        self, peer: PeerConnection, message: ListingAnswer | PackedListing
    ) -> None:
        self.listing_fetch_.record_end()
        size = len(message.endpoints)
        self._log_transfer(
            Event.NEWS_RECEIVED, peer, NewsKind.LISTING, message.revision, size
        )
        read = self._read_listing(message)
        if isinstance(read, Failure):
            self._log_unreadable(read.failure())
            self.listing_fetch_.record_unusable(self.state.now())
            return
        position = self._position(peer, message.epoch, message.revision)
        endpoints = read.unwrap()
        if peer.info.protocol_version < PROTOCOL_EPOCHS:
            endpoints = [endpoint.in_epoch(position.epoch) for endpoint in endpoints]
        self.on_listing(endpoints, position)

    def _read_listing(
        self, message: ListingAnswer | PackedListing
    ) -> Result[list[ListedEndpoint], str]:
        """Return the endpoints in a message; skip and log those that are unreadable."""
        if isinstance(message, PackedListing):
            read = unpack(message.endpoints, list[msgspec.Raw])
        else:
            read = decode_as(message.endpoints, list[msgspec.Raw])
        if isinstance(read, Failure):
            return read
        found = []
        for raw in read.unwrap():
            endpoint = decode_as(raw, ListedEndpoint)
            if isinstance(endpoint, Failure):
                report_unreadable(endpoint.failure(), self.state.log)
                continue
            listed = endpoint.unwrap()
            if not is_dialable(listed.address):
                report_unreadable("no address", self.state.log, name=listed.name)
                continue
            found.append(listed)
        return Success(found)

    def _log_unreadable(self, fault: str) -> None:
        self.state.log.report(
            Event.CONFIG_UNREADABLE, error=fault[:ERROR_LOGGED_MAX_CHARS]
        )

    def _log_request(self, peer: PeerConnection, kind: NewsKind, known: int) -> None:
        self.state.log.report(
            Event.NEWS_REQUESTED,
            kind=kind.value,
            peer=peer.info.peer_id,
            known=known,
        )

    def _log_transfer(
        self,
        event: Event,
        peer: PeerConnection,
        kind: NewsKind,
        version: int,
        size: int,
    ) -> None:
        """Count and log what was sent to a peer or received from it."""
        NEWS_BYTES_TOTAL.labels(
            kind=kind.value, direction=DIRECTION_BY_EVENT[event]
        ).inc(size)
        self.state.log.report(
            event,
            kind=kind.value,
            peer=peer.info.peer_id,
            version=version,
            bytes=size,
        )


def _listing_answer(
    listed: list[ListedEndpoint], position: StorePosition, *, is_packed: bool
) -> ListingAnswer | PackedListing:
    """Return the message that carries listed endpoints."""
    revision, epoch = position.revision, position.epoch
    if is_packed:
        return PackedListing(revision, pack(listed), epoch)
    return ListingAnswer(revision, msgspec.msgpack.encode(listed), epoch)
