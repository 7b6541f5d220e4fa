"""Follow the objects of a kind in the platform's store: list once, then watch.

What is listed and watched goes to the owner of the kind. Where other entries follow the
store and say what they hear (`_relays`), this one rests for as long as their newest
confirmation is young enough. An entry alone catches up with a store that was away
within the bound of the deployment: how long calls wait, and confirmations last, is
decided in `leadford.forwarding.membership`, and put to it by `_factory`. Relies on
`_client` for the calls.
"""

import asyncio
from collections.abc import Callable, Sequence
from contextlib import suppress
from random import Random

from returns.result import Failure, Result

from leadford.events import Event
from leadford.forwarding.history import START, StorePosition
from leadford.forwarding.membership import WATCH_MARGIN_S
from leadford_server.forwarding._store_contract import (
    ObjectEvents,
    StoreAnswer,
    StoreFailure,
)
from leadford_server.forwarding.store._base import (
    KindOwner,
    Listing,
    ignore_relayed,
    never_rests,
    tell_nobody,
)
from leadford_server.forwarding.store._client import (
    ObjectsClient,
    readable,
    report_unreadable,
)
from leadford_server.metrics import STORE_CHANGES_TOTAL, STORE_CONFIRM_GAP_SECONDS

# Seconds that a watch waits in the store where no peers tell news, at most.
WATCH_S = 1.8
# The same for the list of entries, which decides nothing in a hurry: peers say who
# lives. A third of the watches then end 5.6 times less often; each is paid for.
ENTRIES_WATCH_S = 10.0
# Seconds within which a change of that list is known to entries that hear of it from
# others; as long as a watch and a little more.
ENTRIES_KNOWN_S = 12.0
# Seconds from the begin of a watch that brought changes to the next one. Changes that
# follow each other are heard together: every entry pays for each end of a watch.
CHANGES_PAUSE_S = 0.25
# The same for the list of entries: those of a fleet that starts announce themselves
# within a second, and each one's watch would end several times.
ENTRIES_PAUSE_S = 1.0
# Seconds between calls that fail, doubled up to the most.
RETRY_MIN_S = 0.1
RETRY_MAX_S = 0.8
# The same as a part of its rest for an entry that rests while others follow: its next
# call, spread by 1.2, is over within the bound that the rest leaves.
RESTING_RETRY_PART = 0.5
# Seconds of a rest that are not waited for: rounding may leave no time to pass.
LEAST_REST_S = 0.001
# Seconds over which entries that rest list anew once the store began another history.
RELIST_SPREAD_S = 0.5


class KindFollower:
    """Keep the owner of one kind up to date.

    Before each call it asks how many seconds it waits: `watch_s` for a watch, `call_s`
    until the first byte of a call that waits for no change. `rest_s` says for how many
    seconds a confirmation lets this entry ask nothing, 0 where it follows by itself;
    `tell` is given the changes that the store told this entry, `on_relayed` is told
    when the store confirmed to another one that nothing is missing here. With
    `is_told_by_version` others tell by a version of the object what they know, which
    holds over all histories of the store.
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
        rest_s: Callable[[], float] = never_rests,
        tell: Callable[[str, StorePosition, ObjectEvents], None] = tell_nobody,
        on_relayed: Callable[[float], None] = ignore_relayed,
        changes_pause_s: float = CHANGES_PAUSE_S,
        is_told_by_version: bool = False,
    ) -> None:
        self.changes_pause_s = changes_pause_s
        self.is_told_by_version = is_told_by_version
        self.watch_s = watch_s
        self.call_s = call_s
        self.rest_s = rest_s
        self.tell = tell
        self.on_relayed = on_relayed
        self.kind = kind
        self.client = client
        self.random = random
        self.owner = owner
        self.position_: StorePosition | None = None
        # The store counts changes of all kinds together; this is the last of this kind.
        self.changed_position_ = START
        self.confirmed_at_: float | None = None
        self.is_unheard_ = False
        self.lists_fresh_ = False
        self.may_be_old_ = False
        self.behind_ = asyncio.Event()
        client.epochs.listeners_.append(self._on_epoch)

    async def run(self) -> None:
        """Follow until cancelled."""
        now = asyncio.get_running_loop().time
        wait_s = RETRY_MIN_S
        while True:
            await self._rest()
            began_at = now()
            good = await self._list() if self._must_list() else await self._watch()
            if good:
                wait_s = RETRY_MIN_S
                continue
            # Time in which no answer came counts as the pause: a store that is back is
            # asked as soon as the call that it never answers has been given up.
            pause_s = wait_s * self.random.uniform(0.6, 1.2)
            await asyncio.sleep(max(0.0, pause_s - (now() - began_at)))
            wait_s = min(self._retry_max_s(), wait_s * 2.0)

    def _must_list(self) -> bool:
        """Tell whether what is known belongs to no history that can be followed."""
        position = self.position_
        return position is None or position.epoch < self.client.epochs.current_

    def _on_epoch(self) -> None:
        """List anew; entries that rest do so one after the other."""
        if self.is_told_by_version or self.rest_s() <= 0.0:
            return
        pause_s = self.random.uniform(0.0, RELIST_SPREAD_S)
        asyncio.get_running_loop().call_later(pause_s, self._list_anew)

    def _list_anew(self) -> None:
        """End a rest, unless the store has been asked meanwhile."""
        if self._must_list():
            self.behind_.set()

    def _retry_max_s(self) -> float:
        """Return how many seconds lie at most between calls that fail.

        Where others follow the store, they say at once that it is back; in an outage of
        8 s all 68 entries would call it again and again.
        """
        if self.confirmed_at_ is None:
            return RETRY_MAX_S
        return max(RETRY_MAX_S, RESTING_RETRY_PART * self.rest_s())

    async def _rest(self) -> None:
        """Ask nothing while what was confirmed last is young enough."""
        now = asyncio.get_running_loop().time
        while self.position_ is not None and self.confirmed_at_ is not None:
            left_s = self.confirmed_at_ + self.rest_s() - now()
            if left_s < LEAST_REST_S or self.behind_.is_set():
                break
            with suppress(TimeoutError):
                await asyncio.wait_for(self.behind_.wait(), left_s)
        self.behind_.clear()

    def doubt(self) -> None:
        """Ask at once, on a new connection: what is known may be old.

        A call that waits already ends by the steady clock, within the time of a watch.
        """
        self.is_unheard_ = True
        self.behind_.set()

    def hurry(self) -> None:
        """Ask the store at once: another entry knows of changes that were missed.

        Where all entries have to list anew, each does so at a time of its own.
        """
        if not self._must_list():
            self.behind_.set()

    def learn(
        self, after_revision: int, seen: ObjectEvents, confirmed_at: float
    ) -> bool:
        """Take changes that another entry passes on; return whether they fit.

        They do not fit where one before them is missing here.
        """
        if self.position_ is None:
            return False
        if StorePosition(seen.epoch, after_revision) > self.position_:
            self.hurry()
            return False
        if seen.position > self.position_:
            for event in seen.events:
                self.owner.on_event(event)
            self.changed_position_ = seen.position
            self._record(seen.position, confirmed_at)
            self.on_relayed(confirmed_at)
        return True

    def learn_confirmed(self, position: StorePosition, confirmed_at: float) -> None:
        """Believe another entry that nothing is missing here up to a position."""
        if self.position_ is None or position.epoch < self.position_.epoch:
            return
        if self.confirmed_at_ is not None and confirmed_at <= self.confirmed_at_:
            return
        self._record(max(self.position_, position), confirmed_at)
        self.on_relayed(confirmed_at)

    async def _list(self) -> bool:
        # The first listing may be seconds old: it costs a tenth, and the call for
        # changes that follows at once brings what is missing.
        may_be_old = not self.lists_fresh_
        listing = await self._read_pages(may_be_old=may_be_old)
        if listing is None:
            return False
        position = listing.position
        self.lists_fresh_ = True
        self.client.log.report(
            Event.STORE_LISTED,
            kind=self.kind,
            epoch=position.epoch,
            before=self.changed_position_.revision,
            revision=position.revision,
            objects=len(listing.items),
        )
        self.owner.on_list(listing)
        self.may_be_old_ = may_be_old
        self.position_ = position
        self.changed_position_ = position
        if not may_be_old:
            self._confirm(position)
        return True

    async def _read_pages(self, *, may_be_old: bool) -> Listing | None:
        """Return every object of the kind; None where a page does not come."""
        codec = self.client.codec
        items: list[dict] = []
        after: str | None = None
        position: StorePosition | None = None
        while True:
            read = await self.client.call(
                codec.list_path(self.kind, after, may_be_old=may_be_old),
                margin_s=self.call_s(),
                is_fresh=self.client.is_silent_,
            )
            if isinstance(read, Failure):
                if read.failure() is StoreFailure.PAST_EPOCH:
                    # An old listing may stay older than the restoration for seconds.
                    self.lists_fresh_ = True
                return None
            answer = read.unwrap()
            # The pause after a failure bounds the lines about what cannot be read.
            page = readable(codec.read_list(answer.body), self.client.log)
            if page is None:
                return None
            self._report(page.faults)
            items += page.items
            made_at = StorePosition(answer.epoch, page.revision)
            if position is not None and made_at.epoch != position.epoch:
                # The pages before this one belong to another history.
                return None
            # A change between two pages is seen again by a watch from the older one.
            position = min(made_at, position or made_at)
            after = page.next_name
            if after is None:
                return Listing(items, position)

    async def _watch(self) -> bool:
        codec = self.client.codec
        began_at = asyncio.get_running_loop().time()
        asked_from = self.position_
        read = await self._call_watch()
        is_gone = read == Failure(StoreFailure.HISTORY_GONE)
        self.is_unheard_ = read == Failure(StoreFailure.NO_ANSWER)
        if is_gone:
            self.position_ = None
            return True
        if isinstance(read, Failure):
            return False
        answer = read.unwrap()
        if answer.epoch != asked_from.epoch:
            # What changed in another history does not follow on what is known.
            return True
        read_events = readable(codec.read_events(answer.body), self.client.log)
        if read_events is None:
            self.position_ = None
            return False
        seen = read_events.in_epoch(answer.epoch)
        self._report(seen.faults)
        is_news = seen.position > self.position_ or self.position_ == asked_from
        # Another entry may have told this one more than the store did meanwhile.
        end = "taken" if is_news else "known"
        STORE_CHANGES_TOTAL.labels(kind=self.kind, end=end).inc(len(seen.events))
        if is_news:
            for event in seen.events:
                self.owner.on_event(event)
        self._confirm(max(self.position_, seen.position))
        if seen.events:
            self.changed_position_ = max(self.changed_position_, seen.position)
            self.tell(self.kind, asked_from, seen)
            lasted_s = asyncio.get_running_loop().time() - began_at
            await asyncio.sleep(max(0.0, self.changes_pause_s - lasted_s))
        return True

    async def _call_watch(self) -> Result[StoreAnswer, StoreFailure]:
        """Ask for changes; wait for none in doubt, or where others follow the store.

        After a listing that may be old none is waited for either.
        """
        is_in_doubt = self.is_unheard_ or self.client.is_silent_
        is_asked = is_in_doubt or self.may_be_old_ or self.rest_s() > 0.0
        wait_s = 0.0 if is_asked else self.watch_s()
        # A store that is silent never answers a call, not even once it is back; so the
        # next one has to follow soon, also where a slow store is given more time.
        margin_s = WATCH_MARGIN_S if wait_s > 0.0 else self.call_s()
        path = self.client.codec.watch_path(
            self.kind, self.position_.revision, round(wait_s * 1_000.0)
        )
        return await self.client.call(
            path, wait_s=wait_s, margin_s=margin_s, is_fresh=is_in_doubt
        )

    def _report(self, faults: Sequence[str]) -> None:
        """Log what was passed over because nothing of it could be read."""
        for fault in faults:
            report_unreadable(fault, self.client.log)

    def _confirm(self, position: StorePosition) -> None:
        """Record that the store said just now that nothing is missing."""
        self._record(position, asyncio.get_running_loop().time())
        self.owner.on_confirmed()

    def _record(self, position: StorePosition, confirmed_at: float) -> None:
        """Record when it was known that nothing is missing up to a position."""
        if self.confirmed_at_ is not None:
            gap_s = max(0.0, confirmed_at - self.confirmed_at_)
            STORE_CONFIRM_GAP_SECONDS.labels(kind=self.kind).observe(gap_s)
        self.confirmed_at_ = max(confirmed_at, self.confirmed_at_ or confirmed_at)
        self.may_be_old_ = False
        self.position_ = position
