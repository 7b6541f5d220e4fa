"""Provide plain orders: first in first out, and earliest deadline.

Neither looks at workspaces. They are there to compare the others with.
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
        """Take the oldest attempt."""
        while self.keys_:
            item = self._discard(self.keys_.popleft())
            if item is not None:
                return item
        return None

    def remove(self, key: str) -> QueuedAttempt | None:
        """Take out one attempt."""
        return self._discard(key)

    def ahead_ms(self, priority: int, workspace: WorkspaceId) -> float:
        """Return the expected service of everything queued."""
        return sum(self.cost_ms_by_priority_.values())


@queue_policies.register("earliest_deadline")
class EarliestDeadline(ItemIndexMixin):
    """Serve by class of priority, then by deadline."""

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
        """Take the attempt of the first class with the earliest deadline."""
        while self.heap_:
            item = self._discard(heappop(self.heap_)[2])
            if item is not None:
                return item
        return None

    def remove(self, key: str) -> QueuedAttempt | None:
        """Take out one attempt."""
        return self._discard(key)
