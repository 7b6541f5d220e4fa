"""Spread configuration, listing of endpoints and known entries between entries.

So an entry that the store turns away follows its neighbours, and entries that restart
while the store is away find each other. What is received is put in force by its owner
(`on_config`, `on_listing`, `on_entries`), which keeps what is newer.
"""

from collections.abc import Callable, Mapping
from enum import Enum

import msgspec

from leadford.common import EntryId, HallId
from leadford.events import Event
from leadford.forwarding.endpoints import ListedEndpoint
from leadford.forwarding.membership import Staleness
from leadford.forwarding.routes import ForwardConfig
from leadford.protocol import (
    EntryAddress,
    EntryHeartbeat,
    EntryListing,
    ForwardConfigAnswer,
    ForwardConfigRequest,
    ListingAnswer,
    ListingRequest,
)
from leadford_server.forwarding._contract import KnownEntry
from leadford_server.forwarding._peers import MessageHandlers
from leadford_server.forwarding._state import ForwardState
from leadford_server.metrics import NEWS_BYTES_TOTAL
from leadford_server.peers import PeerConnection

# Characters of a decoding error that a log line holds.
ERROR_LOGGED = 200


class NewsKind(Enum):
    """Say what entries tell each other when they are asked."""

    CONFIG = "config"
    LISTING = "listing"


class NewsExchange:
    """Ask peers that know better, and answer those that ask."""

    def __init__(
        self,
        *,
        own: KnownEntry,
        state: ForwardState,
        entries_by_id: Mapping[EntryId, KnownEntry],
        on_config: Callable[[ForwardConfig, str], None],
        on_listing: Callable[[list[ListedEndpoint], int], None],
        on_entries: Callable[[list[KnownEntry]], None],
    ) -> None:
        self.own = own
        self.state = state
        self.entries_by_id = entries_by_id
        self.on_config = on_config
        self.on_listing = on_listing
        self.on_entries = on_entries
        self.config_staleness_ = Staleness()
        self.listing_staleness_ = Staleness()

    def handlers(self) -> MessageHandlers:
        """Return what handles each kind of message here."""
        return {
            EntryListing: self._on_entries,
            ForwardConfigRequest: self._send_config,
            ForwardConfigAnswer: self._on_config,
            ListingRequest: self._send_listing,
            ListingAnswer: self._on_listing,
        }

    def version(self) -> int:
        """Return the version of the configuration in force, 0 without one."""
        table = self.state.table_
        return table.config.version if table is not None else 0

    def ask_if_behind(
        self, peer: PeerConnection, message: EntryHeartbeat, now: float
    ) -> None:
        """Ask a peer that has known better for a while."""
        version = self.version()
        if self.config_staleness_.must_ask(version, peer.peer_config_version_, now):
            self._log_request(peer, NewsKind.CONFIG, version)
            peer.send(ForwardConfigRequest(version))
        revision = self.state.roster_.changed_revision_
        if self.listing_staleness_.must_ask(revision, message.listing_revision, now):
            self._log_request(peer, NewsKind.LISTING, revision)
            peer.send(ListingRequest(revision))

    def send_entries(self, peer: PeerConnection) -> None:
        """Tell a new peer which entries exist."""
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
            ]
        )

    def _send_config(self, peer: PeerConnection, message: ForwardConfigRequest) -> None:
        table = self.state.table_
        if table is not None and table.config.version > message.known_version:
            data = msgspec.msgpack.encode(table.config)
            self._log_sent(peer, NewsKind.CONFIG, table.config.version, len(data))
            peer.send(ForwardConfigAnswer(table.config.version, data))

    def _on_config(self, peer: PeerConnection, message: ForwardConfigAnswer) -> None:
        self._log_received(peer, NewsKind.CONFIG, message.version, len(message.config))
        try:
            config = msgspec.msgpack.decode(message.config, type=ForwardConfig)
        except msgspec.DecodeError as error:
            self.state.log.report(
                Event.CONFIG_UNREADABLE, error=str(error)[:ERROR_LOGGED]
            )
            return
        self.on_config(config, peer.info.peer_id)

    def _send_listing(self, peer: PeerConnection, message: ListingRequest) -> None:
        roster = self.state.roster_
        if roster.changed_revision_ > message.known_revision:
            data = msgspec.msgpack.encode(roster.listed())
            self._log_sent(peer, NewsKind.LISTING, roster.changed_revision_, len(data))
            peer.send(ListingAnswer(roster.changed_revision_, data))

    def _on_listing(self, peer: PeerConnection, message: ListingAnswer) -> None:
        size = len(message.endpoints)
        self._log_received(peer, NewsKind.LISTING, message.revision, size)
        try:
            listed = msgspec.msgpack.decode(
                message.endpoints, type=list[ListedEndpoint]
            )
        except msgspec.DecodeError as error:
            self.state.log.report(
                Event.CONFIG_UNREADABLE, error=str(error)[:ERROR_LOGGED]
            )
            return
        self.on_listing(listed, message.revision)

    def _log_request(self, peer: PeerConnection, kind: NewsKind, known: int) -> None:
        self.state.log.report(
            Event.NEWS_REQUESTED,
            kind=kind.value,
            peer=peer.info.peer_id,
            known=known,
        )

    def _log_sent(
        self, peer: PeerConnection, kind: NewsKind, version: int, size: int
    ) -> None:
        NEWS_BYTES_TOTAL.labels(kind=kind.value, direction="sent").inc(size)
        self.state.log.report(
            Event.NEWS_SENT,
            kind=kind.value,
            peer=peer.info.peer_id,
            version=version,
            bytes=size,
        )

    def _log_received(
        self, peer: PeerConnection, kind: NewsKind, version: int, size: int
    ) -> None:
        NEWS_BYTES_TOTAL.labels(kind=kind.value, direction="received").inc(size)
        self.state.log.report(
            Event.NEWS_RECEIVED,
            kind=kind.value,
            peer=peer.info.peer_id,
            version=version,
            bytes=size,
        )
