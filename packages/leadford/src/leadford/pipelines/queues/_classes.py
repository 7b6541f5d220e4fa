"""Serve classes of priority in order, with a small part left to the lowest.

Shared by the policies that differ only in the order within a class; each names the
ordering of one class in `_new_class`. An attempt that was removed stays in its ordering
until its turn and is passed over there.
"""

from leadford.common import WorkspaceId
from leadford.pipelines.queues._base import ItemIndexMixin, QueuedAttempt, TermsLookup

# Turns of which one goes to the lowest class that waits.
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

    def ahead_ms(self, priority: int, workspace: WorkspaceId) -> float:
        """Return what more urgent classes have, and the newcomer's part of its own."""
        total_ms = 0.0
        for other, cost_ms in self.cost_ms_by_priority_.items():
            if other < priority:
                total_ms += cost_ms
        own = self.classes_by_priority_.get(priority)
        if own is None:
            return total_ms
        class_ms = self.cost_ms_by_priority_.get(priority, 0.0)
        count = self.count_by_priority_.get(priority, 0)
        return total_ms + own.ahead_ms(workspace, class_ms, count)
