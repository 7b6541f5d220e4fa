"""Serve priority classes in order, with a small part reserved for the lowest.

Shared by the policies that differ only in the order within a class; each creates the
ordering of one class in `_new_class`. A removed attempt stays in the heap of its
ordering until it reaches the top, where it is skipped.
"""

from leadford.common import WorkspaceId
from leadford.pipelines.queues._base import ItemIndexMixin, QueuedAttempt, TermsLookup

# Number of pops of which one serves the lowest class that waits.
LOWEST_CLASS_INTERVAL_POPS = 20


class ClassQueueMixin(ItemIndexMixin):
    """Keep one ordering per priority class.

    Every 20th pop serves the lowest class that waits, so that no class starves.
    """

    def __init__(self, *, terms: TermsLookup) -> None:
        super().__init__()
        self.terms = terms
        self.classes_by_priority_: dict[int, object] = {}
        self.pop_count_ = 0

    def push(self, item: QueuedAttempt) -> None:
        """Add an attempt to its class."""
        self._add(item)
        ordering = self.classes_by_priority_.get(item.priority)
        if ordering is None:
            ordering = self._new_class()
            self.classes_by_priority_[item.priority] = ordering
        ordering.push(item)

    def pop(self, now: float) -> QueuedAttempt | None:
        """Pop the next attempt."""
        waiting = self.count_by_priority_
        if not waiting:
            return None
        self.pop_count_ += 1
        priority = min(waiting)
        if self.pop_count_ % LOWEST_CLASS_INTERVAL_POPS == 0:
            priority = max(waiting)
        while True:
            key = self.classes_by_priority_[priority].pop(now)
            if key is None:
                raise AssertionError(
                    "the ordering of a class with queued attempts is empty"
                )
            item = self._discard(key)
            if item is not None:
                return item

    def remove(self, key: str) -> QueuedAttempt | None:
        """Remove one attempt."""
        item = self._discard(key)
        if item is not None:
            self.classes_by_priority_[item.priority].drop(item)
        return item

    def ahead_ms(self, priority: int, workspace: WorkspaceId) -> float:
        """Return the backlog of more urgent classes plus the part ahead in its own."""
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
