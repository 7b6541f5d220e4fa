"""Limit the rate of writes to the store, and lower it while the store is slow or fails.

Used by the claim writer of an entry (`leadford_server.pipelines.entry`). It affects
only the rate of writes.
"""

from leadford.common import TokenBucket

# An answer of the store that takes longer counts as slow.
SLOW_ANSWER_S = 0.25
# Smallest factor on the configured rate, and what a good answer and a slow or failed
# one multiply the factor by. They let the full rate return after few good answers.
RATE_FACTOR_MIN = 0.25
RECOVERY_FACTOR = 2.0
BACKOFF_FACTOR = 0.5


class WriteRateLimiter:
    """Limit writes to a rate that falls after slow or failed answers and recovers.

    Units: rate_per_s is writes per second.
    """

    def __init__(self, *, rate_per_s: float, burst: float = 2.0) -> None:
        self.rate_per_s = rate_per_s
        self.rate_factor_ = 1.0
        self.bucket_ = TokenBucket(rate_per_s=rate_per_s, burst=burst)

    def wait_s(self, now: float) -> float:
        """Return the seconds until the next write may start."""
        return self.bucket_.wait_s(now)

    def try_take(self, now: float) -> bool:
        """Consume the token for one write; return whether there was one."""
        return self.bucket_.try_take(now)

    def record_answer(self, elapsed_s: float, ok: bool) -> None:
        """Adjust the rate to the duration and the success of a write."""
        if not ok or elapsed_s > SLOW_ANSWER_S:
            self.rate_factor_ = max(RATE_FACTOR_MIN, self.rate_factor_ * BACKOFF_FACTOR)
        else:
            self.rate_factor_ = min(1.0, self.rate_factor_ * RECOVERY_FACTOR)
        self.bucket_.rate_per_s = self.rate_per_s * self.rate_factor_
