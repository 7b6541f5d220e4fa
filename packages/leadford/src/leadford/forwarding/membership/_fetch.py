"""Decide when to ask a peer for newer data, one peer at a time.

Used for the configuration and for the listing of endpoints, both of which also come
from the store. The timeout of a request starts again with each part that arrives. Each
further peer that has to be asked gets twice the time, so that slow links are not filled
with answers to the same request. An entry that has no data yet asks at once.
"""

from typing import Generic, TypeVar

from leadford.common import EntryId

T = TypeVar("T")

# How long peers must have had newer data before one is asked.
MIN_BEHIND_S = 0.3
# Time without a part after which the next peer is asked, doubled for each further peer
# up to the maximum.
STALL_TIMEOUT_S = 1.0
MAX_STALL_TIMEOUT_S = 8.0
# Delay before the next request after an answer that cannot be used, doubled for each
# further one up to the maximum.
UNUSABLE_BACKOFF_S = 0.5
MAX_UNUSABLE_BACKOFF_S = 8.0


class PeerFetch(Generic[T]):
    """Track how long peers have had newer data, and the request in progress.

    `nothing` is the version, or the position, of an entry that has no data.
    """

    def __init__(self, nothing: T) -> None:
        self.nothing = nothing
        self.known_ = nothing
        self.behind_since_: float | None = None
        self.asked_id_: EntryId | None = None
        self.next_ask_at_ = float("-inf")
        self.consecutive_asked_ = 0
        self.consecutive_unusable_ = 0

    def should_request(
        self, known: T, heard: T, now: float, *, is_urgent: bool = False
    ) -> bool:
        """Tell whether to ask a peer that reports the version `heard`.

        With `is_urgent` it need not have reported it for a while.
        """
        if known != self.known_:
            self.known_ = known
            self.behind_since_ = None
            self.consecutive_unusable_ = 0
            self._reset_request()
        if heard <= known:
            return False
        if self.behind_since_ is None:
            self.behind_since_ = now
        min_behind_s = 0.0 if is_urgent or known == self.nothing else MIN_BEHIND_S
        if now - self.behind_since_ < min_behind_s:
            return False
        return now >= self.next_ask_at_

    def record_requested(self, entry_id: EntryId, now: float) -> None:
        """Record that a peer was asked."""
        wait_s = min(
            MAX_STALL_TIMEOUT_S, STALL_TIMEOUT_S * 2.0**self.consecutive_asked_
        )
        self.asked_id_ = entry_id
        self.consecutive_asked_ += 1
        self.next_ask_at_ = now + wait_s

    def record_part(self, now: float) -> None:
        """Record that a missing part arrived, from any peer."""
        self.consecutive_asked_ = 1
        self.next_ask_at_ = now + STALL_TIMEOUT_S

    def record_end(self) -> None:
        """Record that an answer is complete."""
        self._reset_request()

    def record_unusable(self, now: float) -> None:
        """Record that an answer is complete but cannot be used."""
        wait_s = UNUSABLE_BACKOFF_S * 2.0**self.consecutive_unusable_
        self.consecutive_unusable_ += 1
        self._reset_request()
        self.next_ask_at_ = now + min(MAX_UNUSABLE_BACKOFF_S, wait_s)

    def record_lost(self, entry_id: EntryId) -> None:
        """Record that the link to a peer ended, so its answer will not arrive."""
        if self.asked_id_ == entry_id:
            self._reset_request()

    def _reset_request(self) -> None:
        self.asked_id_ = None
        self.consecutive_asked_ = 0
        self.next_ask_at_ = float("-inf")
