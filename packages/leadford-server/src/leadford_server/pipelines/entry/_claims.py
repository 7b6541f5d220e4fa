"""Claim keys: forward to the entry that batches a shard, or write to the store.

A request that must run at most once is claimed before its stage begins
(docs/design/at-most-once.md). The log of a shard and its rules are
`leadford.pipelines.claims`; here claims of one shard are gathered into one write, by
the entry that owns the shard, and an answer of the store in doubt is settled by
reading.
"""

import asyncio
import time
from collections import OrderedDict
from collections.abc import Callable
from random import Random

import msgspec
from returns.result import Failure

from leadford.common import EntryId, RequestId
from leadford.events import Event
from leadford.pipelines.claims import (
    ClaimBatch,
    ClaimLog,
    SlotView,
    WritePace,
    decode_slot,
    shard_of,
)
from leadford.pipelines.config import FleetConfig
from leadford.protocol import ClaimAnswer, ClaimRequest, ClaimVerdict, Message
from leadford_server.logs import EventLog
from leadford_server.peers import PeerConnection
from leadford_server.pipelines.entry._entries import EntryPeers
from leadford_server.pipelines.store import StoreClient, StoreErrorKind

# Seconds for which the owner of a shard is awaited before the claim is written here;
# commit 7457c0a, not measured.
FORWARD_S = 0.5
# Claims of one write; commit 7457c0a, not measured.
BATCH_MAX = 2000
# Writes and readings until a batch is settled; commit 7457c0a, not measured.
SETTLE_TRIES = 5
# Claims remembered whose write is in doubt, so that a repetition takes them up; commit
# 7457c0a, not measured.
ABANDONED_KEPT = 10_000


class PendingClaim(msgspec.Struct, frozen=True, eq=False):
    """Hold a claim that waits for a batch."""

    request_id: RequestId
    claim_id: str
    future: asyncio.Future


class ForwardedClaim(msgspec.Struct, frozen=True, eq=False):
    """Hold a claim that another entry was asked to place."""

    peer: PeerConnection
    future: asyncio.Future


class ShardWriter:
    """Write the claims of one shard in batches, one write in flight.

    All that arrives while a write is under way rides on the next one.
    """

    def __init__(
        self,
        *,
        log: ClaimLog,
        pace: WritePace,
        store: StoreClient,
        events: EventLog,
        random: Random,
        writer_id: str,
        clock: Callable[[], float] = time.monotonic,
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
            # A timer may fire early, so the right to write is taken, not assumed.
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
        taken = self.pending_[:BATCH_MAX]
        self.pending_ = self.pending_[BATCH_MAX:]
        batch: list[PendingClaim] = []
        claim_id_by_request: dict[str, str] = {}
        for claim in taken:
            holder = self.log.holder(claim.request_id)
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
        for _ in range(SETTLE_TRIES):
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
            # The log decides: the first claim of a key in it stands.
            holder = self.log.holder(claim.request_id)
            self._answer([claim], self._verdict(holder or "", claim))

    def _drop_decided(self, claims: list[PendingClaim]) -> list[PendingClaim]:
        open_claims: list[PendingClaim] = []
        for claim in claims:
            holder = self.log.holder(claim.request_id)
            if holder is None:
                open_claims.append(claim)
                continue
            self._answer([claim], self._verdict(holder, claim))
        return open_claims


class ClaimService:
    """Claim keys for this entry and, for the shards it owns, for others."""

    def __init__(
        self,
        *,
        entry_id: EntryId,
        store: StoreClient,
        entries: EntryPeers,
        events: EventLog,
        random: Random,
    ) -> None:
        self.entry_id = entry_id
        self.store = store
        self.entries = entries
        self.events = events
        self.random = random
        self.writers_by_shard_: dict[int, ShardWriter] = {}
        self.config_ = FleetConfig()
        self.forwarded_by_id_: dict[str, ForwardedClaim] = {}
        self.abandoned_by_request_: OrderedDict[str, str] = OrderedDict()

    def apply_config(self, config: FleetConfig) -> None:
        """Apply a configuration; the ring's shape is fixed by the first."""
        self.config_ = config

    async def claim(self, request_id: RequestId, remaining_s: float) -> ClaimVerdict:
        """Return whether this call alone holds the request."""
        # A claim that was given up before any dispatch may be taken up again.
        claim_id = self.abandoned_by_request_.pop(request_id, None)
        if claim_id is None:
            claim_id = f"{self.random.getrandbits(64):x}"
        try:
            verdict = await asyncio.wait_for(
                self._claim(request_id, claim_id), max(0.0, remaining_s)
            )
        except TimeoutError:
            verdict = ClaimVerdict.STORE_UNAVAILABLE
        if verdict is ClaimVerdict.STORE_UNAVAILABLE:
            self.abandoned_by_request_[request_id] = claim_id
            if len(self.abandoned_by_request_) > ABANDONED_KEPT:
                self.abandoned_by_request_.popitem(last=False)
        return verdict

    async def _claim(self, request_id: RequestId, claim_id: str) -> ClaimVerdict:
        shard = shard_of(request_id, self.config_.tuning.claim_shards)
        owner = self.entries.owner(shard)
        if owner != self.entry_id:
            verdict = await self._forward(owner, request_id, claim_id)
            if verdict is not None:
                return verdict
        return await self.writer(shard).claim(request_id, claim_id)

    async def _forward(
        self, owner: EntryId, request_id: RequestId, claim_id: str
    ) -> ClaimVerdict | None:
        """Ask the owner; None when it does not answer, which settles nothing."""
        peer = self.entries.peer(owner)
        if peer is None or not peer.send(ClaimRequest(claim_id, request_id, 0.0)):
            return None
        future = asyncio.get_running_loop().create_future()
        self.forwarded_by_id_[claim_id] = ForwardedClaim(peer, future)
        try:
            return await asyncio.wait_for(future, FORWARD_S)
        except TimeoutError:
            return None
        finally:
            del self.forwarded_by_id_[claim_id]

    def writer(self, shard: int) -> ShardWriter:
        """Return the writer of a shard."""
        writer = self.writers_by_shard_.get(shard)
        if writer is None:
            tuning = self.config_.tuning
            rate = tuning.claim_writes_per_s / tuning.claim_shards
            writer = ShardWriter(
                log=ClaimLog(
                    shard=shard,
                    ring=tuning.claim_ring,
                    retention_s=tuning.claim_retention_s,
                ),
                pace=WritePace(rate_per_s=rate),
                store=self.store,
                events=self.events,
                random=self.random,
                writer_id=self.entry_id,
            )
            self.writers_by_shard_[shard] = writer
        return writer

    def peer_message(self, peer: PeerConnection, message: Message) -> bool:
        """Take a message about claims; return whether it was one."""
        if isinstance(message, ClaimAnswer):
            forwarded = self.forwarded_by_id_.get(message.claim_id)
            if forwarded is not None and not forwarded.future.done():
                forwarded.future.set_result(message.verdict)
            return True
        if isinstance(message, ClaimRequest):
            self._serve(peer, message)
            return True
        return False

    def peer_lost(self, peer: PeerConnection) -> None:
        """Stop waiting for an owner that is gone; its claims are placed from here."""
        for forwarded in self.forwarded_by_id_.values():
            if forwarded.peer is peer and not forwarded.future.done():
                forwarded.future.set_result(None)

    def _serve(self, peer: PeerConnection, request: ClaimRequest) -> None:
        request_id = RequestId(request.request_id)
        shard = shard_of(request_id, self.config_.tuning.claim_shards)
        future = self.writer(shard).claim(request_id, request.claim_id)

        def answer(done: asyncio.Future) -> None:
            if not done.cancelled():
                peer.send(ClaimAnswer(request.claim_id, done.result()))

        future.add_done_callback(answer)
