"""Define what following the store needs from an adapter to a platform's wire format.

An adapter translates names and formats of the store into these messages and back. It
decides nothing.
"""

from collections.abc import Mapping
from enum import Enum
from typing import Protocol

import msgspec
from returns.result import Result

from leadford.common import EntryId, HallId
from leadford.forwarding.endpoints import HallNotice, ListedEndpoint
from leadford.forwarding.history import FIRST_EPOCH, StoreEpoch, StorePosition
from leadford.forwarding.routes import ForwardConfig


class ObjectList(msgspec.Struct, frozen=True):
    """Hold one page of objects and the revision of the store that it shows.

    `faults` describe what was wrong with objects that are left out.
    """

    items: list[dict]
    next_name: str | None
    revision: int
    faults: tuple[str, ...] = ()


class KnownEntry(msgspec.Struct, frozen=True):
    """Hold where an entry listens for its peers, and its hall."""

    entry_id: EntryId
    address: str
    hall: HallId


class ObjectEvent(msgspec.Struct, frozen=True):
    """Hold one change of an object, seen at a revision of the store in an epoch."""

    item: dict
    is_gone: bool
    seen_revision: int
    epoch: StoreEpoch = FIRST_EPOCH

    @property
    def seen_at(self) -> StorePosition:
        """Return the store position of the answer that reported the change."""
        return StorePosition(self.epoch, self.seen_revision)


class ObjectEvents(msgspec.Struct, frozen=True):
    """Hold the changes that a watch saw, and the position to continue from.

    `faults` describe what was wrong with changes that are left out.
    """

    events: list[ObjectEvent]
    revision: int
    faults: tuple[str, ...] = ()
    epoch: StoreEpoch = FIRST_EPOCH

    @property
    def position(self) -> StorePosition:
        """Return the position to continue from."""
        return StorePosition(self.epoch, self.revision)

    def in_epoch(self, epoch: StoreEpoch) -> "ObjectEvents":
        """Return a copy in which the changes belong to an epoch of the store."""
        replace = msgspec.structs.replace
        events = [replace(event, epoch=epoch) for event in self.events]
        return replace(self, events=events, epoch=epoch)


class StoreAnswer(msgspec.Struct, frozen=True):
    """Hold the body of a successful answer of the store, and its epoch.

    `late_s` is how long before the call that returns it the answered one began.

    Units: late_s in seconds.
    """

    body: bytes
    epoch: StoreEpoch
    late_s: float = 0.0


class StoreFailure(Enum):
    """Tell why a call to the store had no effect, or may have had none.

    CONFLICT: the object exists already, or has another revision. HISTORY_GONE: changes
    since the requested revision are no longer kept. NO_ANSWER: none arrived in time,
    and the call may have taken effect. NOT_FOUND: there is no such object. PAST_EPOCH:
    the answer belongs to a history of the store that has ended. UNAVAILABLE: the store
    refused the call.
    """

    CONFLICT = "conflict"
    HISTORY_GONE = "history-gone"
    NO_ANSWER = "no-answer"
    NOT_FOUND = "not-found"
    PAST_EPOCH = "past-epoch"
    UNAVAILABLE = "unavailable"


class ObjectCodec(Protocol):
    """Name and read the objects of the platform's store."""

    config_kind: str
    config_name: str
    endpoints_kind: str
    entries_kind: str
    evacuations_kind: str
    software_kind: str
    streams_kind: str

    def list_path(
        self, kind: str, after: str | None, *, may_be_stale: bool = False
    ) -> str:
        """Return the path of a page of objects, which may be seconds old."""

    def watch_path(self, kind: str, revision: int, wait_ms: int) -> str:
        """Return the path of a watch."""

    def object_path(self, kind: str, name: str, revision: int | None = None) -> str:
        """Return the path of one object, for a call that needs it at a revision."""

    def read_failure(self, status: int) -> StoreFailure:
        """Return the failure that the status of a failed call stands for."""

    def read_epoch(self, headers: Mapping[str, str]) -> StoreEpoch | None:
        """Return the epoch of an answer; None if it states none."""

    def read_list(self, body: bytes) -> Result[ObjectList, str]:
        """Return a page of objects."""

    def read_events(self, body: bytes) -> Result[ObjectEvents, str]:
        """Return the changes that a watch saw."""

    def read_object(self, item: object) -> Result[dict, str]:
        """Return an object, or its bytes, if its name and revision can be read."""

    def read_config(self, item: dict) -> Result[ForwardConfig, str]:
        """Return the configuration in an object."""

    def read_endpoint(self, item: dict) -> Result[ListedEndpoint, str]:
        """Return the endpoint in an object."""

    def read_evacuation(self, item: dict) -> Result[HallNotice, str]:
        """Return the evacuation of a hall in an object."""

    def read_entry(self, item: dict) -> Result[KnownEntry, str]:
        """Return the entry in an object."""

    def entry_object(self, entry: KnownEntry) -> bytes:
        """Return the object that announces an entry."""

    def own_object(self, name: str, spec: dict, revision: int | None) -> bytes:
        """Return an object of leadford's own, to replace a revision if there is one."""

    def object_spec(self, item: dict) -> object:
        """Return what an object of leadford's own holds."""

    def object_name(self, item: dict) -> str:
        """Return the name of an object."""

    def object_revision(self, item: dict) -> int:
        """Return the revision of an object's last change."""
