"""Decide when a peer is asked for what it knows better: one at a time.

Held for the configuration and for the listing of endpoints, which the store tells too.
A peer that was asked has its time as long as parts arrive; each further peer that has
to be asked gets twice as long, so that links on which answers take long are not filled
with answers to the same question. An entry that knows nothing asks at once.
"""

from typing import Generic, TypeVar

from leadford.common import EntryId

T = TypeVar("T")

# Seconds for which a peer must know better before it is asked.
MIN_BEHIND_S = 0.3
# Seconds without a part after which the next peer is asked, doubled for each further
# one up to the most.
STALL_TIMEOUT_S = 1.0
MAX_STALL_TIMEOUT_S = 8.0
# Seconds before anybody is asked again after an answer that can't be used, doubled for
# each up to the most.
UNUSABLE_BACKOFF_S = 0.5
MAX_UNUSABLE_BACKOFF_S = 8.0


class NewsFetch(Generic[T]):
    """Follow for how long peers have known better, and the question under way.

    `nothing` is the version, or the position, of an entry that knows nothing.
    """

    def __init__(self, nothing: T) -> None:
        self.nothing = nothing
        self.known_ = nothing
        self.behind_since_: float | None = None
        self.asked_id_: EntryId | None = None
        self.next_ask_at_ = float("-inf")
        self.consecutive_asked_ = 0
        self.consecutive_unusable_ = 0

    def must_ask(self, known: T, heard: T, now: float) -> bool:
        """Tell whether to ask a peer that says it knows a version."""
        if known != self.known_:
            self.known_ = known
            self.behind_since_ = None
            self.consecutive_unusable_ = 0
            self._reset_request()
        if heard <= known:
            return False
        if self.behind_since_ is None:
            self.behind_since_ = now
        if known != self.nothing and now - self.behind_since_ < MIN_BEHIND_S:
            return False
        return now >= self.next_ask_at_

    def record_asked(self, entry_id: EntryId, now: float) -> None:
        """Record that a peer was asked."""
        wait_s = min(
            MAX_STALL_TIMEOUT_S, STALL_TIMEOUT_S * 2.0**self.consecutive_asked_
        )
        self.asked_id_ = entry_id
        self.consecutive_asked_ += 1
        self.next_ask_at_ = now + wait_s

    def record_part(self, now: float) -> None:
        """Record that a part arrived that was missing, whoever sent it."""
        self.consecutive_asked_ = 1
        self.next_ask_at_ = now + STALL_TIMEOUT_S

    def record_end(self) -> None:
        """Record that an answer is whole."""
        self._reset_request()

    def record_unusable(self, now: float) -> None:
        """Record that an answer is whole and can't be used."""
        wait_s = UNUSABLE_BACKOFF_S * 2.0**self.consecutive_unusable_
        self.consecutive_unusable_ += 1
        self._reset_request()
        self.next_ask_at_ = now + min(MAX_UNUSABLE_BACKOFF_S, wait_s)

    def record_lost(self, entry_id: EntryId) -> None:
        """Record that the link to a peer ended; its answer does not come."""
        if self.asked_id_ == entry_id:
            self._reset_request()

    def _reset_request(self) -> None:
        self.asked_id_ = None
        self.consecutive_asked_ = 0
        self.next_ask_at_ = float("-inf")
