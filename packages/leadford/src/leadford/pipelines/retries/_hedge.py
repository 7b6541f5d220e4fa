"""Decide when a slow repeatable attempt is hedged by a second one.

Used by the entry for stages that are marked for it. The delay follows from the times of
winning attempts; there is no hedge until enough of them are known.
"""

from sortedcontainers import SortedList

# Number of winning attempts that are kept, and the number that a hedge requires.
MAX_SAMPLES = 200
MIN_SAMPLES = 20
# Multiple of the quantile after which an attempt is hedged.
QUANTILE_FACTOR = 1.5


class HedgePolicy:
    """Start a hedge once an attempt is slower than most others of its stage.

    Units: milliseconds.
    """

    def __init__(self, *, quantile: float = 0.95, floor_ms: float = 10.0) -> None:
        self.quantile = quantile
        self.floor_ms = floor_ms
        self.sorted_ms_ = SortedList()
        self.recent_ms_: list[float] = []
        self.oldest_index_ = 0

    def record(self, elapsed_ms: float) -> None:
        """Record how long a winning attempt took."""
        if len(self.recent_ms_) < MAX_SAMPLES:
            self.recent_ms_.append(elapsed_ms)
        else:
            self.sorted_ms_.remove(self.recent_ms_[self.oldest_index_])
            self.recent_ms_[self.oldest_index_] = elapsed_ms
            self.oldest_index_ = (self.oldest_index_ + 1) % MAX_SAMPLES
        self.sorted_ms_.add(elapsed_ms)

    def delay_ms(self) -> float | None:
        """Return the delay before a hedge, or None while too few samples are known."""
        if len(self.sorted_ms_) < MIN_SAMPLES:
            return None
        index = min(len(self.sorted_ms_) - 1, int(self.quantile * len(self.sorted_ms_)))
        return max(self.floor_ms, self.sorted_ms_[index] * QUANTILE_FACTOR)
