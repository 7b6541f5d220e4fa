"""Delay retries with exponential backoff and full jitter.

Used by `RetryPolicy` for failed attempts of stages.
"""

from random import Random

# Upper bound of the first delay, and of any delay.
BACKOFF_BASE_MS = 5.0
BACKOFF_CAP_MS = 500.0


class Backoff:
    """Draw the delay of a retry from a range that doubles with each attempt."""

    def __init__(
        self,
        *,
        random: Random,
        base_ms: float = BACKOFF_BASE_MS,
        cap_ms: float = BACKOFF_CAP_MS,
    ) -> None:
        self.random = random
        self.base_ms = base_ms
        self.cap_ms = cap_ms

    def wait_ms(self, attempt: int) -> float:
        """Return a random delay after the given number of attempts."""
        # Beyond the cap a larger exponent could only overflow.
        ceiling = min(self.cap_ms, self.base_ms * 2.0 ** min(attempt - 1, 30))
        return self.random.uniform(0.0, ceiling)
