"""Say what the owner of a kind of object is told, and what followers do by default."""

from typing import Protocol

import msgspec

from leadford.forwarding.history import StorePosition
from leadford_server.forwarding._store_contract import ObjectEvent, ObjectEvents


class Listing(msgspec.Struct, frozen=True):
    """Hold every object of a kind at a position in the history of the store."""

    items: list[dict]
    position: StorePosition


class KindOwner(Protocol):
    """Own what is known of one kind of object."""

    def on_list(self, listing: Listing) -> None:
        """Read a whole listing of the store."""

    def on_event(self, event: ObjectEvent) -> None:
        """Read one change after the listing."""

    def on_confirmed(self) -> None:
        """Record that the store has said that nothing is missing."""


def never_rests() -> float:
    """Return for how many seconds a follower asks nothing that follows by itself."""
    return 0.0


def tell_nobody(kind: str, after: StorePosition, seen: ObjectEvents) -> None:
    """Tell nobody of changes."""


def ignore_relayed(confirmed_at: float) -> None:
    """Ignore when another entry was told that nothing is missing."""
