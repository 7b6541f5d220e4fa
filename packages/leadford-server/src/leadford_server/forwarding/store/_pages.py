"""Read the pages of a listing in the platform's store.

Owns what was read of a listing that is not complete: the next call goes on with the
page that got no answer, since a listing that begins anew each time may never end.
"""

import asyncio
import math
from collections.abc import Callable

from returns.result import Failure, Result, Success

from leadford.forwarding.history import StoreEpoch, StorePosition
from leadford_server.forwarding._store_contract import (
    ObjectList,
    StoreAnswer,
    StoreFailure,
)
from leadford_server.forwarding.store._client import (
    ObjectsClient,
    decoded_or_none,
    report_unreadable,
)


class PagedListing:
    """Collect the pages of a listing.

    `position` is that of the oldest page, as of `made_at`: a watch from there also
    returns the changes made between pages.

    Units: made_at in seconds of the monotonic clock.
    """

    def __init__(self) -> None:
        self.items: list[dict] = []
        self.next_name: str | None = None
        self.position: StorePosition | None = None
        self.made_at = math.inf

    @property
    def is_complete(self) -> bool:
        """Return whether no page is missing."""
        return self.position is not None and self.next_name is None

    def add(self, page: ObjectList, epoch: StoreEpoch, *, made_at: float) -> bool:
        """Add the next page; return False if it is of another epoch of the store."""
        position = StorePosition(epoch, page.revision)
        if self.position is not None and position.epoch != self.position.epoch:
            return False
        self.items += page.items
        self.position = min(position, self.position or position)
        self.made_at = min(made_at, self.made_at)
        self.next_name = page.next_name
        return True


class PageReader:
    """Read all pages of one kind.

    `call_s` returns the time to the first byte of a page.

    Units: call_s in seconds.
    """

    def __init__(
        self, *, kind: str, client: ObjectsClient, call_s: Callable[[], float]
    ) -> None:
        self.kind = kind
        self.client = client
        self.call_s = call_s
        self.pages_: PagedListing | None = None

    async def read(self, *, may_be_stale: bool) -> Result[PagedListing, StoreFailure]:
        """Return all pages, or why one cannot be had now.

        Errors: UNAVAILABLE also where a page cannot be read, or belongs to another
        epoch of the store than those before it.
        """
        pages = self.pages_ or PagedListing()
        self.pages_ = None
        while not pages.is_complete:
            read = await self.client.call(
                self.client.codec.list_path(
                    self.kind, pages.next_name, may_be_stale=may_be_stale
                ),
                first_byte_timeout_s=self.call_s(),
                opens_connection=self.client.is_silent_,
                accepts_earlier=True,
            )
            if isinstance(read, Failure):
                if read.failure() is not StoreFailure.PAST_EPOCH:
                    self.pages_ = pages
                return read
            if not self._add(pages, read.unwrap()):
                return Failure(StoreFailure.UNAVAILABLE)
        return Success(pages)

    def _add(self, pages: PagedListing, answer: StoreAnswer) -> bool:
        """Add a page to those before it; return whether that can be done."""
        read = self.client.codec.read_list(answer.body)
        # The pause after a failure bounds the log lines about unreadable pages.
        page = decoded_or_none(read, self.client.log)
        if page is None:
            return False
        for fault in page.faults:
            report_unreadable(fault, self.client.log)
        now = asyncio.get_running_loop().time()
        return pages.add(page, answer.epoch, made_at=now - answer.late_s)
