"""Hold the waiting attempts of one workspace in order of deadline."""

from heapq import heappop, heappush

from leadford.queues._base import QueuedAttempt


class Flow:
    """Order the attempts of one workspace by deadline; removal is lazy."""

    def __init__(self) -> None:
        self.heap_: list[tuple[float, str, float]] = []
        self.live_keys_: set[str] = set()

    def push(self, item: QueuedAttempt) -> None:
        """Add an attempt."""
        self.live_keys_.add(item.key)
        heappush(self.heap_, (item.deadline_at, item.key, item.cost_ms))

    def pop(self) -> tuple[str, float]:
        """Take the key and cost of the attempt with the earliest deadline."""
        while True:
            _, key, cost_ms = heappop(self.heap_)
            if key in self.live_keys_:
                self.live_keys_.discard(key)
                return key, cost_ms

    def forget(self, key: str) -> None:
        """Drop an attempt that was taken out."""
        self.live_keys_.discard(key)

    def __len__(self) -> int:
        return len(self.live_keys_)
