"""Make the followers of the store, whose calls wait by the bounds of the deployment.

Puts to the rules of `leadford.forwarding.membership` how long each call waits and how
long a confirmation lets an entry rest, and joins followers with the relays that pass
their news on.
"""

from collections.abc import Callable
from random import Random
from typing import Protocol

from leadford.forwarding.history import StorePosition
from leadford.forwarding.membership import (
    follower_watch_s,
    longest_call_s,
    rest_s,
    watch_s,
)
from leadford_server.forwarding._state import ForwardBounds
from leadford_server.forwarding._store_contract import ObjectEvents
from leadford_server.forwarding.store._base import KindOwner, ignore_relayed
from leadford_server.forwarding.store._client import ObjectsClient
from leadford_server.forwarding.store._follow import CHANGES_PAUSE_S, KindFollower


class Relays(Protocol):
    """Pass on what the store says, and know who follows it."""

    follows: bool
    others_rest: bool

    def add(self, follower: KindFollower) -> None:
        """Pass on the news of a follower, and give it those of others."""

    def tell(self, kind: str, after: StorePosition, seen: ObjectEvents) -> None:
        """Pass changes on that the store told this entry."""


class NoRelays:
    """Pass nothing on: each entry follows the store by itself."""

    follows = True
    others_rest = False

    def add(self, follower: KindFollower) -> None:
        """Leave a follower alone."""

    def tell(self, kind: str, after: StorePosition, seen: ObjectEvents) -> None:
        """Tell nobody of changes."""


NO_RELAYS = NoRelays()


class FollowerFactory:
    """Make followers whose calls wait by the bounds of the deployment.

    The bounds, the count of live peers and whether this entry follows the store for
    others are asked for before each call. `relays` passes on what the store says.
    """

    def __init__(
        self,
        *,
        client: ObjectsClient,
        random: Random,
        bounds: Callable[[], ForwardBounds],
        live_peers: Callable[[], int],
        relays: Relays = NO_RELAYS,
    ) -> None:
        self.client = client
        self.random = random
        self.bounds = bounds
        self.live_peers = live_peers
        self.relays = relays

    def relayed(
        self,
        kind: str,
        owner: KindOwner,
        *,
        bound_s: Callable[[], float],
        watch_s: Callable[[], float],
        on_relayed: Callable[[float], None] = ignore_relayed,
        changes_pause_s: float = CHANGES_PAUSE_S,
        is_told_by_version: bool = False,
    ) -> KindFollower:
        """Make a follower of a kind that a few entries follow for the others.

        `bound_s` is the time within which a change has to be known; `watch_s` is how
        long a watch waits where each entry follows by itself.
        """
        follower = KindFollower(
            kind=kind,
            client=self.client,
            random=self.random,
            owner=owner,
            watch_s=lambda: self._relayed_watch_s(bound_s(), watch_s),
            call_s=lambda: longest_call_s(self.bounds().resync_s),
            rest_s=lambda: 0.0 if self.relays.follows else rest_s(bound_s()),
            tell=self.relays.tell,
            on_relayed=on_relayed,
            changes_pause_s=changes_pause_s,
            is_told_by_version=is_told_by_version,
        )
        self.relays.add(follower)
        return follower

    def shared_watch_s(self, least_s: float) -> float:
        """Return how long a watch waits where all entries follow and tell news."""
        return watch_s(
            least_s,
            self.live_peers(),
            self.random.random(),
            resync_s=self.bounds().resync_s,
        )

    def _relayed_watch_s(
        self, bound_s: float, alone_watch_s: Callable[[], float]
    ) -> float:
        if not self.relays.others_rest:
            return alone_watch_s()
        resync_s = self.bounds().resync_s
        return follower_watch_s(bound_s, resync_s, self.random.random())
