"""Keep the connections of the callers of a soak, by entry.

Owns them. Idle connections carry further requests; reserved ones wait until their entry
is told to stop, and are used then.
"""

import asyncio
from random import Random

from leadford_standins.soak.parts._connection import CallerConnection
from leadford_standins.soak.parts._processes import EntryProcess

# Fraction of the requests that use a new connection though one is idle.
NEW_CONNECTION_FRACTION = 0.15
MAX_IDLE_CONNECTIONS = 32
MAX_RESERVED_CONNECTIONS = 24
REFILL_INTERVAL_S = 0.05


class ConnectionPool:
    """Hold the idle and the reserved connections to each entry."""

    def __init__(self, *, random: Random, entries: list[EntryProcess]) -> None:
        self.random = random
        self.entries = entries
        self.idle_by_entry_: dict[str, list[CallerConnection]] = {
            entry.name: [] for entry in entries
        }
        self.reserved_by_entry_: dict[str, list[CallerConnection]] = {
            entry.name: [] for entry in entries
        }

    async def open(self, entry: EntryProcess) -> CallerConnection | None:
        """Return a new connection to an entry; None if it cannot be opened."""
        if not entry.is_running():
            return None
        return await CallerConnection.open(entry.callers, entry.start_count_)

    async def take(self, entry: EntryProcess) -> CallerConnection | None:
        """Return an idle or a new connection; None if it cannot be opened."""
        idle = [c for c in self.idle_by_entry_[entry.name] if c.is_usable]
        self.idle_by_entry_[entry.name] = idle
        if idle and self.random.random() >= NEW_CONNECTION_FRACTION:
            return idle.pop(self.random.randrange(len(idle)))
        return await self.open(entry)

    def put_back(self, entry: EntryProcess, connection: CallerConnection) -> None:
        """Keep a connection for further requests, or close it."""
        if not connection.is_usable:
            return
        idle = self.idle_by_entry_[entry.name]
        if len(idle) < MAX_IDLE_CONNECTIONS:
            idle.append(connection)
        else:
            connection.close()

    async def fill_reserved(self) -> None:
        """Reserve connections to each entry that is not ending, until cancelled."""
        while True:
            for entry in self.entries:
                await self._reserve(entry)
            await asyncio.sleep(REFILL_INTERVAL_S)

    async def _reserve(self, entry: EntryProcess) -> None:
        """Drop reserved connections that were closed, and add one if there is room."""
        reserved = [c for c in self.reserved_by_entry_[entry.name] if c.is_usable]
        self.reserved_by_entry_[entry.name] = reserved
        if len(reserved) >= MAX_RESERVED_CONNECTIONS or entry.is_ending_:
            return
        opened = await self.open(entry)
        if opened is not None:
            self.reserved_by_entry_[entry.name].append(opened)

    def take_reserved(self, entry: EntryProcess) -> list[CallerConnection]:
        """Return the reserved connections to an entry, which are reserved no longer."""
        reserved = self.reserved_by_entry_[entry.name]
        self.reserved_by_entry_[entry.name] = []
        return reserved
