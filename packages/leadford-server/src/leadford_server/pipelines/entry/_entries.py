"""Hold connections to other entries, and the notes kept for them.

A note says where a request runs. Each request's note is kept by the first of its
candidate entries that are connected, so that any entry can resume its answer
(`find_note`). The candidates are the same in every entry: the rendezvous order of the
request's shard.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Iterator
from functools import lru_cache

import msgspec

from leadford.common import (
    EntryId,
    HallId,
    RequestId,
    rendezvous_order,
    stable_hash,
)
from leadford.pipelines.config import EntryConfig, FleetConfig
from leadford.pipelines.membership import choose_relays
from leadford.protocol import Message, Note, NoteAnswer, NoteRequest
from leadford_server.peers import Dialer, PeerConnection
from leadford_server.pipelines.entry._dialers import DialerFactory

# Maximum number of notes kept for other entries.
NOTES_MAX = 50_000
# Number of shards of notes: few enough that the order of each is cached.
NOTE_SHARD_COUNT = 64
# Maximum number of cached orders of entries.
ORDERS_MAX = 256
# Interval between checks of connections that are awaited.
CONNECT_POLL_INTERVAL_S = 0.02
# Number of entries that keep a note, and of the candidates in their order. There are
# more candidates, so that a note is kept while one of them is being reconnected.
NOTE_REPLICA_COUNT = 2
NOTE_CANDIDATE_COUNT = 6
# Timeout for connecting to the entries that keep a note, and for their answers.
NOTE_ANSWER_TIMEOUT_S = 0.3


@lru_cache(maxsize=ORDERS_MAX)
def _order(key: str, entry_ids: tuple[str, ...]) -> tuple[str, ...]:
    """Return the order of all entries for a key, cached for each configuration."""
    return tuple(rendezvous_order(key, entry_ids))


class KeptNote(msgspec.Struct, frozen=True):
    """Hold a note and when it came.

    Units: kept_at is seconds of the event loop's clock.
    """

    note: Note
    kept_at: float


class EntryPeers:
    """Connect to the entries that this one has business with.

    That is the relays of its hall, the owners of claim shards and the entries that hold
    notes: a bounded set, whatever the number of entries.
    """

    def __init__(self, *, entry_id: EntryId, hall: HallId, dialers: DialerFactory):
        self.entry_id = entry_id
        self.hall = hall
        self.dialers = dialers
        self.configs_by_id_: dict[EntryId, EntryConfig] = {}
        self.ids_: tuple[str, ...] = ()
        self.dialers_by_id_: dict[EntryId, Dialer] = {}
        self.accepted_by_id_: dict[EntryId, PeerConnection] = {}
        self.notes_by_request_: OrderedDict[str, KeptNote] = OrderedDict()
        self.waiting_by_request_: dict[str, list[asyncio.Future[Note | None]]] = {}

    def apply_config(self, config: FleetConfig) -> None:
        """Record which entries there are."""
        self.configs_by_id_ = {EntryId(i): c for i, c in config.entries.items()}
        self.ids_ = tuple(sorted(config.entries))
        for entry_id, dialer in list(self.dialers_by_id_.items()):
            known = self.configs_by_id_.get(entry_id)
            if known is None or known.peer != dialer.address:
                del self.dialers_by_id_[entry_id]
                asyncio.get_running_loop().create_task(dialer.stop())
        for entry_id in self.relays():
            self.peer(entry_id)

    def relays(self) -> list[EntryId]:
        """Return the entries that watch the store for this hall, the live first."""
        return choose_relays(self._halls_by_entry(), self.hall)

    def relays_of_all_halls(self) -> set[EntryId]:
        """Return the entries that watch the store for any hall, the live ones."""
        halls_by_entry = self._halls_by_entry()
        found: set[EntryId] = set()
        for hall in set(halls_by_entry.values()):
            found.update(choose_relays(halls_by_entry, hall))
        return found

    def _halls_by_entry(self) -> dict[EntryId, HallId]:
        """Return the hall of each entry that is not known to be down."""
        return {
            entry_id: HallId(config.hall)
            for entry_id, config in self.configs_by_id_.items()
            if entry_id == self.entry_id or not self.is_down(entry_id)
        }

    def is_down(self, entry_id: EntryId) -> bool:
        """Tell whether an entry cannot be reached just now."""
        dialer = self.dialers_by_id_.get(entry_id)
        return dialer is not None and dialer.failures_ > 0

    def is_relay(self) -> bool:
        """Tell whether this entry watches the store for its hall."""
        relays = self.relays()
        for entry_id in relays:
            self.peer(entry_id)
        return self.entry_id in relays

    def peer(self, entry_id: EntryId) -> PeerConnection | None:
        """Return a connection to an entry; begin to connect if there is none."""
        if entry_id == self.entry_id:
            return None
        dialer = self.dialers_by_id_.get(entry_id)
        if dialer is not None and dialer.peer is not None:
            return dialer.peer
        accepted = self.accepted_by_id_.get(entry_id)
        if accepted is not None and accepted.is_open_:
            return accepted
        config = self.configs_by_id_.get(entry_id)
        if dialer is None and config is not None:
            made = self.dialers.make(config.peer, lambda: None)
            self.dialers_by_id_[entry_id] = made
        return None

    async def connect(
        self, entry_ids: list[EntryId], within_s: float, *, wait_for_down: bool
    ) -> list[PeerConnection]:
        """Return the connections to entries that are open within a timeout."""
        limit = asyncio.get_running_loop().time() + within_s
        while True:
            peers_by_id = {entry_id: self.peer(entry_id) for entry_id in entry_ids}
            awaited = [
                entry_id
                for entry_id, peer in peers_by_id.items()
                if peer is None and (wait_for_down or not self.is_down(entry_id))
            ]
            if not awaited or asyncio.get_running_loop().time() >= limit:
                return [peer for peer in peers_by_id.values() if peer is not None]
            await asyncio.sleep(CONNECT_POLL_INTERVAL_S)

    def owner(self, shard: int) -> EntryId:
        """Return the entry that batches the claims of a shard now."""
        return next(self.live_order(f"claims/{shard}"), self.entry_id)

    def live_order(self, key: str) -> Iterator[EntryId]:
        """Yield the entries that can be reached, in the order of a key."""
        for entry_id in _order(key, self.ids_):
            if not self.is_down(EntryId(entry_id)):
                yield EntryId(entry_id)

    def accepted(self, peer: PeerConnection) -> None:
        """Register a connection that another entry opened."""
        self.accepted_by_id_[EntryId(peer.info.peer_id)] = peer

    def lost(self, peer: PeerConnection) -> None:
        """Forget a connection."""
        entry_id = EntryId(peer.info.peer_id)
        if self.accepted_by_id_.get(entry_id) is peer:
            del self.accepted_by_id_[entry_id]

    def note_holders(self, request_id: RequestId) -> tuple[str, ...]:
        """Return the entries that may keep the note of a request, in order."""
        shard = stable_hash(request_id) % NOTE_SHARD_COUNT
        return _order(f"note/{shard}", self.ids_)[:NOTE_CANDIDATE_COUNT]

    def publish(self, note: Note) -> None:
        """Give a note to the first of its holders that can be reached."""
        kept = 0
        for entry_id in self.note_holders(RequestId(note.request_id)):
            if entry_id == self.entry_id:
                self._keep(note)
                kept += 1
            else:
                peer = self.peer(EntryId(entry_id))
                kept += peer is not None and peer.send(note)
            if kept >= NOTE_REPLICA_COUNT:
                return

    def _keep(self, note: Note) -> None:
        kept = KeptNote(note, asyncio.get_running_loop().time())
        self.notes_by_request_[note.request_id] = kept
        self.notes_by_request_.move_to_end(note.request_id)
        if len(self.notes_by_request_) > NOTES_MAX:
            self.notes_by_request_.popitem(last=False)

    def _held_note(self, request_id: str) -> Note | None:
        """Return the note of a request that is kept here, with its age."""
        kept = self.notes_by_request_.get(request_id)
        if kept is None:
            return None
        age_s = asyncio.get_running_loop().time() - kept.kept_at
        return msgspec.structs.replace(kept.note, age_ms=age_s * 1000.0)

    async def find_note(self, request_id: RequestId) -> Note | None:
        """Return the note of a request from any of its holders."""
        held = self._held_note(request_id)
        if held is not None:
            return held
        note_holders = [
            EntryId(i) for i in self.note_holders(request_id) if i != self.entry_id
        ]
        asked = await self.connect(
            note_holders, NOTE_ANSWER_TIMEOUT_S, wait_for_down=False
        )
        futures: list[asyncio.Future[Note | None]] = []
        for peer in asked:
            if not peer.send(NoteRequest(request_id)):
                continue
            future = asyncio.get_running_loop().create_future()
            futures.append(future)
            self.waiting_by_request_.setdefault(request_id, []).append(future)
        try:
            return await self._first_note(futures)
        finally:
            waiting = self.waiting_by_request_.get(request_id, [])
            left = [future for future in waiting if future not in futures]
            self.waiting_by_request_[request_id] = left
            if not left:
                del self.waiting_by_request_[request_id]

    async def _first_note(
        self, futures: list[asyncio.Future[Note | None]]
    ) -> Note | None:
        for future in asyncio.as_completed(futures, timeout=NOTE_ANSWER_TIMEOUT_S):
            try:
                note = await future
            except TimeoutError:
                return None
            if note is not None:
                return note
        return None

    def peer_message(self, peer: PeerConnection, message: Message) -> bool:
        """Take a message about notes; return whether it was one."""
        if isinstance(message, Note):
            self._keep(message)
            return True
        if isinstance(message, NoteRequest):
            note = self._held_note(message.request_id)
            peer.send(NoteAnswer(message.request_id, note))
            return True
        if isinstance(message, NoteAnswer):
            for future in self.waiting_by_request_.get(message.request_id, []):
                if not future.done():
                    future.set_result(message.note)
                    break
            return True
        return False

    async def stop(self) -> None:
        """Close every connection."""
        for dialer in list(self.dialers_by_id_.values()):
            await dialer.stop()
