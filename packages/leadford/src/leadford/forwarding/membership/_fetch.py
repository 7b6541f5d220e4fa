"""Decide when a peer is asked for what it knows better: one transfer at a time.

Held for the configuration and for the listing of endpoints, which the store tells too.
A transfer goes on for as long as parts of it arrive, from the store or from the peer
that was asked; another one beside it would only take its bytes from it. An entry that
knows nothing asks at once.
"""

from leadford.common import EntryId

# Seconds for which a peer must know better before it is asked; not measured.
BEHIND_S = 0.3
# Seconds without a part after which a transfer counts as stopped, and another peer is
# asked; not measured.
STALLED_S = 1.0


class NewsFetch:
    """Follow for how long peers have known better, and the transfer under way."""

    def __init__(self) -> None:
        self.known_ = 0
        self.behind_since_: float | None = None
        self.asked_id_: EntryId | None = None
        self.moved_at_: float | None = None

    def must_ask(
        self, known: int, heard: int, now: float, arrived_at: float | None = None
    ) -> bool:
        """Tell whether to ask a peer that says it knows a version.

        `arrived_at` is when the store last sent a part of an answer, None if it never
        did.
        """
        if known != self.known_:
            self.known_ = known
            self.behind_since_ = None
        if heard <= known:
            return False
        if self.behind_since_ is None:
            self.behind_since_ = now
        if known != 0 and now - self.behind_since_ < BEHIND_S:
            return False
        if arrived_at is not None and now - arrived_at < BEHIND_S:
            return False
        return not self.is_under_way(now)

    def is_under_way(self, now: float) -> bool:
        """Tell whether parts of a transfer arrived, or it began, a short while ago."""
        return self.moved_at_ is not None and now - self.moved_at_ < STALLED_S

    def record_asked(self, entry_id: EntryId, now: float) -> None:
        """Record that a peer was asked."""
        self.asked_id_ = entry_id
        self.moved_at_ = now

    def record_part(self, now: float) -> None:
        """Record that a part arrived from the peer that was asked."""
        self.moved_at_ = now

    def record_end(self) -> None:
        """Record that the transfer is whole, or can't be used."""
        self.asked_id_ = None
        self.moved_at_ = None

    def record_lost(self, entry_id: EntryId) -> None:
        """Record that the link to a peer ended; its transfer ends with it."""
        if self.asked_id_ == entry_id:
            self.record_end()
