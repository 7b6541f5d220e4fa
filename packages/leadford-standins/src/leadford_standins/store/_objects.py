"""Hold versioned objects and count calls.

The state of the object API's stand-in; `_server` speaks its protocol.
"""

import asyncio
from collections import defaultdict

import msgspec

# Bytes of an object that the API takes.
VALUE_BYTES_MAX = 1024 * 1024


class StoredObject(msgspec.Struct, frozen=True):
    """Hold one object at one version."""

    version: int
    data: bytes


class StoreCalls(msgspec.Struct):
    """Count the calls that the object API would bill."""

    reads: int = 0
    writes: int = 0
    watches: int = 0
    waiting: int = 0
    conflicts: int = 0
    refused: int = 0


class ObjectTable:
    """Hold objects by name; versions only grow, also over deletion."""

    def __init__(self) -> None:
        self.objects_by_name_: dict[str, StoredObject] = {}
        self.last_version_ = 0
        self.calls_ = StoreCalls()
        self.writes_by_prefix_: dict[str, int] = defaultdict(int)
        self.waiters_by_name_: dict[str, set[asyncio.Event]] = defaultdict(set)

    def get(self, name: str) -> StoredObject | None:
        """Return an object."""
        return self.objects_by_name_.get(name)

    def put(self, name: str, data: bytes, expected: int | None) -> StoredObject | None:
        """Write an object if its version is the expected one; 0 means absent."""
        self.writes_by_prefix_[name.split("/")[0]] += 1
        current = self.objects_by_name_.get(name)
        version = current.version if current is not None else 0
        if expected is not None and expected != version:
            self.calls_.conflicts += 1
            return None
        self.last_version_ += 1
        stored = StoredObject(self.last_version_, data)
        self.objects_by_name_[name] = stored
        self._wake(name)
        return stored

    def delete(self, name: str) -> None:
        """Remove an object."""
        self.writes_by_prefix_[name.split("/")[0]] += 1
        self.objects_by_name_.pop(name, None)
        self._wake(name)

    def _wake(self, name: str) -> None:
        for event in self.waiters_by_name_.pop(name, ()):
            event.set()

    async def wait_past(self, name: str, version: int, timeout_s: float) -> None:
        """Wait until an object moves past a version."""
        current = self.get(name)
        if current is not None and current.version > version:
            return
        event = asyncio.Event()
        self.waiters_by_name_[name].add(event)
        self.calls_.waiting += 1
        try:
            await asyncio.wait_for(event.wait(), timeout_s)
        except TimeoutError:
            # Nothing changed in time: the caller sees the version it has.
            pass
        finally:
            self.calls_.waiting -= 1
            self.waiters_by_name_.get(name, set()).discard(event)
