"""Provide simple orders: first in first out, and earliest deadline.

Neither considers workspaces. They are baselines for the other policies.
"""

from collections import deque
from heapq import heappop, heappush

from leadford.common import WorkspaceId
from leadford.pipelines.queues._base import (
    ItemIndexMixin,
    QueuedAttempt,
    TermsLookup,
    queue_policies,
)


@queue_policies.register("fifo")
class FirstInFirstOut(ItemIndexMixin):
    """Serve attempts in the order of arrival."""

    def __init__(self) -> None:
        super().__init__()
        self.keys_: deque[str] = deque()

    @classmethod
    def from_config(cls, *, terms: TermsLookup) -> "FirstInFirstOut":
        """Build an empty queue; terms play no part."""
        return cls()

    def push(self, item: QueuedAttempt) -> None:
        """Add an attempt at the end."""
        self._add(item)
        self.keys_.append(item.key)

    def pop(self, now: float) -> QueuedAttempt | None:
        """Pop the oldest attempt."""
        while self.keys_:
            item = self._discard(self.keys_.popleft())
            if item is not None:
                return item
        return None

    def remove(self, key: str) -> QueuedAttempt | None:
        """Remove one attempt."""
        return self._discard(key)

    def ahead_ms(self, priority: int, workspace: WorkspaceId) -> float:
        """Return the expected service time of all queued attempts."""
        return sum(self.cost_ms_by_priority_.values())


@queue_policies.register("earliest_deadline")
class EarliestDeadline(ItemIndexMixin):
    """Serve attempts by priority class, then by deadline."""

    def __init__(self) -> None:
        super().__init__()
        self.heap_: list[tuple[int, float, str]] = []

    @classmethod
    def from_config(cls, *, terms: TermsLookup) -> "EarliestDeadline":
        """Build an empty queue; terms play no part."""
        return cls()

    def push(self, item: QueuedAttempt) -> None:
        """Add an attempt."""
        self._add(item)
        heappush(self.heap_, (item.priority, item.deadline_at, item.key))

    def pop(self, now: float) -> QueuedAttempt | None:
        """Pop the attempt with the earliest deadline in the most urgent class."""
        while self.heap_:
            item = self._discard(heappop(self.heap_)[2])
            if item is not None:
                return item
        return None

    def remove(self, key: str) -> QueuedAttempt | None:
        """Remove one attempt."""
        return self._discard(key)
