"""Provide moving averages, rates and token buckets.

Rules of both programs use them; callers pass in the time.
"""

from math import exp


class Ewma:
    """Average observations with exponentially decreasing weights."""

    def __init__(self, *, initial: float, weight: float = 0.1) -> None:
        self.initial = initial
        self.weight = weight
        self.value_ = initial
        self.count_ = 0

    def update(self, observation: float) -> None:
        """Record one observation."""
        self.count_ += 1
        # The first observations count as a plain mean, so that a wrong initial
        # value soon has little effect.
        weight = max(self.weight, 1.0 / (self.count_ + 1))
        self.value_ += weight * (observation - self.value_)


class EventRate:
    """Average the rate of events over about `time_constant_s`.

    Units: seconds; events per second.
    """

    def __init__(self, *, time_constant_s: float) -> None:
        self.time_constant_s = time_constant_s
        self.per_s_ = 0.0
        self.updated_at_ = 0.0

    def record(self, now: float) -> None:
        """Count one event."""
        self.per_s_ = self.per_s(now) + 1.0 / self.time_constant_s
        self.updated_at_ = now

    def set(self, per_s: float, now: float) -> None:
        """Set the rate, for example after a time in which no events were counted."""
        self.per_s_ = per_s
        self.updated_at_ = now

    def per_s(self, now: float) -> float:
        """Return the rate."""
        elapsed_s = max(0.0, now - self.updated_at_)
        return self.per_s_ * exp(-elapsed_s / self.time_constant_s)


class TokenBucket:
    """Allow a rate of events with a bounded burst."""

    def __init__(self, *, rate_per_s: float, burst: float) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.tokens_ = burst
        self.updated_at_: float | None = None

    def refill(self, now: float) -> None:
        """Add the tokens that have accumulated since the last call."""
        if self.updated_at_ is not None:
            elapsed = max(0.0, now - self.updated_at_)
            self.tokens_ = min(self.burst, self.tokens_ + elapsed * self.rate_per_s)
        self.updated_at_ = now

    def try_take(self, now: float, amount: float = 1.0) -> bool:
        """Take tokens if there are enough, and tell whether they were taken."""
        self.refill(now)
        if self.tokens_ < amount:
            return False
        self.tokens_ -= amount
        return True

    def wait_s(self, now: float, amount: float = 1.0) -> float:
        """Return the seconds until the amount can be taken."""
        self.refill(now)
        return max(0.0, (amount - self.tokens_) / self.rate_per_s)
