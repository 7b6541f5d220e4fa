"""Know which history of the store is the present one, and whose news belong to it.

Owned by the client of the store, and asked by all that compares positions. The epoch
only rises: an answer or a message from an earlier one tells of a history that is over.
"""

from enum import Enum

from leadford.forwarding.history._position import FIRST_EPOCH, StoreEpoch


class AnswerAge(Enum):
    """Say from which history an answer of the store comes.

    RESTORED: from a later one than was known. PAST: from one that is over.
    """

    PRESENT = "present"
    RESTORED = "restored"
    PAST = "past"


class StoreEpochs:
    """Know the newest epoch that the store, or another entry, has told."""

    def __init__(self) -> None:
        self.current_ = FIRST_EPOCH
        self.is_told_ = False
        self.has_risen_ = False

    def record_answer(self, epoch: StoreEpoch | None) -> AnswerAge:
        """Record the epoch of an answer of the store, None where it tells none."""
        if epoch is None:
            return AnswerAge.PRESENT
        was_told = self.is_told_
        self.is_told_ = True
        if epoch < self.current_:
            return AnswerAge.PAST
        if epoch == self.current_:
            return AnswerAge.PRESENT
        self.current_ = epoch
        if not was_told:
            # The first answer tells which epoch it is, not that it has risen.
            return AnswerAge.PRESENT
        self.has_risen_ = True
        return AnswerAge.RESTORED
