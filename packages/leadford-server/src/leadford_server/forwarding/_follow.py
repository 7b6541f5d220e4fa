"""Follow the objects of a kind in the platform's store: list once, then watch.

`ObjectsClient` is the one client of the store; it tells in the log when the store stops
and starts to answer. What is listed and watched goes to the owner of the kind.
"""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Protocol, TypeVar

import msgspec
from returns.result import Failure, Result, Success
from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from leadford.events import Event
from leadford.forwarding.membership import WATCH_MARGIN_S, longest_call_s
from leadford_server.forwarding._contract import ObjectCodec, ObjectEvent, StoreFailure
from leadford_server.logs import EventLog
from leadford_server.metrics import (
    STORE_BYTES_TOTAL,
    STORE_CALLS_TOTAL,
    STORE_CONFIRM_GAP_SECONDS,
)
from leadford_server.web import NO_ANSWER, Patience, Transferred, fetch_while_arriving

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
# Seconds that a call may take until its first byte, and its connection; not measured.
CALL_S = 1.5
CONNECT_S = 0.6
# Seconds without a byte after which an answer that had begun to arrive is given up, and
# the most that it may take in all. A configuration of 1,450 routes needs 0.45 s on an
# idle link of 10 Mbit/s (one simulated run); the values were not varied.
STALL_S = 1.0
ANSWER_MOST_S = 20.0
# Seconds between calls that fail, doubled up to the most; not measured.
RETRY_MIN_S = 0.1
RETRY_MAX_S = 0.8
# Characters of a fault that a log line holds.
FAULT_LOGGED = 300

T = TypeVar("T")


class ObjectsClient:
    """Call the platform's store and tell when it stops and starts to answer."""

    def __init__(
        self, *, url: str, http: AsyncHTTPClient, codec: ObjectCodec, log: EventLog
    ) -> None:
        self.url = url
        self.http = http
        self.codec = codec
        self.log = log
        self.is_available_ = True
        self.answered_at_: float | None = None

    async def call(
        self,
        path: str,
        *,
        method: str = "GET",
        body: bytes | None = None,
        wait_s: float = 0.0,
        margin_s: float = CALL_S,
        is_fresh: bool = False,
    ) -> Result[bytes, StoreFailure]:
        """Return the body of a good answer, or what the store says instead.

        With `is_fresh` a connection is opened for the call.
        """
        request = HTTPRequest(
            self.url + path,
            method=method,
            body=body,
            headers={"Content-Type": "application/json"} if body else None,
            allow_nonstandard_methods=True,
            decompress_response=False,
        )
        patience = Patience(
            connect_s=CONNECT_S,
            first_s=wait_s + margin_s,
            stall_s=STALL_S,
            whole_s=wait_s + ANSWER_MOST_S,
        )
        answer = await fetch_while_arriving(
            self.http, request, patience, is_fresh=is_fresh
        )
        kind = "watch" if wait_s else "read" if method == "GET" else "write"
        return self._sort(path, kind, answer)

    def _sort(
        self, path: str, kind: str, answer: Transferred
    ) -> Result[bytes, StoreFailure]:
        """Count an answer, and return what it says."""
        status = answer.status
        good = 200 <= status < 300
        end = "ok" if good else str(status)
        STORE_CALLS_TOTAL.labels(kind=kind, end=end).inc()
        STORE_BYTES_TOTAL.labels(end=end).inc(len(answer.body))
        if good:
            self._record(True, status)
            return Success(answer.body)
        if status == NO_ANSWER:
            # How often calls are made bounds the lines.
            self.log.report(
                Event.STORE_ANSWER_LOST,
                path=path,
                waited_ms=round(answer.took_s * 1_000.0),
                bytes=len(answer.body),
            )
        failure = self.codec.read_failure(status)
        self._record(failure is not StoreFailure.UNAVAILABLE, status)
        return Failure(failure)

    def _record(self, answered: bool, status: int) -> None:
        """Log when the store stops and starts to answer, and how long it did not."""
        now = asyncio.get_running_loop().time()
        last_at = self.answered_at_
        if answered:
            self.answered_at_ = now
        if answered == self.is_available_:
            return
        self.is_available_ = answered
        event = Event.STORE_BACK if answered else Event.STORE_UNAVAILABLE
        self.log.report(
            event,
            store=self.url,
            status=status,
            unanswered_ms=None if last_at is None else round((now - last_at) * 1_000.0),
        )


def readable(read: Result[T, str], log: EventLog) -> T | None:
    """Return what an adapter has read; log an object that cannot be read."""
    if isinstance(read, Failure):
        log.report(Event.CONFIG_UNREADABLE, error=str(read.failure())[:FAULT_LOGGED])
        return None
    return read.unwrap()


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

    `watch_s` is asked before each watch how many seconds it waits; `resync_s` is the
    time to catch up after trouble with the store.
    """

    def __init__(
        self,
        *,
        kind: str,
        client: ObjectsClient,
        random: Random,
        owner: KindOwner,
        watch_s: Callable[[], float],
        resync_s: float,
    ) -> None:
        self.watch_s = watch_s
        self.resync_s = resync_s
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
                margin_s=longest_call_s(self.resync_s),
                is_fresh=not self.client.is_available_,
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
        self.is_unheard_ = isinstance(read, Failure) and not is_gone
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
        is_in_doubt = self.is_unheard_ or not self.client.is_available_
        wait_s = 0.0 if is_in_doubt else self.watch_s()
        # A store that is silent never answers a call, not even once it is back; so the
        # next one has to follow soon, also where a slow store is given more time.
        margin_s = longest_call_s(self.resync_s) if is_in_doubt else WATCH_MARGIN_S
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
