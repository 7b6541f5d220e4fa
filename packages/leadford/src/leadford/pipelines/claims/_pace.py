"""Pace writes to the store, slower while it is slow or refusing.

Held by the claim writer of an entry (`leadford_server.pipelines.entry`). It changes the
rate of writes only.
"""

from leadford.common import TokenBucket

# Seconds after which an answer of the store counts as slow.
SLOW_ANSWER_S = 0.25
# Least part of the budgeted rate, and the factors after a good and after a bad answer.
# With a floor of 0.1 and a recovery of 1.1 the rate took 24 good answers to come back
# (a test with processes).
PACE_FLOOR = 0.25
RECOVERY = 2.0
BACKOFF = 0.5


class WritePace:
    """Allow writes at a budgeted rate that shrinks with trouble and recovers.

    Units: rate_per_s is writes a second.
    """

    def __init__(self, *, rate_per_s: float, burst: float = 2.0) -> None:
        self.rate_per_s = rate_per_s
        self.factor_ = 1.0
        self.bucket_ = TokenBucket(rate_per_s=rate_per_s, burst=burst)

    def wait_s(self, now: float) -> float:
        """Return the seconds until the next write may start."""
        return self.bucket_.wait_s(now)

    def try_take(self, now: float) -> bool:
        """Take the right to one write."""
        return self.bucket_.try_take(now)

    def record_answer(self, elapsed_s: float, ok: bool) -> None:
        """Adapt to how the store answered."""
        if not ok or elapsed_s > SLOW_ANSWER_S:
            self.factor_ = max(PACE_FLOOR, self.factor_ * BACKOFF)
        else:
            self.factor_ = min(1.0, self.factor_ * RECOVERY)
        self.bucket_.rate_per_s = self.rate_per_s * self.factor_
