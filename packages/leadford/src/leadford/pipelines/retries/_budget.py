"""Bound retries and hedges to a ratio of fresh work.

Held by each entry of the own interface: tokens are earned by fresh attempts. The budget
of forwarded requests (`leadford.forwarding.retries`) counts over a window in place of
tokens, because the platform's rule is written so.
"""

from leadford.common import check_fraction

# Retries that can be saved up.
BURST = 10.0


class RetryBudget:
    """Earn a fraction of a retry with each fresh attempt; spend one with each retry."""

    def __init__(self, *, ratio: float = 0.1, burst: float = BURST) -> None:
        self.ratio = ratio
        self.burst = burst
        self.tokens_ = burst

    def record_fresh(self) -> None:
        """Count one fresh attempt."""
        check_fraction("ratio", self.ratio)
        self.tokens_ = min(self.burst, self.tokens_ + self.ratio)

    def try_spend(self) -> bool:
        """Spend one retry if the budget allows it."""
        # Sums of the ratio fall short of whole retries by rounding errors.
        if self.tokens_ < 1.0 - 1e-9:
            return False
        self.tokens_ -= 1.0
        return True
