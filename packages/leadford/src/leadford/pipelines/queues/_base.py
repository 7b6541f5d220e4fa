"""Define queued work and the contract of a queue policy.

An agent holds one queue for its endpoint; the policy decides what is served next, and
the admission (`leadford.pipelines.admission`) asks it how much stands before a
newcomer. The configuration names the policy (`queue` of the tuning). Clocks are passed
in.
"""

from collections.abc import Callable, Iterator
from typing import Protocol

import msgspec

from leadford.common import Registry, WorkspaceId


class QueuedAttempt(msgspec.Struct, frozen=True):
    """Describe one attempt that waits.

    Units: times are seconds of the caller's clock; cost_ms is expected service.
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
        """Take the next attempt, or None when the queue is empty."""

    def remove(self, key: str) -> QueuedAttempt | None:
        """Take out one attempt, or return None when it is not queued."""

    def ahead_ms(self, priority: int, workspace: WorkspaceId) -> float:
        """Return the expected service of what would be served before a newcomer."""

    def __len__(self) -> int: ...

    def __iter__(self) -> Iterator[QueuedAttempt]: ...


queue_policies: Registry[QueuePolicy] = Registry("queue policy")


class ItemIndexMixin:
    """Index queued attempts by key and sum their expected service by priority."""

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
        """Return the expected service queued at this priority or before it."""
        total = 0.0
        for other, cost_ms in self.cost_ms_by_priority_.items():
            if other <= priority:
                total += cost_ms
        return total

    def __len__(self) -> int:
        return len(self.items_by_key_)

    def __iter__(self) -> Iterator[QueuedAttempt]:
        return iter(self.items_by_key_.values())
