"""Space retries with exponential backoff and full jitter.

Used by the decision over failed attempts of stages.
"""

from random import Random

# Milliseconds of the first range and of the largest; neither was measured.
BASE_MS = 5.0
CAP_MS = 500.0


class Backoff:
    """Draw the wait before a retry from a range that doubles with each attempt."""

    def __init__(
        self, *, random: Random, base_ms: float = BASE_MS, cap_ms: float = CAP_MS
    ) -> None:
        self.random = random
        self.base_ms = base_ms
        self.cap_ms = cap_ms

    def wait_ms(self, attempt: int) -> float:
        """Return the wait after the given number of attempts."""
        # Past the cap a larger power only risks overflow.
        ceiling = min(self.cap_ms, self.base_ms * 2.0 ** min(attempt - 1, 30))
        return self.random.uniform(0.0, ceiling)
