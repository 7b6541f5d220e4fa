"""Create followers of the store, with timeouts from the bounds of the deployment.

Applies the rules of `leadford.forwarding.membership` for how long each call waits and
for how long an entry need not call the store after a confirmation, and connects
followers to the relays that pass changes on between entries.
"""

from collections.abc import Callable
from random import Random
from typing import Protocol

from leadford.forwarding.history import StorePosition
from leadford.forwarding.membership import (
    follower_watch_s,
    max_call_s,
    max_confirmation_age_s,
    watch_s,
)
from leadford_server.forwarding._state import ForwardBounds
from leadford_server.forwarding._store_contract import ObjectEvents
from leadford_server.forwarding.store._base import (
    KindOwner,
    ignore_failed_call,
    ignore_relayed,
)
from leadford_server.forwarding.store._client import ObjectsClient
from leadford_server.forwarding.store._follow import CHANGES_PAUSE_S, KindFollower


class Relays(Protocol):
    """Pass changes in the store on, and know which entries follow it."""

    is_follower: bool
    has_passive_entries: bool

    def add(self, follower: KindFollower) -> None:
        """Pass a follower's changes on, and give it those from other entries."""

    def tell(self, kind: str, after: StorePosition, seen: ObjectEvents) -> None:
        """Pass changes on that this entry received from the store."""


class NoRelays:
    """Pass nothing on, where each entry follows the store itself."""

    is_follower = True
    has_passive_entries = False

    def add(self, follower: KindFollower) -> None:
        """Do nothing: a follower needs no relay."""

    def tell(self, kind: str, after: StorePosition, seen: ObjectEvents) -> None:
        """Do nothing: changes are not passed on."""


NO_RELAYS = NoRelays()


class FollowerFactory:
    """Create followers whose timeouts come from the bounds of the deployment.

    The bounds, the number of live peers and whether this entry follows the store for
    others are read anew before each call. `relays` passes changes on to other entries.
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

    def make_relayed_follower(
        self,
        kind: str,
        owner: KindOwner,
        *,
        bound_s: Callable[[], float],
        watch_s: Callable[[], float],
        on_relayed: Callable[[float], None] = ignore_relayed,
        on_failed_call: Callable[[float, float | None], None] = ignore_failed_call,
        changes_pause_s: float = CHANGES_PAUSE_S,
        confirms_by_version: bool = False,
    ) -> KindFollower:
        """Create a follower of a kind that a few entries follow for all others.

        `bound_s` is the time within which an entry has to know of a change; `watch_s`
        is how long a watch waits where each entry follows the store itself.
        """
        follower = KindFollower(
            kind=kind,
            client=self.client,
            random=self.random,
            owner=owner,
            watch_s=lambda: self._relayed_watch_s(bound_s(), watch_s),
            call_s=lambda: max_call_s(self.bounds().resync_s),
            max_confirmation_age_s=lambda: (
                0.0 if self.relays.is_follower else max_confirmation_age_s(bound_s())
            ),
            tell=self.relays.tell,
            on_relayed=on_relayed,
            on_failed_call=on_failed_call,
            changes_pause_s=changes_pause_s,
            confirms_by_version=confirms_by_version,
        )
        self.relays.add(follower)
        return follower

    def shared_watch_timeout_s(self, min_s: float) -> float:
        """Return how long a watch waits where all entries follow and share changes."""
        return watch_s(
            min_s,
            self.live_peers(),
            self.random.random(),
            resync_s=self.bounds().resync_s,
        )

    def _relayed_watch_s(
        self, bound_s: float, own_watch_s: Callable[[], float]
    ) -> float:
        if not self.relays.has_passive_entries:
            return own_watch_s()
        resync_s = self.bounds().resync_s
        return follower_watch_s(bound_s, resync_s, self.random.random())
