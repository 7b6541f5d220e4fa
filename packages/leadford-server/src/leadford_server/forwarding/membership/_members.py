"""Know which entries exist, and tell the store that this one does.

Owns the known entries: from the store, and from peers until the store has answered
once. Who of them lives is left to `_links`.
"""

import asyncio
from collections.abc import Callable
from random import Random

from returns.result import Failure

from leadford.common import EntryId
from leadford_server.forwarding._contract import (
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

    def on_list(self, listing: Listing) -> None:
        """Read a whole listing of the store."""
        self.has_listed_ = True
        self.entries_by_id_.clear()
        for item in listing.items:
            self._read(item)
        self.on_change(self.entries_by_id_)

    def on_event(self, event: ObjectEvent) -> None:
        """Read one change in the store."""
        # A record that cannot be read names no entry, as one that is gone.
        self.entries_by_id_.pop(self.objects.object_name(event.item), None)
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
