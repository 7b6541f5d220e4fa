"""Limit retries and hedges to a ratio of first attempts.

Each entry holds one token bucket for leadford's own interface; first attempts add
tokens. The budget of forwarded requests (`leadford.forwarding.retries`) counts over a
window instead, because the rule of the platform is defined that way.
"""

from leadford.common import check_fraction

# Capacity of the token bucket.
MAX_SAVED_RETRIES = 10.0


class RetryBudget:
    """Add a fraction of a token per first attempt; take one token per retry."""

    def __init__(self, *, ratio: float = 0.1, burst: float = MAX_SAVED_RETRIES) -> None:
        self.ratio = ratio
        self.burst = burst
        self.tokens_ = burst

    def record_fresh(self) -> None:
        """Add the tokens of one first attempt."""
        check_fraction("ratio", self.ratio)
        self.tokens_ = min(self.burst, self.tokens_ + self.ratio)

    def try_spend(self) -> bool:
        """Take one token if there is one, and return whether there was."""
        # Rounding errors keep sums of the ratio slightly below whole tokens.
        if self.tokens_ < 1.0 - 1e-9:
            return False
        self.tokens_ -= 1.0
        return True
