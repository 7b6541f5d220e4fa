"""Define queued attempts and the interface of a queue policy.

An agent holds one queue for its endpoint. The policy decides which attempt is served
next and tells the admission (`leadford.pipelines.admission`) how much expected service
is ahead of a new attempt. The configuration names the policy (`queue` of the tuning).
Callers pass the current time in.
"""

from collections.abc import Callable, Iterator
from typing import Protocol

import msgspec

from leadford.common import Registry, WorkspaceId


class QueuedAttempt(msgspec.Struct, frozen=True):
    """Describe one attempt that waits.

    Units: times are seconds of the caller's clock; cost_ms is expected service time.
    """

    key: str
    workspace: WorkspaceId
    priority: int
    deadline_at: float
    cost_ms: float
    enqueued_at: float


class WorkspaceTerms(msgspec.Struct, frozen=True):
    """Hold what a workspace is entitled to at an endpoint."""

    share: float = 1.0
    minimum: float = 0.0


TermsLookup = Callable[[WorkspaceId], WorkspaceTerms]


class QueuePolicy(Protocol):
    """Hold attempts and hand them out in the policy's order."""

    @classmethod
    def from_config(cls, *, terms: TermsLookup) -> "QueuePolicy":
        """Build an empty queue that looks up the terms of workspaces."""

    def push(self, item: QueuedAttempt) -> None:
        """Add an attempt."""

    def pop(self, now: float) -> QueuedAttempt | None:
        """Pop the next attempt, or return None when the queue is empty."""

    def remove(self, key: str) -> QueuedAttempt | None:
        """Remove and return an attempt, or return None when it is not queued."""

    def ahead_ms(self, priority: int, workspace: WorkspaceId) -> float:
        """Return the expected service time served before a new attempt."""

    def __len__(self) -> int: ...

    def __iter__(self) -> Iterator[QueuedAttempt]: ...


queue_policies: Registry[QueuePolicy] = Registry("queue policy")


class ItemIndexMixin:
    """Index queued attempts by key and sum their expected service time by priority."""

    def __init__(self) -> None:
        self.items_by_key_: dict[str, QueuedAttempt] = {}
        self.cost_ms_by_priority_: dict[int, float] = {}
        self.count_by_priority_: dict[int, int] = {}

    def _add(self, item: QueuedAttempt) -> None:
        if item.key in self.items_by_key_:
            raise ValueError(f"attempt {item.key!r} is queued already")
        self.items_by_key_[item.key] = item
        priority = item.priority
        total_ms = self.cost_ms_by_priority_.get(priority, 0.0)
        self.cost_ms_by_priority_[priority] = total_ms + item.cost_ms
        count = self.count_by_priority_.get(priority, 0)
        self.count_by_priority_[priority] = count + 1

    def _discard(self, key: str) -> QueuedAttempt | None:
        item = self.items_by_key_.pop(key, None)
        if item is None:
            return None
        priority = item.priority
        self.count_by_priority_[priority] -= 1
        self.cost_ms_by_priority_[priority] -= item.cost_ms
        if not self.count_by_priority_[priority]:
            del self.count_by_priority_[priority]
            del self.cost_ms_by_priority_[priority]
        return item

    def ahead_ms(self, priority: int, workspace: WorkspaceId) -> float:
        """Return the expected service time queued at this priority or before it."""
        total = 0.0
        for other, cost_ms in self.cost_ms_by_priority_.items():
            if other <= priority:
                total += cost_ms
        return total

    def __len__(self) -> int:
        return len(self.items_by_key_)

    def __iter__(self) -> Iterator[QueuedAttempt]:
        return iter(self.items_by_key_.values())
