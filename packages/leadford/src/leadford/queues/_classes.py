"""Serve classes of priority in order, with a small part left to the lowest."""

from leadford.queues._base import ItemIndexMixin, QueuedAttempt, TermsLookup

LOWEST_CLASS_TURN = 20


class ClassQueueMixin(ItemIndexMixin):
    """Keep one ordering per class of priority.

    Every 20th turn goes to the lowest class that waits, so that none starves.
    """

    def __init__(self, *, terms: TermsLookup) -> None:
        super().__init__()
        self.terms = terms
        self.classes_by_priority_: dict[int, object] = {}
        self.turns_ = 0

    def push(self, item: QueuedAttempt) -> None:
        """Add an attempt to its class."""
        self._add(item)
        ordering = self.classes_by_priority_.get(item.priority)
        if ordering is None:
            ordering = self._new_class()
            self.classes_by_priority_[item.priority] = ordering
        ordering.push(item)

    def pop(self, now: float) -> QueuedAttempt | None:
        """Take the next attempt."""
        waiting = self.count_by_priority_
        if not waiting:
            return None
        self.turns_ += 1
        priority = min(waiting)
        if self.turns_ % LOWEST_CLASS_TURN == 0:
            priority = max(waiting)
        while True:
            key = self.classes_by_priority_[priority].pop(now)
            if key is None:
                raise AssertionError("a class with queued attempts handed out nothing")
            item = self._discard(key)
            if item is not None:
                return item

    def remove(self, key: str) -> QueuedAttempt | None:
        """Take out one attempt."""
        item = self._discard(key)
        if item is not None:
            self.classes_by_priority_[item.priority].forget(item)
        return item
