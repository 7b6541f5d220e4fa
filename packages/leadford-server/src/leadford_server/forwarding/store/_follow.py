"""Follow the objects of a kind in the platform's store: list once, then watch.

Passes listings and changes to the owner of the kind. Where other entries follow the
store and pass changes on (`_relays`), this one rests, that is, makes no calls, for as
long as their latest confirmation is recent enough. After an outage of the store, an
entry on its own catches up within the bound of the deployment. How long calls wait and
how long a confirmation is valid is decided in `leadford.forwarding.membership`;
`_factory` applies these rules. `_client` makes the calls.
"""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from random import Random

from returns.result import Failure, Result

from leadford.events import Event
from leadford.forwarding.history import START_POSITION, StorePosition
from leadford.forwarding.membership import WATCH_MARGIN_S
from leadford_server.forwarding._store_contract import (
    ObjectEvents,
    StoreAnswer,
    StoreFailure,
)
from leadford_server.forwarding.store._base import (
    KindOwner,
    Listing,
    discard_changes,
    ignore_failed_call,
    ignore_relayed,
    zero_rest_s,
)
from leadford_server.forwarding.store._client import (
    ObjectsClient,
    decoded_changes_or_none,
)
from leadford_server.forwarding.store._pages import PageReader
from leadford_server.metrics import STORE_CHANGES_TOTAL, STORE_CONFIRM_GAP_SECONDS

# Longest wait of a watch in the store where no peers pass changes on.
WATCH_MAX_S = 1.8
# The same for the list of entries, on which nothing urgent depends: heartbeats between
# peers show who is alive. A third of the watches then end 5.6 times less often, and
# each end of a watch has a cost.
ENTRIES_WATCH_S = 10.0
# Time within which entries that do not follow the store know of a change in the list of
# entries: the length of a watch and a margin.
ENTRIES_CHANGE_BOUND_S = 12.0
# Minimum time from the start of a watch that returned changes to the next watch. This
# batches changes that follow each other: each end of a watch costs every entry.
CHANGES_PAUSE_S = 0.25
# The same for the list of entries: all entries of a fleet that starts announce
# themselves within a second, which would end the watch of each one several times.
ENTRIES_PAUSE_S = 1.0
# Pause between failed calls, doubled after each one up to the maximum.
RETRY_MIN_S = 0.1
RETRY_MAX_S = 0.8
# Maximum pause of an entry that rests while others follow, as a fraction of its rest.
# With the jitter factor of up to 1.2, its next call still ends within the bound that
# the rest leaves.
RESTING_RETRY_FRACTION = 0.5
# A rest shorter than this is skipped: rounding may leave no time to wait for.
MIN_REST_S = 0.001
# Resting entries spread their new listings over this time once the store has begun
# another history.
RELIST_SPREAD_S = 0.5


class KindFollower:
    """Keep the owner of one kind up to date.

    The waits are read anew before each call: `watch_s` for a watch, `call_s` until the
    first byte of a call that does not wait for a change. `max_confirmation_age_s`
    returns for how many seconds after a confirmation this entry makes no calls, 0 where
    it follows the store itself. `tell` receives the changes that the store sent to this
    entry; `on_relayed` receives the time at which the store confirmed to another entry
    that this one is current; `on_failed_call` receives the time at which a failed call
    was made, and that of the latest confirmation, None before the first one. With
    `confirms_by_version` other entries identify what they know by a version of the
    object, which stays valid over all histories of the store.
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
        max_confirmation_age_s: Callable[[], float] = zero_rest_s,
        tell: Callable[[str, StorePosition, ObjectEvents], None] = discard_changes,
        on_relayed: Callable[[float], None] = ignore_relayed,
        on_failed_call: Callable[[float, float | None], None] = ignore_failed_call,
        changes_pause_s: float = CHANGES_PAUSE_S,
        confirms_by_version: bool = False,
    ) -> None:
        self.changes_pause_s = changes_pause_s
        self.confirms_by_version = confirms_by_version
        self.watch_s = watch_s
        self.call_s = call_s
        self.max_confirmation_age_s = max_confirmation_age_s
        self.tell = tell
        self.on_relayed = on_relayed
        self.on_failed_call = on_failed_call
        self.kind = kind
        self.client = client
        self.page_reader = PageReader(kind=kind, client=client, call_s=call_s)
        self.random = random
        self.owner = owner
        self.position_: StorePosition | None = None
        # The store's revisions count changes of all kinds; this is the last position at
        # which an object of this kind changed.
        self.changed_position_ = START_POSITION
        self.confirmed_at_: float | None = None
        self.is_unanswered_ = False
        self.needs_fresh_listing_ = False
        self.may_be_old_ = False
        # Start of the open call, unless it waits for a change.
        self.called_at_: float | None = None
        self.poll_requested_ = asyncio.Event()
        client.epochs.listeners_.append(self._on_epoch)

    async def run(self) -> None:
        """Follow until cancelled."""
        now = asyncio.get_running_loop().time
        wait_s = RETRY_MIN_S
        while True:
            await self._rest()
            began_at = now()
            succeeded = await self._list() if self._must_list() else await self._watch()
            self.called_at_ = None
            if succeeded:
                wait_s = RETRY_MIN_S
                continue
            self.on_failed_call(began_at, self.confirmed_at_)
            # Time spent on the failed call counts towards the pause: a store that is
            # back is called as soon as the call that it never answers has timed out.
            pause_s = wait_s * self.random.uniform(0.6, 1.2)
            await asyncio.sleep(max(0.0, pause_s - (now() - began_at)))
            wait_s = min(self._retry_max_s(), wait_s * 2.0)

    def _must_list(self) -> bool:
        """Return whether a new listing is needed before changes can be followed."""
        position = self.position_
        return position is None or position.epoch < self.client.epochs.current_

    def _on_epoch(self) -> None:
        """Schedule a new listing, spread over time among the entries that rest."""
        if self.confirms_by_version or self.max_confirmation_age_s() <= 0.0:
            return
        pause_s = self.random.uniform(0.0, RELIST_SPREAD_S)
        asyncio.get_running_loop().call_later(pause_s, self._list_anew)

    def _list_anew(self) -> None:
        """End a rest, unless the kind has been listed meanwhile."""
        if self._must_list():
            self.poll_requested_.set()

    def _retry_max_s(self) -> float:
        """Return the maximum pause between failed calls, in seconds.

        Where others follow the store, they report at once that it is back. With a
        shorter pause, all 68 entries call it again and again in an outage of 8 s.
        """
        if self.confirmed_at_ is None:
            return RETRY_MAX_S
        return max(RETRY_MAX_S, RESTING_RETRY_FRACTION * self.max_confirmation_age_s())

    async def _rest(self) -> None:
        """Wait for as long as the last confirmation is recent enough."""
        now = asyncio.get_running_loop().time
        while self.position_ is not None and self.confirmed_at_ is not None:
            left_s = self.confirmed_at_ + self.max_confirmation_age_s() - now()
            if left_s < MIN_REST_S or self.poll_requested_.is_set():
                break
            with suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await self.poll_requested_.wait()
        self.poll_requested_.clear()

    def mark_unconfirmed(self) -> None:
        """Call the store at once, on a new connection: the known state may be old.

        A call in progress goes on; it ends by the monotonic clock, within the time of a
        watch.
        """
        self.is_unanswered_ = True
        self.poll_requested_.set()

    def poll_now(self) -> None:
        """Call the store at once: another entry knows of changes that were missed.

        Does nothing where a new listing is needed: all entries need one then, and each
        makes it at its own random time.
        """
        if not self._must_list():
            self.poll_requested_.set()

    def learn(
        self, after_revision: int, seen: ObjectEvents, confirmed_at: float
    ) -> bool:
        """Apply changes that another entry passes on; return whether they fit.

        They do not fit if an earlier change is missing here.
        """
        if self.position_ is None:
            return False
        if StorePosition(seen.epoch, after_revision) > self.position_:
            self.poll_now()
            return False
        if seen.position > self.position_:
            self._report_open_call()
            for event in seen.events:
                self.owner.on_event(event)
            self.changed_position_ = seen.position
            self._record_confirmation(seen.position, confirmed_at)
            self.on_relayed(confirmed_at)
        return True

    def learn_confirmed(self, position: StorePosition, confirmed_at: float) -> None:
        """Record a confirmation from another entry that no change is missing here."""
        if self.position_ is None or position.epoch < self.position_.epoch:
            return
        if self.confirmed_at_ is not None and confirmed_at <= self.confirmed_at_:
            return
        self._record_confirmation(max(self.position_, position), confirmed_at)
        self.on_relayed(confirmed_at)

    def _report_open_call(self) -> None:
        """Report an open call that waits for no change as one that failed.

        A silent store never answers it, and others may hear from the store meanwhile.
        """
        if self.called_at_ is not None and self.confirmed_at_ is not None:
            self.on_failed_call(self.called_at_, self.confirmed_at_)

    async def _list(self) -> bool:
        # The first listing may be seconds old: such a listing costs a tenth, and the
        # call for changes that follows at once returns what is missing.
        may_be_stale = not self.needs_fresh_listing_
        self.called_at_ = asyncio.get_running_loop().time()
        read = await self.page_reader.read(may_be_stale=may_be_stale)
        if isinstance(read, Failure):
            if read.failure() is StoreFailure.PAST_EPOCH:
                # A listing that may be old can predate the restoration for seconds.
                self.needs_fresh_listing_ = True
            return False
        pages = read.unwrap()
        position = pages.position
        self.needs_fresh_listing_ = True
        self.client.log.report(
            Event.STORE_LISTED,
            kind=self.kind,
            epoch=position.epoch,
            before=self.changed_position_.revision,
            revision=position.revision,
            objects=len(pages.items),
        )
        self.owner.on_list(Listing(pages.items, position))
        self.may_be_old_ = may_be_stale
        self.position_ = position
        self.changed_position_ = position
        if not may_be_stale:
            self._confirm(position, pages.made_at)
        return True

    async def _watch(self) -> bool:
        began_at = asyncio.get_running_loop().time()
        asked_from = self.position_
        read = await self._call_watch()
        is_history_gone = read == Failure(StoreFailure.HISTORY_GONE)
        self.is_unanswered_ = read == Failure(StoreFailure.NO_ANSWER)
        if is_history_gone:
            self.position_ = None
            return True
        if isinstance(read, Failure):
            return False
        answer = read.unwrap()
        if answer.epoch != asked_from.epoch:
            # Changes in another history do not follow from the known state.
            return True
        seen = decoded_changes_or_none(answer, self.client.codec, self.client.log)
        if seen is None:
            self.position_ = None
            return False
        is_news = seen.position > self.position_ or self.position_ == asked_from
        # Other entries may have passed on newer changes in the meantime.
        end = "taken" if is_news else "known"
        STORE_CHANGES_TOTAL.labels(kind=self.kind, end=end).inc(len(seen.events))
        if is_news:
            for event in seen.events:
                self.owner.on_event(event)
        now = asyncio.get_running_loop().time()
        self._confirm(max(self.position_, seen.position), now - answer.late_s)
        if seen.events:
            self.changed_position_ = max(self.changed_position_, seen.position)
            self.tell(self.kind, asked_from, seen)
            lasted_s = asyncio.get_running_loop().time() - began_at
            await asyncio.sleep(max(0.0, self.changes_pause_s - lasted_s))
        return True

    async def _call_watch(self) -> Result[StoreAnswer, StoreFailure]:
        """Ask for changes, and wait for one unless the call has to return at once.

        It does not wait after a call without a response, after a listing that may be
        old, and where others follow the store.
        """
        reconnects = self.is_unanswered_ or self.client.is_silent_
        returns_at_once = (
            reconnects or self.may_be_old_ or self.max_confirmation_age_s() > 0.0
        )
        if returns_at_once:
            self.called_at_ = asyncio.get_running_loop().time()
        wait_s = 0.0 if returns_at_once else self.watch_s()
        # A silent store never answers a pending call, not even once it is back; so the
        # next call has to follow soon, also where a slow store is given more time.
        first_byte_timeout_s = WATCH_MARGIN_S if wait_s > 0.0 else self.call_s()
        path = self.client.codec.watch_path(
            self.kind, self.position_.revision, round(wait_s * 1_000.0)
        )
        return await self.client.call(
            path,
            wait_s=wait_s,
            first_byte_timeout_s=first_byte_timeout_s,
            opens_connection=reconnects,
            accepts_earlier=wait_s == 0.0,
        )

    def _confirm(self, position: StorePosition, confirmed_at: float) -> None:
        """Record when the store confirmed to this entry that no change is missing."""
        self._record_confirmation(position, confirmed_at)
        self.owner.on_confirmed(confirmed_at)

    def _record_confirmation(
        self, position: StorePosition, confirmed_at: float
    ) -> None:
        """Record the time at which no change was missing up to a position."""
        if self.confirmed_at_ is not None:
            gap_s = max(0.0, confirmed_at - self.confirmed_at_)
            STORE_CONFIRM_GAP_SECONDS.labels(kind=self.kind).observe(gap_s)
        self.confirmed_at_ = max(confirmed_at, self.confirmed_at_ or confirmed_at)
        self.may_be_old_ = False
        self.position_ = position
