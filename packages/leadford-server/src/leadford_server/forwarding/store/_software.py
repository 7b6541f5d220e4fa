"""Record in the store at which software versions streams may have begun.

Owns what this entry knows of these records. `leadford.forwarding.streams` decides what
they hold. While nothing changes, nothing is read or written.
"""

import asyncio
from collections.abc import Callable, Sequence
from contextlib import suppress

import msgspec
from returns.result import Failure

from leadford.events import Event
from leadford.forwarding.endpoints import SoftwareVersion
from leadford.forwarding.routes import ServiceId
from leadford.forwarding.streams import (
    NO_VERSIONS,
    RecordAges,
    RecordedSoftware,
    SeenSoftware,
    extended_record,
)
from leadford_server.forwarding._state import ForwardState
from leadford_server.forwarding._store_contract import ObjectCodec, StoreFailure
from leadford_server.forwarding.store._catch_up import CatchUp
from leadford_server.forwarding.store._client import (
    ObjectsClient,
    decoded_record_or_none,
)
from leadford_server.forwarding.store._formats import read_software, software_spec
from leadford_server.forwarding.store._own_objects import OwnObjects
from leadford_server.forwarding.store._shared_read import SharedRead
from leadford_server.forwarding.store._software_view import SoftwareView

# Time between checks whether a record lacks something; they make no calls.
CHECK_INTERVAL_S = 0.25
# Entries spread the calls that follow a change over this time for each entry, up to the
# maximum.
SPREAD_PER_ENTRY_S = 0.004
MAX_SPREAD_S = 1.0
# Pause after a failed call, doubled after each one up to the maximum.
RETRY_MIN_S = 0.2
RETRY_MAX_S = 3.0
# Maximum time for which a first event waits until its version is recorded.
MAX_RECORD_WAIT_S = 0.3
# Minimum time between two reads of one record for streams that callers resume.
READ_INTERVAL_S = 0.1


class StoredSoftware(msgspec.Struct, frozen=True):
    """Hold a record as the store has it, None if it has none, and its revision."""

    record: RecordedSoftware | None
    revision: int | None


class SoftwareRecords:
    """Keep the records of all services whose streams callers may resume.

    `listing` brings what is known of the endpoints up to date, and `is_follower` tells
    whether this entry is one of the few that remove from records.
    """

    def __init__(
        self,
        *,
        state: ForwardState,
        client: ObjectsClient,
        objects: ObjectCodec,
        listing: CatchUp,
        is_first_start: bool,
        is_follower: Callable[[], bool],
    ) -> None:
        self.state = state
        self.client = client
        self.listing = listing
        self.is_first_start = is_first_start
        self.is_follower = is_follower
        self.stored = OwnObjects(
            kind=objects.software_kind, client=client, objects=objects
        )
        self.view = SoftwareView(state=state, epochs=client.epochs)
        self.ages_ = RecordAges()
        self.stored_by_id_: dict[ServiceId, StoredSoftware] = {}
        self.due_at_by_id_: dict[ServiceId, float] = {}
        self.retry_s_ = RETRY_MIN_S
        self.failed_until_ = 0.0
        self.is_failing_ = False
        self.wanted_ = asyncio.Event()
        self.learned_ = asyncio.Event()
        self.reads_by_id_: dict[ServiceId, SharedRead[StoredSoftware | None]] = {}

    async def run(self) -> None:
        """Keep the records up to date until cancelled."""
        while True:
            with suppress(TimeoutError):
                async with asyncio.timeout(CHECK_INTERVAL_S):
                    await self.wanted_.wait()
            is_wanted = self.wanted_.is_set()
            self.wanted_.clear()
            if self.state.now() < self.failed_until_:
                continue
            for service_id in self.view.service_ids():
                await self._check(service_id, at_once=is_wanted)

    def record_wait(self, wait_s: float) -> None:
        """Record for how long the caller of a stream may wait."""
        self.view.longest_wait_s_ = max(self.view.longest_wait_s_, wait_s)

    def longest_wait_s(self, service_id: ServiceId) -> float | None:
        """Return the longest time that a caller may wait, None if it is not known."""
        record = self._known(service_id)
        if record is None or record.epoch != self.client.epochs.current_:
            return None
        return max(record.wait_s, self.view.longest_wait_s_)

    def overlaps(self, service_id: ServiceId) -> bool:
        """Return whether streams of a service may have begun at several versions."""
        record = self._known(service_id)
        listed = self.view.listed(service_id)
        versions = listed if record is None else record.versions | listed
        return len(versions) > 1

    async def until_recorded(
        self, service_id: ServiceId, software: SoftwareVersion | None
    ) -> None:
        """Wait until a stream at a version may begin, or the store is too slow."""
        until = self.state.now() + MAX_RECORD_WAIT_S
        while not self._is_recorded(service_id, software):
            now = self.state.now()
            if now >= until or self.is_failing_:
                return
            self.wanted_.set()
            learned = self.learned_
            with suppress(TimeoutError):
                async with asyncio.timeout(until - now):
                    await learned.wait()

    async def sole(self, service_ids: Sequence[ServiceId]) -> SoftwareVersion | None:
        """Return the only version of some services that can have begun a stream.

        Reads the records anew: another entry may have extended them just now. Reads the
        listing anew too: streams may have begun at a version that is not recorded yet,
        which an entry that was cut off or suspended does not know.
        """
        is_current, *found = await asyncio.gather(
            self.listing.is_current(),
            *(self._shared_read(service_id).value() for service_id in service_ids),
        )
        if not is_current:
            return None
        versions: set[SoftwareVersion | None] = set()
        for service_id, stored in zip(service_ids, found, strict=True):
            seen = self.view.seen(service_id)
            if stored is None or stored.record is None or seen is None:
                return None
            versions.add(stored.record.sole(seen))
        return versions.pop() if len(versions) == 1 else None

    def _is_recorded(
        self, service_id: ServiceId, software: SoftwareVersion | None
    ) -> bool:
        """Return whether nothing is left to record before a stream begins."""
        if software is None or service_id not in self.view.service_ids():
            return True
        record = self._known(service_id)
        seen = self.view.seen(service_id)
        if record is None or seen is None:
            return False
        return software in record.listed and record.covers(seen)

    def _known(self, service_id: ServiceId) -> RecordedSoftware | None:
        stored = self.stored_by_id_.get(service_id)
        return None if stored is None else stored.record

    async def _check(self, service_id: ServiceId, *, at_once: bool) -> None:
        """Extend or shorten a record if it is due."""
        seen = self.view.seen(service_id)
        if seen is None:
            return
        record = self._known(service_id)
        if record is not None and record.covers(seen):
            if self.is_follower():
                await self._shorten(record, seen)
            return
        if not seen.versions:
            # No stream can begin.
            return
        if at_once or self._is_due(service_id):
            self.due_at_by_id_.pop(service_id, None)
            await self._extend(seen)

    def _is_due(self, service_id: ServiceId) -> bool:
        """Return whether this entry calls now; entries spread the calls of a change."""
        now = self.state.now()
        spread_s = min(MAX_SPREAD_S, SPREAD_PER_ENTRY_S * self.state.entry_count_)
        due_at = self.due_at_by_id_.setdefault(
            service_id, now + self.state.random.uniform(0.0, spread_s)
        )
        return now >= due_at

    async def _extend(self, seen: SeenSoftware) -> None:
        """Read a record, and add what it lacks."""
        service_id = seen.service_id
        # What is written depends on the revision that was read.
        stored = await self._read(service_id, accepts_earlier=True)
        if stored is None:
            self._record_failed()
            return
        if stored.record is not None and stored.record.covers(seen):
            self._learn(stored.record, stored.revision)
            return
        known = self._known(service_id)
        is_first = (
            self.is_first_start and known is None and self.view.is_first(service_id)
        )
        record = extended_record(stored.record, seen, known=known, is_first=is_first)
        await self._write(record, stored.revision)

    async def _shorten(self, record: RecordedSoftware, seen: SeenSoftware) -> None:
        """Record what is gone, and remove what has been gone for long."""
        shorter = self.ages_.shortened(record, seen, self.state.now())
        if shorter != record:
            await self._write(shorter, self.stored_by_id_[record.service_id].revision)

    def _shared_read(self, service_id: ServiceId) -> SharedRead[StoredSoftware | None]:
        if service_id not in self.reads_by_id_:
            self.reads_by_id_[service_id] = SharedRead(
                read=lambda: self._read(service_id), interval_s=READ_INTERVAL_S
            )
        return self.reads_by_id_[service_id]

    async def _read(
        self, service_id: ServiceId, *, accepts_earlier: bool = False
    ) -> StoredSoftware | None:
        """Return what the store holds, None if that is not known."""
        answer = await self.stored.read(service_id, accepts_earlier=accepts_earlier)
        if isinstance(answer, Failure):
            is_absent = answer.failure() is StoreFailure.NOT_FOUND
            return StoredSoftware(None, None) if is_absent else None
        found = answer.unwrap()
        record = decoded_record_or_none(
            read_software(service_id, found.spec), service_id, self.client.log
        )
        if record is None:
            # Replaced by a record that can be read, which is not complete.
            record = RecordedSoftware(service_id, NO_VERSIONS)
        return StoredSoftware(record, found.revision)

    async def _write(self, record: RecordedSoftware, revision: int | None) -> None:
        """Write a record on the condition that the store holds a revision of it."""
        service_id = record.service_id
        written = await self.stored.write(service_id, software_spec(record), revision)
        if not isinstance(written, Failure):
            self._learn(record, written.unwrap())
            return
        # The record is read anew: another entry was first, or the call may be done.
        self.stored_by_id_.pop(service_id, None)
        if written.failure() is StoreFailure.CONFLICT:
            self.wanted_.set()
            return
        self._record_failed()

    def _learn(self, record: RecordedSoftware, revision: int | None) -> None:
        """Know a record as the store has it."""
        self.retry_s_ = RETRY_MIN_S
        self.is_failing_ = False
        self.stored_by_id_[record.service_id] = StoredSoftware(record, revision)
        self._wake()
        self.state.log.report(
            Event.SOFTWARE_RECORDED,
            service=record.service_id,
            listed=",".join(sorted(record.listed)),
            gone=",".join(sorted(record.gone)),
            is_complete=record.is_complete,
            wait_ms=round(record.wait_s * 1_000.0),
            revision=revision or 0,
        )

    def _record_failed(self) -> None:
        """Pause after a call that failed."""
        self.is_failing_ = True
        pause_s = self.retry_s_ * self.state.random.uniform(0.6, 1.2)
        self.failed_until_ = self.state.now() + pause_s
        self.retry_s_ = min(RETRY_MAX_S, self.retry_s_ * 2.0)
        self._wake()

    def _wake(self) -> None:
        """Wake the streams that wait for a record."""
        self.learned_.set()
        self.learned_ = asyncio.Event()
