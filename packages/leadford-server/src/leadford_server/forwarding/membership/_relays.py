"""Relay changes in the store: a few entries follow it and inform all others.

Followers send each change at once, and with each heartbeat the time at which the store
last confirmed that no change is missing. Configurations are larger than other changes,
so only their version is sent and `_news` fetches them. Which entries follow, and for
how long others rest (make no calls to the store), is decided in
`leadford.forwarding.membership`; the followers of `_follow` apply what is received.
"""

import json
from collections.abc import Callable, Mapping

import msgspec
from returns.result import Failure, Result, Success

from leadford.common import EntryId, pack, unpack
from leadford.events import Event
from leadford.forwarding.history import START_POSITION, StoreEpoch, StorePosition
from leadford.forwarding.membership import PeerClock
from leadford.protocol import (
    PROTOCOL_EPOCHS,
    PROTOCOL_FLEET,
    PROTOCOL_PACKED,
    PackedChanges,
    StoreChange,
    StoreChanges,
    StoreConfirmation,
    StoreConfirmations,
)
from leadford_server.forwarding._peers import MessageHandlers
from leadford_server.forwarding._state import ForwardState
from leadford_server.forwarding._store_contract import (
    ObjectCodec,
    ObjectEvent,
    ObjectEvents,
)
from leadford_server.forwarding.store import KindFollower, report_unreadable
from leadford_server.metrics import RELAYED_NEWS_TOTAL
from leadford_server.peers import PeerConnection

# A decoding error is cut to this length in a log line.
ERROR_LOGGED_MAX_CHARS = 200


class StoreRelays:
    """Send changes in the store to other entries, and apply those from them.

    `config_kind` is the kind whose changes are not passed on; `followers` returns the
    entries that follow the store, `entry_count` the number of all entries.
    """

    def __init__(
        self,
        *,
        state: ForwardState,
        config_kind: str,
        peers_by_id: Mapping[EntryId, PeerConnection],
        followers: Callable[[], set[EntryId]],
        entry_count: Callable[[], int],
    ) -> None:
        self.state = state
        self.config_kind = config_kind
        self.peers_by_id = peers_by_id
        self.followers = followers
        self.entry_count = entry_count
        self.follower_by_kind_: dict[str, KindFollower] = {}
        self.clocks_by_peer_: dict[EntryId, PeerClock] = {}

    def handlers(self) -> MessageHandlers:
        """Return the handler of each type of message that this exchange receives."""
        return {
            StoreConfirmations: self._on_confirmations,
            StoreChanges: self._on_changes,
            PackedChanges: self._on_changes,
        }

    def add(self, follower: KindFollower) -> None:
        """Pass a follower's changes on, and give it those from other entries."""
        self.follower_by_kind_[follower.kind] = follower

    @property
    def is_follower(self) -> bool:
        """Return whether this entry follows the store."""
        return self.state.entry_id in self.followers()

    @property
    def has_passive_entries(self) -> bool:
        """Return whether some entries learn of changes only from others."""
        return len(self.followers()) < self.entry_count()

    @property
    def min_version(self) -> int:
        """Return the lowest protocol version of peers to exchange changes with.

        Once the store reports epochs, peers have to support them: an entry of an older
        build could not see that a restored store gives revisions out again, nor say to
        which epoch its own belong.
        """
        return (
            PROTOCOL_EPOCHS
            if self.state.epochs_.is_reported_by_store_
            else PROTOCOL_FLEET
        )

    def tell(self, kind: str, after: StorePosition, seen: ObjectEvents) -> None:
        """Pass changes on that this entry received from the store.

        They are packed, because every entry receives each of them: the changes of a
        thousand endpoints that start shrink from 254 kB to 20 kB in 2.3 ms, and unpack
        in 1.4 ms.
        """
        if kind == self.config_kind or not (
            self.is_follower and self.has_passive_entries
        ):
            return
        changes = [
            StoreChange(_encoded(event.item), event.is_gone, event.seen_revision)
            for event in seen.events
        ]
        sent_ms = self.state.now() * 1_000.0
        head = (kind, after.revision, seen.revision, sent_ms)
        plain = StoreChanges(*head, changes, seen.epoch)
        packed = PackedChanges(*head, pack(changes), seen.epoch)
        for peer in list(self.peers_by_id.values()):
            version = peer.info.protocol_version
            if version < self.min_version:
                continue
            peer.send(packed if version >= PROTOCOL_PACKED else plain)

    def confirmations(self) -> StoreConfirmations | None:
        """Return what the store has confirmed, if this entry follows it for others."""
        if not (self.is_follower and self.has_passive_entries):
            return None
        kinds = []
        for kind, follower in self.follower_by_kind_.items():
            position = follower.position_
            if position is None or follower.confirmed_at_ is None:
                continue
            version = 0
            if kind == self.config_kind:
                version = self.state.config_version()
            confirmed_ms = follower.confirmed_at_ * 1_000.0
            kinds.append(
                StoreConfirmation(
                    kind,
                    position.revision,
                    self._changed_revision(follower, position),
                    version,
                    confirmed_ms,
                    position.epoch,
                )
            )
        return StoreConfirmations(self.state.now() * 1_000.0, kinds)

    def _changed_revision(self, follower: KindFollower, position: StorePosition) -> int:
        """Return the revision of the last change in the epoch of a position, or 0."""
        changed = follower.changed_position_
        return changed.revision if changed.epoch == position.epoch else 0

    def forget(self, entry_id: EntryId) -> None:
        """Forget a peer whose link ended: its next process has a different clock."""
        self.clocks_by_peer_.pop(entry_id, None)

    def _record_clock(self, peer: PeerConnection, sent_ms: float) -> PeerClock:
        """Record the send time of a message of a peer, and return the peer's clock."""
        entry_id = EntryId(peer.info.peer_id)
        clock = self.clocks_by_peer_.setdefault(entry_id, PeerClock())
        clock.record(sent_ms / 1_000.0, self.state.now())
        return clock

    def _on_confirmations(
        self, peer: PeerConnection, message: StoreConfirmations
    ) -> None:
        clock = self._record_clock(peer, message.sent_ms)
        if not self._can_place_in_history(peer):
            return
        for confirmation in message.kinds:
            follower = self.follower_by_kind_.get(confirmation.kind)
            if follower is None:
                continue
            self._learn_epoch(peer, confirmation.epoch)
            if not self._is_up_to_date(follower, confirmation):
                if confirmation.kind != self.config_kind:
                    # Changes are sent before their confirmation, so one was missed.
                    follower.poll_now()
                continue
            confirmed_at = clock.to_local_time(confirmation.confirmed_ms / 1_000.0)
            position = StorePosition(
                StoreEpoch(confirmation.epoch), confirmation.revision
            )
            follower.learn_confirmed(position, confirmed_at)

    def _can_place_in_history(self, peer: PeerConnection) -> bool:
        """Return whether data of a peer can be placed in the history of the store."""
        return peer.info.protocol_version >= self.min_version

    def _learn_epoch(self, peer: PeerConnection, epoch: int) -> None:
        """Record the epoch that a peer knows, and log it if it is a new one."""
        before = self.state.epochs_.current_
        if self.state.epochs_.record_peer_epoch(StoreEpoch(epoch)):
            self.state.log.report(
                Event.STORE_RESTORED,
                before=before,
                after=epoch,
                source=peer.info.peer_id,
            )

    def _is_up_to_date(
        self, follower: KindFollower, confirmation: StoreConfirmation
    ) -> bool:
        """Return whether this entry knows all changes that a confirmation covers."""
        if confirmation.kind == self.config_kind:
            return self.state.config_version() >= confirmation.version
        known = follower.position_
        changed_at = StorePosition(
            StoreEpoch(confirmation.epoch), confirmation.changed_revision
        )
        return known is not None and known >= changed_at

    def _on_changes(
        self, peer: PeerConnection, message: StoreChanges | PackedChanges
    ) -> None:
        clock = self._record_clock(peer, message.sent_ms)
        follower = self.follower_by_kind_.get(message.kind)
        if follower is None or not self._can_place_in_history(peer):
            return
        epoch = StoreEpoch(message.epoch)
        self._learn_epoch(peer, epoch)
        if StorePosition(epoch, message.revision) <= (
            follower.position_ or START_POSITION
        ):
            # The changes have already arrived from another follower.
            RELAYED_NEWS_TOTAL.labels(kind=message.kind, end="known").inc()
            return
        read = self._read_changes(message, follower.client.codec)
        if isinstance(read, Failure):
            self.state.log.report(
                Event.CONFIG_UNREADABLE, error=read.failure()[:ERROR_LOGGED_MAX_CHARS]
            )
            return
        events = read.unwrap()
        confirmed_at = clock.to_local_time(message.sent_ms / 1_000.0)
        seen = ObjectEvents(events, message.revision).in_epoch(epoch)
        fits = follower.learn(message.after_revision, seen, confirmed_at)
        end = "taken" if fits else "gap"
        RELAYED_NEWS_TOTAL.labels(kind=message.kind, end=end).inc()

    def _read_changes(
        self, message: StoreChanges | PackedChanges, codec: ObjectCodec
    ) -> Result[list[ObjectEvent], str]:
        """Return the changes in a message; skip and log those that are unreadable."""
        read: Result[list[StoreChange], str] = Success(message.changes)
        if isinstance(message, PackedChanges):
            read = unpack(message.changes, list[StoreChange])
        if isinstance(read, Failure):
            return read
        events = []
        for change in read.unwrap():
            item = codec.read_object(change.item)
            if isinstance(item, Failure):
                report_unreadable(item.failure(), self.state.log)
                continue
            event = ObjectEvent(item.unwrap(), change.is_gone, change.seen_revision)
            events.append(event)
        return Success(events)


def _encoded(item: dict) -> bytes:
    """Return an object as JSON, also where msgspec cannot encode its values."""
    try:
        return msgspec.json.encode(item)
    except (ArithmeticError, UnicodeError):
        return json.dumps(item).encode()
