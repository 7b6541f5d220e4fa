"""Count the bytes that are held for callers and endpoints, and decide what follows.

Owns the account. Each holder is one request body, answer or stream; it reports what it
holds and when its other side made progress. Without a budget the account only counts.
"""

from collections import Counter
from enum import Enum

import msgspec
from returns.result import Failure, Result, Success

from leadford.forwarding.memory._budget import MemoryBudget

# Maximum size of the events of one stream that are read ahead of its caller.
MAX_UNREAD_EVENT_BYTES = 256 * 1024
# Holders of at most this size are read further up to the whole budget, so that small
# answers proceed while large ones wait.
SMALL_HOLDER_BYTES = 64 * 1024
# Near the budget, a caller without progress for this long is cut off.
STALLED_S = 1.0
# An endpoint may cut off an answer that was left unread for this long.
LEFT_UNREAD_S = 1.0
# Retry delay of a refusal. By then, callers that are stalled now are cut off.
RETRY_AFTER_S = STALLED_S


class HeldCause(Enum):
    """List why bytes are held; the values appear in metrics.

    REQUEST_BODY: bodies of callers, from their announcement to the end of the request.
    UNSENT_REQUEST: calls that an endpoint has not read. ANSWER: answers that are read
    whole. UNREAD_EVENTS: events that a caller has not read. UNSENT_ANSWER: what is
    written to callers and not sent.
    """

    REQUEST_BODY = "request-body"
    UNSENT_REQUEST = "unsent-request"
    ANSWER = "answer"
    UNREAD_EVENTS = "unread-events"
    UNSENT_ANSWER = "unsent-answer"


class MemoryRefusal(msgspec.Struct, frozen=True):
    """Describe a refusal for lack of memory.

    Units: retry_after_s in seconds.
    """

    held_bytes: int
    allowed_bytes: int
    retry_after_s: float = RETRY_AFTER_S


class BytesHolder:
    """Hold the count of one holder; `waits_for_caller` tells that it may be cut off.

    Units: progress_at_ in seconds of the monotonic clock.
    """

    def __init__(
        self, *, cause: HeldCause, waits_for_caller: bool = False, now: float = 0.0
    ) -> None:
        self.cause = cause
        self.waits_for_caller = waits_for_caller
        self.held_bytes_ = 0
        self.progress_at_ = now


class MemoryAccount:
    """Count the bytes held by cause, against a budget if there is one."""

    def __init__(self, *, budget: MemoryBudget | None) -> None:
        self.budget = budget
        self.held_bytes_ = 0
        self.bytes_by_cause_: Counter[HeldCause] = Counter()
        self.holders_: set[BytesHolder] = set()
        self.is_refusing_ = False
        # The large answer that is exempt from the pause of reading, so that it ends and
        # releases what its request holds; otherwise all could wait for each other.
        self.exempt_: BytesHolder | None = None

    def set_held(self, holder: BytesHolder, count: int) -> None:
        """Record how many bytes a holder holds now; 0 ends it.

        Units: bytes.
        """
        added = count - holder.held_bytes_
        holder.held_bytes_ = count
        self.held_bytes_ += added
        self.bytes_by_cause_[holder.cause] += added
        if count > 0:
            self.holders_.add(holder)
        else:
            self.holders_.discard(holder)
            if self.exempt_ is holder:
                self.exempt_ = None
        budget = self.budget
        if self.is_refusing_:
            is_near = budget is not None and self.held_bytes_ > budget.resume_bytes
            self.is_refusing_ = is_near

    def admit(self, announced_bytes: int) -> Result[None, MemoryRefusal]:
        """Decide whether a request whose body announces its length may be read.

        Errors: MemoryRefusal if it would not fit, or until enough has been released
        after such a refusal.
        """
        budget = self.budget
        if budget is None:
            return Success(None)
        fits = self.held_bytes_ + announced_bytes <= budget.refuse_bytes
        if fits and not self.is_refusing_:
            return Success(None)
        # A large request may not fit while there is ample room for others.
        self.is_refusing_ |= self.held_bytes_ > budget.resume_bytes
        return Failure(MemoryRefusal(self.held_bytes_, budget.allowed_bytes))

    def may_read(self, holder: BytesHolder, max_bytes: int | None = None) -> bool:
        """Tell whether the other side of a holder may be read further.

        Units: max_bytes is the bound of the holder, None if it has none of its own.
        """
        budget = self.budget
        if budget is None:
            return True
        if max_bytes is not None and holder.held_bytes_ >= max_bytes:
            return False
        if self.held_bytes_ < budget.pause_bytes:
            return True
        if holder.held_bytes_ > SMALL_HOLDER_BYTES and not self._take_exemption(holder):
            return False
        return self.held_bytes_ < budget.allowed_bytes

    def _take_exemption(self, holder: BytesHolder) -> bool:
        """Exempt an answer from the pause if none is; return whether this one is."""
        if self.exempt_ is None and holder.cause is HeldCause.ANSWER:
            self.exempt_ = holder
        return self.exempt_ is holder

    @property
    def room_bytes(self) -> float:
        """Return how many bytes fit into the budget beside what is held."""
        if self.budget is None:
            return float("inf")
        return self.budget.allowed_bytes - self.held_bytes_

    def stalled_holders(self, now: float, needed_bytes: int = 0) -> list[BytesHolder]:
        """Return the holders whose callers are to be cut off now.

        Empty below the threshold for refusals. The largest go first, and no more than
        are needed to take new work again, or a request that announces `needed_bytes`.

        Units: now in seconds of the monotonic clock.
        """
        budget = self.budget
        if budget is None:
            return []
        excess_bytes = self.held_bytes_ + needed_bytes - budget.refuse_bytes
        if excess_bytes < 0 and not self.is_refusing_:
            return []
        excess_bytes = max(excess_bytes, self.held_bytes_ - budget.resume_bytes)
        ended = []
        for holder in sorted(self.holders_, key=lambda held: -held.held_bytes_):
            if excess_bytes <= 0:
                break
            is_stalled = now - holder.progress_at_ >= STALLED_S
            if not holder.waits_for_caller or not is_stalled:
                continue
            ended.append(holder)
            excess_bytes -= holder.held_bytes_
        return ended


def was_left_unread(unread_s: float) -> bool:
    """Tell whether an endpoint had reason to cut off an answer that was not read.

    Then the end of its connection says nothing about the endpoint.

    Units: unread_s is the longest time in seconds in which the answer was not read.
    """
    return unread_s >= LEFT_UNREAD_S
