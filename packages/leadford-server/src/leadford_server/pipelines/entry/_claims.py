"""Claim keys: at the entry that batches a shard, or in the store from here.

A request that must run at most once is claimed before its stage begins
(docs/design/at-most-once.md). The owner of the request's shard is asked; without an
answer the claim is written from here (`_shard_writer`).
"""

import asyncio
from collections import OrderedDict
from random import Random

import msgspec

from leadford.common import EntryId, RequestId
from leadford.pipelines.claims import (
    ClaimLog,
    WriteRateLimiter,
    shard_of,
)
from leadford.pipelines.config import FleetConfig
from leadford.protocol import ClaimAnswer, ClaimRequest, ClaimVerdict, Message
from leadford_server.logs import EventLog
from leadford_server.peers import PeerConnection
from leadford_server.pipelines.entry._entries import EntryPeers
from leadford_server.pipelines.entry._shard_writer import ShardWriter
from leadford_server.pipelines.store import StoreClient

# Timeout of the owner of a shard, after which the claim is written here.
FORWARD_TIMEOUT_S = 0.5
# Maximum number of remembered claims whose write is in doubt; a retry reuses them.
ABANDONED_CLAIMS_MAX = 10_000


class ForwardedClaim(msgspec.Struct, frozen=True, eq=False):
    """Hold a claim that another entry was asked to place."""

    peer: PeerConnection
    future: asyncio.Future


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
        if remaining_s <= 0.0:
            return ClaimVerdict.STORE_UNAVAILABLE
        # A claim that was abandoned before any dispatch may be reused.
        claim_id = self.abandoned_by_request_.pop(request_id, None)
        if claim_id is None:
            claim_id = f"{self.random.getrandbits(64):x}"
        try:
            async with asyncio.timeout(remaining_s):
                verdict = await self._claim(request_id, claim_id)
        except TimeoutError:
            verdict = ClaimVerdict.STORE_UNAVAILABLE
        except asyncio.CancelledError:
            self._record_abandoned(request_id, claim_id)
            raise
        if verdict is ClaimVerdict.STORE_UNAVAILABLE:
            self._record_abandoned(request_id, claim_id)
        return verdict

    def _record_abandoned(self, request_id: RequestId, claim_id: str) -> None:
        self.abandoned_by_request_[request_id] = claim_id
        if len(self.abandoned_by_request_) > ABANDONED_CLAIMS_MAX:
            self.abandoned_by_request_.popitem(last=False)

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
            async with asyncio.timeout(FORWARD_TIMEOUT_S):
                return await future
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
                    slot_count=tuning.claim_ring,
                    retention_s=tuning.claim_retention_s,
                ),
                pace=WriteRateLimiter(rate_per_s=rate),
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
