"""Know which history of the store is the present one, and whose news belong to it.

Owned by the client of the store, and asked by all that compares positions. The epoch
only rises: an answer or a message from an earlier one tells of a history that is over.
"""

from collections.abc import Callable
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
    """Know the newest epoch that the store, or another entry, has told.

    Each of `listeners_` is called once the epoch has risen.
    """

    def __init__(self) -> None:
        self.current_ = FIRST_EPOCH
        self.is_told_ = False
        self.has_risen_ = False
        self.listeners_: list[Callable[[], None]] = []

    def record_answer(self, epoch: StoreEpoch | None) -> AnswerAge:
        """Record the epoch of an answer of the store, None where it tells none."""
        if epoch is None:
            return AnswerAge.PRESENT
        if epoch < self.current_:
            return AnswerAge.PAST
        was_known = self._is_known
        self.is_told_ = True
        has_risen = self._raise_to(epoch, was_known=was_known)
        return AnswerAge.RESTORED if has_risen else AnswerAge.PRESENT

    def record_told(self, epoch: StoreEpoch) -> bool:
        """Record the epoch that another entry knows; return whether it has risen."""
        return self._raise_to(epoch, was_known=self._is_known)

    def of_untold(self) -> StoreEpoch:
        """Return the epoch of news from a build that tells none.

        Once another epoch has begun, such news may come from before it.
        """
        return FIRST_EPOCH if self.has_risen_ else self.current_

    @property
    def _is_known(self) -> bool:
        return self.is_told_ or self.current_ > FIRST_EPOCH

    def _raise_to(self, epoch: StoreEpoch, *, was_known: bool) -> bool:
        """Return whether the epoch has risen; the first one that is told has not."""
        if epoch <= self.current_:
            return False
        self.current_ = epoch
        if not was_known:
            return False
        self.has_risen_ = True
        for listener in self.listeners_:
            listener()
        return True
