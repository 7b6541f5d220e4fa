"""Define the interface of an owner of objects, and the defaults of followers."""

from typing import Protocol

import msgspec

from leadford.forwarding.history import StorePosition
from leadford_server.forwarding._store_contract import ObjectEvent, ObjectEvents


class Listing(msgspec.Struct, frozen=True):
    """Hold all objects of a kind as of a position in the history of the store."""

    items: list[dict]
    position: StorePosition


class KindOwner(Protocol):
    """Own the state that is read from the objects of one kind."""

    def on_list(self, listing: Listing) -> None:
        """Apply a complete listing of the store."""

    def on_event(self, event: ObjectEvent) -> None:
        """Apply one change that follows the listing."""

    def on_confirmed(self, confirmed_at: float) -> None:
        """Record when the store confirmed to this entry that no change is missing."""


def zero_rest_s() -> float:
    """Return the rest of a follower that polls the store itself: none."""
    return 0.0


def discard_changes(kind: str, after: StorePosition, seen: ObjectEvents) -> None:
    """Discard changes: there is no entry to pass them on to."""


def ignore_relayed(confirmed_at: float) -> None:
    """Ignore the time of a confirmation that another entry passed on."""


def ignore_failed_call(called_at: float, confirmed_at: float | None) -> None:
    """Ignore a failed call: nothing is decided by outages of the store."""
