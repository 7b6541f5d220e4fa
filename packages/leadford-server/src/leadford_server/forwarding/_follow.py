"""Follow the objects of a kind in the platform's store: list once, then watch.

What is listed and watched goes to the owner of the kind. An entry alone catches up with
a store that was away within the bound of the deployment: how long calls wait is decided
in `leadford.forwarding.membership`. Relies on `_store` for the calls.
"""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Protocol

import msgspec
from returns.result import Failure, Result

from leadford.forwarding.membership import WATCH_MARGIN_S, longest_call_s, watch_s
from leadford_server.forwarding._contract import ObjectEvent, StoreFailure
from leadford_server.forwarding._state import ForwardBounds
from leadford_server.forwarding._store import ObjectsClient, readable
from leadford_server.metrics import STORE_CONFIRM_GAP_SECONDS

# Seconds that a watch waits in the store where no peers tell news, at most. With 3 (and
# 1.5 s of margin) entries were 4.1 s behind a store that compacted its history in one
# simulated run; two runs with these values kept the bound. Neither value was varied.
WATCH_S = 1.8
# The same for the list of entries, which decides nothing in a hurry: peers say who
# lives. A third of the watches then end 5.6 times less often; each is paid for.
ENTRIES_WATCH_S = 10.0
# Seconds from the begin of a watch that brought changes to the next one. Changes that
# follow each other are heard together: every entry pays for each end of a watch. The
# figures stand at ENTRIES_SHARING of `membership/_watch`; it was not varied.
CHANGES_PAUSE_S = 0.25
# Seconds between calls that fail, doubled up to the most; not measured.
RETRY_MIN_S = 0.1
RETRY_MAX_S = 0.8


class Listing(msgspec.Struct, frozen=True):
    """Hold every object of a kind at a revision."""

    items: list[dict]
    revision: int


class KindOwner(Protocol):
    """Own what is known of one kind of object."""

    def on_list(self, listing: Listing) -> None:
        """Read a whole listing of the store."""

    def on_event(self, event: ObjectEvent) -> None:
        """Read one change after the listing."""

    def on_confirmed(self, revision: int) -> None:
        """Record that the store has said that nothing is missing."""


class KindFollower:
    """Keep the owner of one kind up to date.

    Before each call it asks how many seconds it waits: `watch_s` for a watch, `call_s`
    until the first byte of a call that waits for no change.
    """

    def __init__(
        self,
        *,
        kind: str,
        client: ObjectsClient,
        random: Random,
        owner: KindOwner,
        watch_s: Callable[[], float],
        call_s: Callable[[], float],
    ) -> None:
        self.watch_s = watch_s
        self.call_s = call_s
        self.kind = kind
        self.client = client
        self.random = random
        self.owner = owner
        self.revision_: int | None = None
        self.confirmed_at_: float | None = None
        self.is_unheard_ = False

    async def run(self) -> None:
        """Follow until cancelled."""
        now = asyncio.get_running_loop().time
        wait_s = RETRY_MIN_S
        while True:
            began_at = now()
            good = await self._list() if self.revision_ is None else await self._watch()
            if good:
                wait_s = RETRY_MIN_S
                continue
            # Time in which no answer came counts as the pause: a store that is back is
            # asked as soon as the call that it never answers has been given up.
            pause_s = wait_s * self.random.uniform(0.6, 1.2)
            await asyncio.sleep(max(0.0, pause_s - (now() - began_at)))
            wait_s = min(RETRY_MAX_S, wait_s * 2.0)

    async def _list(self) -> bool:
        codec = self.client.codec
        items: list[dict] = []
        after: str | None = None
        revision: int | None = None
        while True:
            read = await self.client.call(
                codec.list_path(self.kind, after),
                margin_s=self.call_s(),
                is_fresh=self.client.is_silent_,
            )
            if isinstance(read, Failure):
                return False
            # The pause after a failure bounds the lines about what cannot be read.
            page = readable(codec.read_list(read.unwrap()), self.client.log)
            if page is None:
                return False
            items += page.items
            # A change between two pages is seen again by a watch from the first.
            revision = page.revision if revision is None else revision
            after = page.next_name
            if after is None:
                break
        self.owner.on_list(Listing(items, revision))
        self._confirm(revision)
        return True

    async def _watch(self) -> bool:
        codec = self.client.codec
        began_at = asyncio.get_running_loop().time()
        read = await self._call_watch()
        is_gone = read == Failure(StoreFailure.HISTORY_GONE)
        self.is_unheard_ = read == Failure(StoreFailure.NO_ANSWER)
        if is_gone:
            self.revision_ = None
            return True
        if isinstance(read, Failure):
            return False
        seen = readable(codec.read_events(read.unwrap()), self.client.log)
        if seen is None:
            self.revision_ = None
            return False
        for event in seen.events:
            self.owner.on_event(event)
        self._confirm(max(self.revision_, seen.revision))
        if seen.events:
            lasted_s = asyncio.get_running_loop().time() - began_at
            await asyncio.sleep(max(0.0, CHANGES_PAUSE_S - lasted_s))
        return True

    async def _call_watch(self) -> Result[bytes, StoreFailure]:
        """Ask for changes; in doubt whether the store answers, wait for none."""
        is_in_doubt = self.is_unheard_ or self.client.is_silent_
        wait_s = 0.0 if is_in_doubt else self.watch_s()
        # A store that is silent never answers a call, not even once it is back; so the
        # next one has to follow soon, also where a slow store is given more time.
        margin_s = self.call_s() if is_in_doubt else WATCH_MARGIN_S
        path = self.client.codec.watch_path(
            self.kind, self.revision_, round(wait_s * 1_000.0)
        )
        return await self.client.call(
            path, wait_s=wait_s, margin_s=margin_s, is_fresh=is_in_doubt
        )

    def _confirm(self, revision: int) -> None:
        """Record that nothing is missing up to a revision."""
        now = asyncio.get_running_loop().time()
        if self.confirmed_at_ is not None:
            gap_s = now - self.confirmed_at_
            STORE_CONFIRM_GAP_SECONDS.labels(kind=self.kind).observe(gap_s)
        self.confirmed_at_ = now
        self.revision_ = revision
        self.owner.on_confirmed(revision)


class FollowerFactory:
    """Make followers whose calls wait by the bounds of the deployment.

    The bounds and the count of live peers are asked for before each call.
    """

    def __init__(
        self,
        *,
        client: ObjectsClient,
        random: Random,
        bounds: Callable[[], ForwardBounds],
        live_peers: Callable[[], int],
    ) -> None:
        self.client = client
        self.random = random
        self.bounds = bounds
        self.live_peers = live_peers

    def shared(self, kind: str, owner: KindOwner, least_s: float) -> KindFollower:
        """Make a follower of a kind whose news peers tell as well."""
        return self.alone(kind, owner, lambda: self._shared_watch_s(least_s))

    def alone(
        self, kind: str, owner: KindOwner, watch_s: Callable[[], float]
    ) -> KindFollower:
        """Make a follower whose watches wait as told."""
        return KindFollower(
            kind=kind,
            client=self.client,
            random=self.random,
            owner=owner,
            watch_s=watch_s,
            call_s=lambda: longest_call_s(self.bounds().resync_s),
        )

    def _shared_watch_s(self, least_s: float) -> float:
        return watch_s(
            least_s,
            self.live_peers(),
            self.random.random(),
            resync_s=self.bounds().resync_s,
        )
