"""Append claims to a ring of store objects by conditional update.

The log of a shard is a ring of slots. Claims are appended to the tail slot only, and
whether a slot is closed depends on its content alone. Two writers therefore always
update the same object, and the store accepts only one of the two updates. A slot is
overwritten only when all of its claims are older than the retention.
"""

from collections import OrderedDict

import cbor2
import msgspec
from returns.result import Failure, Result, Success

from leadford.common import RequestId

# Number of claims that closes a slot. It is a part of the stored form: all writers must
# use the same value; see docs/design/at-most-once.md.
SLOT_CLAIMS_MAX = 400
# Largest difference between the clocks of entries. A slot is overwritten only when this
# time has passed after the retention.
CLOCK_SKEW_S = 30.0


class ClaimBatch(msgspec.Struct, frozen=True, array_like=True):
    """Hold the claims that one write appends.

    Units: at_s is seconds of Unix time at the writer.
    """

    batch_id: str
    at_s: float
    claim_ids_by_request: dict[str, str]


class ClaimSlot(msgspec.Struct, frozen=True, array_like=True):
    """Hold the content of one store object of the ring."""

    position: int
    batches: tuple[ClaimBatch, ...]

    @property
    def is_closed(self) -> bool:
        """Return whether the slot is full, so that claims go to the next slot."""
        count = sum(len(batch.claim_ids_by_request) for batch in self.batches)
        return count >= SLOT_CLAIMS_MAX

    @property
    def newest_at_s(self) -> float:
        """Return the time of the newest batch, 0 without batches.

        Units: seconds of Unix time at the writer.
        """
        return max((batch.at_s for batch in self.batches), default=0.0)


class SlotView(msgspec.Struct, frozen=True):
    """Hold a slot as read from the store; version 0 means that no object exists."""

    version: int
    slot: ClaimSlot | None


class ClaimWrite(msgspec.Struct, frozen=True):
    """Describe a conditional update that appends one batch."""

    name: str
    expected_version: int
    data: bytes
    batch: ClaimBatch
    slot: ClaimSlot


class ClaimsFullError(Exception):
    """Report that the next slot still holds claims within the retention."""


def decode_slot(data: bytes) -> ClaimSlot:
    """Decode the slot in a store object; a corrupt object raises an exception."""
    return msgspec.convert(cbor2.loads(data), ClaimSlot)


class ClaimLog:
    """Track one shard's log and build the writes that append to it.

    The caller reads the slots that `wanted_position` returns until it returns None,
    then writes. After a conflict or a lost answer it must read again.
    """

    def __init__(self, *, shard: int, slot_count: int, retention_s: float) -> None:
        self.shard = shard
        self.slot_count = slot_count
        self.retention_s = retention_s
        self.claim_ids_by_request_: OrderedDict[str, str] = OrderedDict()
        self.claimed_at_: dict[str, float] = {}
        self.batch_ids_: set[str] = set()
        self.tail_position_ = 0
        self.tail_view_: SlotView | None = None
        self._search_low = 0
        self._search_high = slot_count - 1
        self._search_lap: int | None = None
        self._backfill_position: int | None = None
        self._tail_found = False

    def slot_name(self, position: int) -> str:
        """Return the name of the store object that holds a position."""
        return f"claims/{self.shard}/{position % self.slot_count}"

    def wanted_position(self) -> int | None:
        """Return the position to read next, or None when the log is up to date."""
        if not self._tail_found:
            if self._search_lap is None:
                return 0
            return (self._search_low + self._search_high + 1) // 2
        if self._backfill_position is not None:
            return self._backfill_position
        if self.tail_view_ is None:
            return self.tail_position_
        return None

    def record_read(self, position: int, view: SlotView, now_s: float) -> None:
        """Record the slot that was read at a wanted position."""
        if not self._tail_found:
            self._search(position, view)
            return
        if self._backfill_position is not None:
            self._record_backfill(view, now_s)
            return
        self._record_tail(view)

    def _search(self, position: int, view: SlotView) -> None:
        # The slots of the newest lap form a prefix of the ring, so bisection finds the
        # end of the lap.
        if self._search_lap is None:
            if view.slot is None:
                self._tail_found = True
                return
            self._search_lap = view.slot.position // self.slot_count
        else:
            in_lap = view.slot is not None
            in_lap = (
                in_lap and view.slot.position // self.slot_count >= self._search_lap
            )
            if in_lap:
                self._search_low = position
            else:
                self._search_high = position - 1
        if self._search_low >= self._search_high:
            self._tail_found = True
            self.tail_position_ = self._search_lap * self.slot_count + self._search_low
            if self.tail_position_ > 0:
                self._backfill_position = self.tail_position_ - 1

    def _record_backfill(self, view: SlotView, now_s: float) -> None:
        position = self._backfill_position
        slot = view.slot
        expired = slot is None or slot.position > position
        if not expired:
            self._merge(slot)
            expired = now_s - slot.newest_at_s > self.retention_s + CLOCK_SKEW_S
        # More than one lap back, the ring leads to the tail again.
        at_end = position == 0 or self.tail_position_ - position >= self.slot_count - 1
        self._backfill_position = None if expired or at_end else position - 1

    def _record_tail(self, view: SlotView) -> None:
        slot = view.slot
        is_current = slot is not None and slot.position >= self.tail_position_
        if not is_current:
            self.tail_view_ = view
            return
        self.tail_position_ = slot.position
        self._merge(slot)
        if slot.is_closed:
            self.tail_position_ += 1
            self.tail_view_ = None
            return
        self.tail_view_ = view

    def _merge(self, slot: ClaimSlot) -> None:
        for batch in slot.batches:
            if batch.batch_id in self.batch_ids_:
                continue
            self.batch_ids_.add(batch.batch_id)
            for request_id, claim_id in batch.claim_ids_by_request.items():
                # The first claim of a request wins.
                self.claim_ids_by_request_.setdefault(request_id, claim_id)
                self.claimed_at_.setdefault(request_id, batch.at_s)

    def claim_id_of(self, request_id: RequestId) -> str | None:
        """Return the claim id that holds a request, or None if none is known."""
        return self.claim_ids_by_request_.get(request_id)

    def forget_expired(self, now_s: float) -> None:
        """Remove claims older than the retention plus twice the clock skew."""
        cutoff_s = now_s - self.retention_s - 2 * CLOCK_SKEW_S
        while self.claim_ids_by_request_:
            request_id = next(iter(self.claim_ids_by_request_))
            if self.claimed_at_[request_id] >= cutoff_s:
                return
            del self.claim_ids_by_request_[request_id]
            del self.claimed_at_[request_id]

    def next_write(
        self, batch: ClaimBatch, now_s: float
    ) -> Result[ClaimWrite, ClaimsFullError]:
        """Return the update that appends a batch to the tail.

        Errors: the next slot still holds claims within the retention.
        """
        if self.wanted_position() is not None:
            raise AssertionError("next_write was called before the tail slot was read")
        view = self.tail_view_
        batches: tuple[ClaimBatch, ...] = ()
        if view.slot is not None and view.slot.position == self.tail_position_:
            batches = view.slot.batches
        elif view.slot is not None:
            age_s = now_s - view.slot.newest_at_s
            if age_s <= self.retention_s + CLOCK_SKEW_S:
                return Failure(ClaimsFullError(self.slot_name(self.tail_position_)))
        slot = ClaimSlot(self.tail_position_, (*batches, batch))
        data = cbor2.dumps(msgspec.to_builtins(slot))
        name = self.slot_name(self.tail_position_)
        return Success(ClaimWrite(name, view.version, data, batch, slot))

    def record_written(self, write: ClaimWrite, version: int) -> None:
        """Record that the store applied a write and returned a new version."""
        self.tail_view_ = None
        self._record_tail(SlotView(version, write.slot))

    def record_in_doubt(self) -> None:
        """Record a conflict or a lost answer, so that the tail is read again."""
        self.tail_view_ = None

    def has_batch(self, batch_id: str) -> bool:
        """Return whether a batch is known to be in the log."""
        return batch_id in self.batch_ids_
