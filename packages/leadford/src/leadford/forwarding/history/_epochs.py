"""Track the current epoch of the store, and detect data from earlier epochs.

Owned by the client of the store, and used by all code that compares positions. The
epoch only increases: an answer or a message with an earlier one is obsolete.
"""

from collections.abc import Callable
from enum import Enum

from leadford.forwarding.history._position import FIRST_EPOCH, StoreEpoch


class AnswerAge(Enum):
    """Enumerate how the epoch of a store's answer compares with the current one.

    RESTORED: it is later, so the store was restored. PAST: it is earlier.
    """

    PRESENT = "present"
    RESTORED = "restored"
    PAST = "past"


class StoreEpochs:
    """Keep the newest epoch that the store or another entry has reported.

    Each of `listeners_` is called when the epoch has increased.
    """

    def __init__(self) -> None:
        self.current_ = FIRST_EPOCH
        self.is_reported_by_store_ = False
        self.has_risen_ = False
        self.listeners_: list[Callable[[], None]] = []

    def record_answer(self, epoch: StoreEpoch | None) -> AnswerAge:
        """Record the epoch of an answer of the store, None if it has none."""
        if epoch is None:
            return AnswerAge.PRESENT
        if epoch < self.current_:
            return AnswerAge.PAST
        was_known = self._is_known
        self.is_reported_by_store_ = True
        has_risen = self._raise_to(epoch, was_known=was_known)
        return AnswerAge.RESTORED if has_risen else AnswerAge.PRESENT

    def record_peer_epoch(self, epoch: StoreEpoch) -> bool:
        """Record the epoch of another entry; return whether the epoch has increased."""
        return self._raise_to(epoch, was_known=self._is_known)

    def assumed_epoch(self) -> StoreEpoch:
        """Return the epoch to assume for data from a build that sends none.

        After the epoch has increased, such data may come from an earlier one.
        """
        return FIRST_EPOCH if self.has_risen_ else self.current_

    @property
    def _is_known(self) -> bool:
        return self.is_reported_by_store_ or self.current_ > FIRST_EPOCH

    def _raise_to(self, epoch: StoreEpoch, *, was_known: bool) -> bool:
        """Return whether the epoch has increased; the first reported does not count."""
        if epoch <= self.current_:
            return False
        self.current_ = epoch
        if not was_known:
            return False
        self.has_risen_ = True
        for listener in self.listeners_:
            listener()
        return True
