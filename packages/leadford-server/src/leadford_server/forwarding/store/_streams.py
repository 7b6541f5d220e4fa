"""Record in the store at which versions streams began, while several may have.

Owns the object of this entry and what was read of the others. An entry that starts
keeps what the process before it has written until the callers wait no longer.
`leadford.forwarding.streams` decides what is recorded, and how often.
"""

import asyncio
from collections.abc import Callable, Collection, Iterable

import msgspec
from returns.result import Failure

from leadford.common import EntryId, RequestId
from leadford.events import Event
from leadford.forwarding.routes import ServiceId
from leadford.forwarding.streams import (
    RecordedStreams,
    StreamOrigin,
    recordable_ids,
    write_interval_s,
)
from leadford_server.forwarding._state import ForwardState
from leadford_server.forwarding._store_contract import ObjectCodec
from leadford_server.forwarding.store._client import (
    ObjectsClient,
    decoded_record_or_none,
)
from leadford_server.forwarding.store._formats import read_streams, streams_spec
from leadford_server.forwarding.store._own_objects import OwnObjects, StoredSpec
from leadford_server.forwarding.store._shared_read import SharedRead

# Minimum time between two listings for streams that callers resume.
LIST_INTERVAL_S = 0.25
# Pause before the objects are listed again at the start, if that failed.
START_RETRY_S = 1.0
# Time after the end of all its streams before the object of another entry is removed.
ORPHAN_DELAY_S = 10.0


class KnownStream(msgspec.Struct, frozen=True):
    """Hold the origin of a stream that was read, and until when it counts."""

    origin: StreamOrigin
    until: float


class SeenObject(msgspec.Struct, frozen=True):
    """Hold the revision of the object of another entry, and when it may be removed."""

    revision: int
    removable_at: float


class StreamRecords:
    """Write and read the origins of streams.

    `held_ids` returns the streams of this entry, oldest first, `overlaps` whether
    streams of a service may have begun at several versions, `entry_ids` the entries
    that exist, and `is_follower` whether this entry removes what others left behind.
    """

    def __init__(
        self,
        *,
        state: ForwardState,
        client: ObjectsClient,
        objects: ObjectCodec,
        held_ids: Callable[[], Iterable[RequestId]],
        overlaps: Callable[[ServiceId], bool],
        entry_ids: Callable[[], Collection[EntryId]],
        is_follower: Callable[[], bool],
    ) -> None:
        self.state = state
        self.client = client
        self.stored = OwnObjects(
            kind=objects.streams_kind, client=client, objects=objects
        )
        self.held_ids = held_ids
        self.overlaps = overlaps
        self.entry_ids = entry_ids
        self.is_follower = is_follower
        self.written_ids_: frozenset[RequestId] = frozenset()
        # Revision of the object of this entry, None if it is not known.
        self.revision_: int | None = None
        self.known_by_id_: dict[RequestId, KnownStream] = {}
        # Streams that the process before this one recorded.
        self.adopted_by_id_: dict[RequestId, KnownStream] = {}
        self.seen_by_name_: dict[str, SeenObject] = {}
        self.listing_ = SharedRead(read=self._list, interval_s=LIST_INTERVAL_S)

    async def run(self) -> None:
        """Adopt what was recorded before, then record until cancelled."""
        # The process before this one writes no more, so an earlier answer will do.
        while not await self._list(accepts_earlier=True):
            await asyncio.sleep(START_RETRY_S)
        while True:
            interval_s = write_interval_s(
                self.state.entry_count_, self.state.bounds.store_writes_per_s
            )
            await asyncio.sleep(interval_s * self.state.random.uniform(0.9, 1.1))
            self._drop_ended()
            await self._update()
            await self._remove_orphan()

    async def find(self, request_id: RequestId) -> StreamOrigin | None:
        """Return the origin of a stream that any entry recorded, None if none did."""
        if request_id not in self.known_by_id_:
            await self.listing_.value()
        known = self.known_by_id_.get(request_id)
        if known is None or known.until <= self.state.now():
            return None
        return known.origin

    def _origins_to_record(self) -> dict[RequestId, StreamOrigin]:
        """Return the origins that the object of this entry should hold."""
        origins = {id_: known.origin for id_, known in self.adopted_by_id_.items()}
        # Asked once for each service: the answer goes through all its endpoints.
        overlaps_by_id: dict[ServiceId, bool] = {}
        for request_id in recordable_ids(self.held_ids()):
            origin = self.state.origin_ledger_.find(request_id)
            if origin is None:
                continue
            service_id = origin.service_id
            if service_id not in overlaps_by_id:
                overlaps_by_id[service_id] = self.overlaps(service_id)
            if overlaps_by_id[service_id]:
                origins[request_id] = origin
        return origins

    async def _update(self) -> None:
        """Write the object of this entry if it lacks a stream, or is not needed."""
        origins = self._origins_to_record()
        if not origins:
            await self._delete()
            return
        if origins.keys() <= self.written_ids_:
            return
        await self._write(origins)

    async def _delete(self) -> None:
        """Remove the object of this entry; tried again later if that fails."""
        if self.revision_ is None:
            return
        if await self.stored.delete(self.state.entry_id, self.revision_):
            self.revision_ = None
            self.written_ids_ = frozenset()

    async def _write(self, origins: dict[RequestId, StreamOrigin]) -> None:
        entry_id = self.state.entry_id
        spec = streams_spec(RecordedStreams(origins, self._longest_wait_s(origins)))
        written = await self.stored.write(entry_id, spec, self.revision_)
        if isinstance(written, Failure):
            # Whether the call is done, and at which revision, is read anew.
            self.written_ids_ = frozenset()
            read = await self.stored.read(entry_id)
            self.revision_ = read.map(lambda stored: stored.revision).value_or(None)
            return
        self.revision_ = written.unwrap()
        self.written_ids_ = frozenset(origins)

    def _longest_wait_s(self, origins: Iterable[RequestId]) -> float:
        """Return for how long the last of some callers may wait."""
        now = self.state.now()
        waits_s = [
            self.adopted_by_id_[request_id].until - now
            if request_id in self.adopted_by_id_
            else self.state.origin_ledger_.remaining_s(request_id, now)
            for request_id in origins
        ]
        return max(waits_s, default=0.0)

    def _drop_ended(self) -> None:
        """Forget what was read of streams whose callers wait no longer."""
        now = self.state.now()
        for streams_by_id in (self.known_by_id_, self.adopted_by_id_):
            ended = [id_ for id_, known in streams_by_id.items() if known.until <= now]
            for request_id in ended:
                del streams_by_id[request_id]

    async def _remove_orphan(self) -> None:
        """Remove an object whose streams have ended and whose entry is gone."""
        now = self.state.now()
        for name, seen in list(self.seen_by_name_.items()):
            if now < seen.removable_at:
                continue
            is_orphan = self.is_follower() and name not in self.entry_ids()
            if not is_orphan or await self.stored.delete(name, seen.revision):
                self.seen_by_name_.pop(name, None)
            return

    async def _list(self, *, accepts_earlier: bool = False) -> bool:
        """Read what all entries have recorded; return whether that succeeded."""
        found = await self.stored.list_all(accepts_earlier=accepts_earlier)
        if found is None:
            return False
        for stored in found:
            self._learn(stored)
        if found:
            self.state.log.report(
                Event.STREAMS_READ,
                objects=len(found),
                streams=len(self.known_by_id_),
            )
        return True

    def _learn(self, stored: StoredSpec) -> None:
        """Know the streams in one object."""
        read = read_streams(stored.spec)
        recorded = decoded_record_or_none(read, stored.name, self.client.log)
        if recorded is None:
            return
        until = self.state.now() + recorded.wait_s
        found = {
            request_id: KnownStream(origin, until)
            for request_id, origin in recorded.origins_by_id.items()
        }
        for request_id, known in found.items():
            self.known_by_id_.setdefault(request_id, known)
        if stored.name != self.state.entry_id:
            self._record_seen(stored, until)
            return
        if self.revision_ is None:
            # The process before this one wrote it.
            self.adopted_by_id_ = found
            self.revision_ = stored.revision
            self.written_ids_ = frozenset(found)

    def _record_seen(self, stored: StoredSpec, until: float) -> None:
        """Record when the object of another entry may be removed, unless it changes."""
        seen = self.seen_by_name_.get(stored.name)
        if seen is None or seen.revision != stored.revision:
            self.seen_by_name_[stored.name] = SeenObject(
                stored.revision, until + ORPHAN_DELAY_S
            )
