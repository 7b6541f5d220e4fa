"""Write the claims of one shard, many in one write, one write in flight.

Held by the `ClaimService` of an entry, one a shard that it writes. What a claim means
and where in the ring it stands is decided by `ClaimLog` (`leadford.pipelines.claims`);
here writes are made, paced, and settled by reading where their answer was lost.
"""

import asyncio
import time
from collections.abc import Callable
from random import Random

import msgspec
from returns.result import Failure

from leadford.common import RequestId
from leadford.events import Event
from leadford.pipelines.claims import (
    ClaimBatch,
    ClaimLog,
    SlotView,
    WriteRateLimiter,
    decode_slot,
)
from leadford.protocol import ClaimVerdict
from leadford_server.clock import boot_time
from leadford_server.logs import EventLog
from leadford_server.pipelines.store import StoreClient, StoreErrorKind

# Maximum number of claims in one write.
BATCH_CLAIMS_MAX = 2000
# Maximum number of writes and reads until a batch is settled.
SETTLE_TRIES_MAX = 5


class PendingClaim(msgspec.Struct, frozen=True, eq=False):
    """Hold a claim that waits for a batch."""

    request_id: RequestId
    claim_id: str
    future: asyncio.Future


class ShardWriter:
    """Write the claims of one shard in batches, one write in flight.

    All that arrives while a write is under way rides on the next one.
    """

    def __init__(
        self,
        *,
        log: ClaimLog,
        pace: WriteRateLimiter,
        store: StoreClient,
        events: EventLog,
        random: Random,
        writer_id: str,
        clock: Callable[[], float] = boot_time,
        wall: Callable[[], float] = time.time,
    ) -> None:
        self.log = log
        self.pace = pace
        self.store = store
        self.events = events
        self.random = random
        self.writer_id = writer_id
        self.clock = clock
        self.wall = wall
        self.pending_: list[PendingClaim] = []
        self.task_: asyncio.Task[None] | None = None

    def claim(self, request_id: RequestId, claim_id: str) -> asyncio.Future:
        """Queue a claim and return the future of its verdict."""
        future = asyncio.get_running_loop().create_future()
        self.pending_.append(PendingClaim(request_id, claim_id, future))
        if self.task_ is None or self.task_.done():
            self.task_ = asyncio.create_task(self._run())
        return future

    async def _run(self) -> None:
        while self.pending_:
            # A timer may fire early, so the permission to write is checked again.
            while not self.pace.try_take(self.clock()):
                await asyncio.sleep(self.pace.wait_s(self.clock()))
            if not await self._catch_up():
                self._answer(self.pending_, ClaimVerdict.STORE_UNAVAILABLE)
                self.pending_ = []
                return
            batch = self._take_batch()
            if batch:
                await self._write(batch)

    def _take_batch(self) -> list[PendingClaim]:
        """Answer what the log decides already and return what must be written."""
        self.log.forget_expired(self.wall())
        taken = self.pending_[:BATCH_CLAIMS_MAX]
        self.pending_ = self.pending_[BATCH_CLAIMS_MAX:]
        batch: list[PendingClaim] = []
        claim_id_by_request: dict[str, str] = {}
        for claim in taken:
            holder = self.log.claim_id_of(claim.request_id)
            holder = holder or claim_id_by_request.get(claim.request_id)
            if holder is None:
                claim_id_by_request[claim.request_id] = claim.claim_id
                batch.append(claim)
                continue
            self._answer([claim], self._verdict(holder, claim))
        return batch

    def _verdict(self, holder: str, claim: PendingClaim) -> ClaimVerdict:
        if holder == claim.claim_id:
            return ClaimVerdict.GRANTED
        return ClaimVerdict.ALREADY_CLAIMED

    def _answer(self, claims: list[PendingClaim], verdict: ClaimVerdict) -> None:
        for claim in claims:
            if not claim.future.done():
                claim.future.set_result(verdict)

    async def _catch_up(self) -> bool:
        """Read slots until the log knows its tail."""
        while (position := self.log.wanted_position()) is not None:
            read = await self.store.get(self.log.slot_name(position))
            view = SlotView(0, None)
            if isinstance(read, Failure):
                if read.failure().kind is not StoreErrorKind.NOT_FOUND:
                    self.pace.record_answer(0.0, ok=False)
                    return False
            else:
                value = read.unwrap()
                view = SlotView(value.version, decode_slot(value.data))
            self.log.record_read(position, view, self.wall())
        return True

    async def _write(self, claims: list[PendingClaim]) -> None:
        batch = ClaimBatch(
            batch_id=f"{self.writer_id}-{self.random.getrandbits(48):x}",
            at_s=self.wall(),
            claim_ids_by_request={c.request_id: c.claim_id for c in claims},
        )
        for _ in range(SETTLE_TRIES_MAX):
            settled = await self._try_write(batch)
            if settled is not None:
                self._settle(claims, settled)
                return
            if not await self._catch_up():
                break
            if self.log.has_batch(batch.batch_id):
                self._settle(claims, ClaimVerdict.GRANTED)
                return
            # Another writer may have claimed some of these keys in between.
            claims = self._drop_decided(claims)
            batch = msgspec.structs.replace(
                batch,
                claim_ids_by_request={c.request_id: c.claim_id for c in claims},
            )
            if not claims:
                return
        self._answer(claims, ClaimVerdict.STORE_UNAVAILABLE)

    async def _try_write(self, batch: ClaimBatch) -> ClaimVerdict | None:
        """Write once; return None when the log must be read again first."""
        built = self.log.next_write(batch, self.wall())
        if isinstance(built, Failure):
            self.events.report(Event.CLAIMS_FULL, slot=str(built.failure()))
            return ClaimVerdict.FULL
        write = built.unwrap()
        started_at = self.clock()
        put = await self.store.put(write.name, write.data, write.expected_version)
        elapsed_s = self.clock() - started_at
        if not isinstance(put, Failure):
            self.pace.record_answer(elapsed_s, ok=True)
            self.log.record_written(write, put.unwrap())
            return ClaimVerdict.GRANTED
        kind = put.failure().kind
        self.log.record_in_doubt()
        if kind is StoreErrorKind.CONFLICT:
            self.events.report(Event.CLAIM_CONFLICT, slot=write.name)
            return None
        self.pace.record_answer(elapsed_s, ok=False)
        if kind is StoreErrorKind.IN_DOUBT:
            self.events.report(Event.CLAIM_ANSWER_LOST, slot=write.name)
            return None
        return ClaimVerdict.STORE_UNAVAILABLE

    def _settle(self, claims: list[PendingClaim], verdict: ClaimVerdict) -> None:
        if verdict is not ClaimVerdict.GRANTED:
            self._answer(claims, verdict)
            return
        for claim in claims:
            # The log decides: the first claim of a key in it is valid.
            holder = self.log.claim_id_of(claim.request_id)
            self._answer([claim], self._verdict(holder or "", claim))

    def _drop_decided(self, claims: list[PendingClaim]) -> list[PendingClaim]:
        open_claims: list[PendingClaim] = []
        for claim in claims:
            holder = self.log.claim_id_of(claim.request_id)
            if holder is None:
                open_claims.append(claim)
                continue
            self._answer([claim], self._verdict(holder, claim))
        return open_claims
