"""Hold which entries exist, and register this one in the store.

Owns the known entries: from the store, and from peers until the store has answered
once. Which of them are alive is left to `_links`.
"""

import asyncio
from collections.abc import Callable
from random import Random

from returns.result import Failure

from leadford.common import EntryId
from leadford.forwarding.history import FIRST_EPOCH, StoreEpoch
from leadford_server.forwarding._store_contract import (
    KnownEntry,
    ObjectCodec,
    ObjectEvent,
    StoreFailure,
)
from leadford_server.forwarding.store import (
    Listing,
    ObjectsClient,
    decoded_record_or_none,
)

# Base pause between attempts to register this entry in the store, and the range of the
# random factor of each pause.
ANNOUNCE_RETRY_S = 0.5
ANNOUNCE_JITTER = (0.8, 1.6)
# Entries spread rewriting their records over this time when a restored store has lost
# them.
REANNOUNCE_SPREAD_S = 1.0
# Time for which entries still count after a restored store has lost their records: each
# learns of the restoration when its rest after a confirmation ends at the latest, and
# then writes its record again.
LOST_ENTRY_RETENTION_S = 6.0
# Timeout for removing the record of this entry at the end of a planned stop.
RETRACT_TIMEOUT_S = 0.3


class EntryMembers:
    """Hold the entries that are known to exist.

    `on_change` is called with the entries by id after each change.
    """

    def __init__(
        self,
        *,
        own: KnownEntry,
        objects: ObjectCodec,
        client: ObjectsClient,
        random: Random,
        on_change: Callable[[dict[EntryId, KnownEntry]], None],
    ) -> None:
        self.own = own
        self.objects = objects
        self.client = client
        self.random = random
        self.on_change = on_change
        self.entries_by_id_: dict[EntryId, KnownEntry] = {}
        self.has_listed_ = False
        self.listed_epoch_ = FIRST_EPOCH
        # Entries whose records a restored store has lost, until they are rewritten.
        self.lost_by_id_: dict[EntryId, KnownEntry] = {}
        self.announced_epoch_: StoreEpoch | None = None
        # Revision of the record of this entry, None while it is not known.
        self.own_revision_: int | None = None
        self.reannounce_needed_ = asyncio.Event()

    def on_list(self, listing: Listing) -> None:
        """Apply a complete listing of the store."""
        epoch = listing.position.epoch
        if self.has_listed_ and epoch > self.listed_epoch_:
            self.lost_by_id_ = dict(self.entries_by_id_)
            loop = asyncio.get_running_loop()
            loop.call_later(LOST_ENTRY_RETENTION_S, self._forget_lost, epoch)
        was_listed = self.own_revision_ is not None
        self.own_revision_ = None
        self.has_listed_ = True
        self.listed_epoch_ = epoch
        self.entries_by_id_.clear()
        self.entries_by_id_.update(self.lost_by_id_)
        for item in listing.items:
            self._read(item)
        names = {self.objects.object_name(item) for item in listing.items}
        if self.own.entry_id not in names:
            self._reannounce_if_lost(epoch, was_listed=was_listed)
        self.on_change(self.entries_by_id_)

    def _reannounce_if_lost(self, epoch: StoreEpoch, *, was_listed: bool) -> None:
        """Request to write the record of this entry again if the store has lost it.

        A listing without it may be older than the record.
        """
        is_restored = (
            self.announced_epoch_ is not None and self.announced_epoch_ < epoch
        )
        if is_restored or was_listed:
            self.reannounce_needed_.set()

    def _forget_lost(self, epoch: StoreEpoch) -> None:
        """Forget the entries whose records were not written again."""
        if epoch != self.listed_epoch_:
            return
        for entry_id in self.lost_by_id_:
            self.entries_by_id_.pop(entry_id, None)
        self.lost_by_id_.clear()
        self.on_change(self.entries_by_id_)

    def on_event(self, event: ObjectEvent) -> None:
        """Apply one change in the store."""
        name = EntryId(self.objects.object_name(event.item))
        # An unreadable record names no entry, the same as a deleted one.
        self.entries_by_id_.pop(name, None)
        self.lost_by_id_.pop(name, None)
        if not event.is_gone:
            self._read(event.item)
        if name == self.own.entry_id:
            self._on_own_event(event)
        self.on_change(self.entries_by_id_)

    def _on_own_event(self, event: ObjectEvent) -> None:
        """Request to write the record of this entry again once it was removed.

        The store may do a removal by an earlier process of this entry seconds later.
        """
        if not event.is_gone:
            self.reannounce_needed_.clear()
            return
        self.own_revision_ = None
        self.reannounce_needed_.set()

    def on_confirmed(self, confirmed_at: float) -> None:
        """Do nothing: no decision depends on the age of the list of entries."""

    def learn(self, entries: list[KnownEntry]) -> None:
        """Add the entries that a peer names, until the store has listed them once."""
        if self.has_listed_:
            return
        for entry in entries:
            self.entries_by_id_.setdefault(entry.entry_id, entry)
        self.on_change(self.entries_by_id_)

    async def announce(self) -> None:
        """Keep the record of this entry in the store until cancelled."""
        while True:
            self.reannounce_needed_.clear()
            await self._write()
            self.announced_epoch_ = self.client.epochs.current_
            await self.reannounce_needed_.wait()
            if self.client.epochs.current_ == self.announced_epoch_:
                continue
            # All entries of a fleet detect the loss of their records at about the same
            # time.
            await asyncio.sleep(self.random.uniform(0.0, REANNOUNCE_SPREAD_S))

    async def _write(self) -> None:
        """Write the record of this entry to the store, and retry until it succeeds."""
        path = self.objects.object_path(self.objects.entries_kind, "")
        body = self.objects.entry_object(self.own)
        while True:
            # Repeated with the same body, so the answer to an earlier call will do.
            made = await self.client.call(
                path, method="POST", body=body, accepts_earlier=True
            )
            if not isinstance(made, Failure) or made.failure() is StoreFailure.CONFLICT:
                return
            spread = self.random.uniform(*ANNOUNCE_JITTER)
            await asyncio.sleep(ANNOUNCE_RETRY_S * spread)

    async def retract(self) -> None:
        """Remove the record of this entry, if the store answers in time.

        The store may do the call later, when the next process of this entry has written
        its record; that one has another revision.
        """
        path = self.objects.object_path(
            self.objects.entries_kind, self.own.entry_id, self.own_revision_
        )
        try:
            async with asyncio.timeout(RETRACT_TIMEOUT_S):
                await self.client.call(path, method="DELETE")
        except TimeoutError:
            # The client logs that the store is unavailable, and peers notice that this
            # entry left.
            return

    def _read(self, item: dict) -> None:
        if self.objects.object_name(item) == self.own.entry_id:
            self.own_revision_ = self.objects.object_revision(item)
        entry = decoded_record_or_none(
            self.objects.read_entry(item),
            self.objects.object_name(item),
            self.client.log,
        )
        if entry is not None:
            self.entries_by_id_[entry.entry_id] = entry
            self.lost_by_id_.pop(entry.entry_id, None)
