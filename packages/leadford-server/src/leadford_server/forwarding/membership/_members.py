"""Know which entries exist, and tell the store that this one does.

Owns the known entries: from the store, and from peers until the store has answered
once. Who of them lives is left to `_links`.
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
from leadford_server.forwarding.store import Listing, ObjectsClient, readable_record

# Seconds between tries to announce this entry in the store, and the parts between which
# each pause is drawn.
ANNOUNCE_WAIT_S = 0.5
ANNOUNCE_SPREAD = (0.8, 1.6)
# Seconds over which entries write their records again that a restored store has lost.
ANNOUNCED_AGAIN_S = 1.0
# Seconds for which entries count whose records a restored store has lost: all hear of
# it within the time that a confirmation lets them rest, and then write again.
LOST_KEPT_S = 6.0
# Seconds that the end of a planned stop waits for the store.
RETRACT_S = 0.3


class EntryMembers:
    """Hold the entries that are known to exist.

    `on_change` is called with them, by id and without this one.
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
        # Entries whose records a restored store has lost, until they write them again.
        self.lost_by_id_: dict[EntryId, KnownEntry] = {}
        self.announced_epoch_: StoreEpoch | None = None
        self.unannounced_ = asyncio.Event()

    def on_list(self, listing: Listing) -> None:
        """Read a whole listing of the store."""
        epoch = listing.position.epoch
        if self.has_listed_ and epoch > self.listed_epoch_:
            self.lost_by_id_ = dict(self.entries_by_id_)
            loop = asyncio.get_running_loop()
            loop.call_later(LOST_KEPT_S, self._forget_lost, epoch)
        self.has_listed_ = True
        self.listed_epoch_ = epoch
        self.entries_by_id_.clear()
        self.entries_by_id_.update(self.lost_by_id_)
        for item in listing.items:
            self._read(item)
        names = {self.objects.object_name(item) for item in listing.items}
        if self.own.entry_id not in names:
            self._check_announced(epoch)
        self.on_change(self.entries_by_id_)

    def _check_announced(self, epoch: StoreEpoch) -> None:
        """Write the record of this entry again if an epoch of the store lacks it."""
        if self.announced_epoch_ is not None and self.announced_epoch_ < epoch:
            self.unannounced_.set()

    def _forget_lost(self, epoch: StoreEpoch) -> None:
        """Forget the entries whose records were not written again."""
        if epoch != self.listed_epoch_:
            return
        for entry_id in self.lost_by_id_:
            self.entries_by_id_.pop(entry_id, None)
        self.lost_by_id_.clear()
        self.on_change(self.entries_by_id_)

    def on_event(self, event: ObjectEvent) -> None:
        """Read one change in the store."""
        name = EntryId(self.objects.object_name(event.item))
        # A record that cannot be read names no entry, as one that is gone.
        self.entries_by_id_.pop(name, None)
        self.lost_by_id_.pop(name, None)
        if not event.is_gone:
            self._read(event.item)
        self.on_change(self.entries_by_id_)

    def on_confirmed(self) -> None:
        """Do nothing: how old the list of entries is decides nothing."""

    def learn(self, entries: list[KnownEntry]) -> None:
        """Believe a peer until the store has told which entries exist."""
        if self.has_listed_:
            return
        for entry in entries:
            self.entries_by_id_.setdefault(entry.entry_id, entry)
        self.on_change(self.entries_by_id_)

    async def announce(self) -> None:
        """Keep the record of this entry in the store until cancelled."""
        while True:
            self.unannounced_.clear()
            await self._write()
            self.announced_epoch_ = self.client.epochs.current_
            await self.unannounced_.wait()
            # All entries of a fleet find their records lost within a short time.
            await asyncio.sleep(self.random.uniform(0.0, ANNOUNCED_AGAIN_S))

    async def _write(self) -> None:
        """Write in the store that this entry exists, trying until it is done."""
        path = self.objects.object_path(self.objects.entries_kind, "")
        body = self.objects.entry_object(self.own)
        while True:
            made = await self.client.call(path, method="POST", body=body)
            if not isinstance(made, Failure) or made.failure() is StoreFailure.CONFLICT:
                return
            spread = self.random.uniform(*ANNOUNCE_SPREAD)
            await asyncio.sleep(ANNOUNCE_WAIT_S * spread)

    async def retract(self) -> None:
        """Remove this entry from the store, if the store answers soon."""
        path = self.objects.object_path(self.objects.entries_kind, self.own.entry_id)
        try:
            async with asyncio.timeout(RETRACT_S):
                await self.client.call(path, method="DELETE")
        except TimeoutError:
            # The client has logged that the store is away; peers see that this one
            # left.
            return

    def _read(self, item: dict) -> None:
        entry = readable_record(
            self.objects.read_entry(item),
            self.objects.object_name(item),
            self.client.log,
        )
        if entry is not None:
            self.entries_by_id_[entry.entry_id] = entry
            self.lost_by_id_.pop(entry.entry_id, None)
