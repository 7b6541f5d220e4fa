"""Decide when a slow repeatable attempt gets a second one beside it.

Asked by the entry for stages that are marked for it. It learns from winning attempts;
until enough are known there is no hedge.
"""

from sortedcontainers import SortedList

# Winning attempts that are kept, and that are needed for a hedge.
SAMPLES_KEPT = 200
SAMPLES_NEEDED = 20
# Times of the quantile after which an attempt gets a second one.
SLOWER_TIMES = 1.5


class HedgePolicy:
    """Start a hedge once an attempt is slower than most others of its stage.

    Units: milliseconds.
    """

    def __init__(self, *, quantile: float = 0.95, floor_ms: float = 10.0) -> None:
        self.quantile = quantile
        self.floor_ms = floor_ms
        self.ordered_ = SortedList()
        self.arrivals_: list[float] = []
        self.next_ = 0

    def record(self, elapsed_ms: float) -> None:
        """Record how long a winning attempt took."""
        if len(self.arrivals_) < SAMPLES_KEPT:
            self.arrivals_.append(elapsed_ms)
        else:
            self.ordered_.remove(self.arrivals_[self.next_])
            self.arrivals_[self.next_] = elapsed_ms
            self.next_ = (self.next_ + 1) % SAMPLES_KEPT
        self.ordered_.add(elapsed_ms)

    def delay_ms(self) -> float | None:
        """Return after which wait to hedge, or None while too little is known."""
        if len(self.ordered_) < SAMPLES_NEEDED:
            return None
        index = min(len(self.ordered_) - 1, int(self.quantile * len(self.ordered_)))
        return max(self.floor_ms, self.ordered_[index] * SLOWER_TIMES)
