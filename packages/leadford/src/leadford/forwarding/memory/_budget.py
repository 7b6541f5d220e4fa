"""Derive the bytes that may be held for others from the memory limit of a process.

The thresholds differ (hysteresis), so that a process near its budget does not start and
stop refusing with each request.
"""

import msgspec

# Memory of the process itself: interpreter, libraries, configuration, connections.
RESERVE_BYTES = 80_000_000
# Fraction of the rest that may be held. The remainder is left for copies that are made
# while bytes are joined, and for memory that the allocator does not return.
HELD_FRACTION = 0.6
# Below this, a few bodies of the usual size would not fit.
MIN_BUDGET_BYTES = 16_000_000
# Fractions of the budget. Answers to requests that were admitted below the threshold
# for refusals have to fit above it, and at least one large answer above the threshold
# for pauses.
REFUSE_FRACTION = 0.6
RESUME_FRACTION = 0.5
PAUSE_FRACTION = 0.7


class MemoryBudget(msgspec.Struct, frozen=True):
    """Hold how many bytes may be held for callers and endpoints, and the thresholds.

    New work is refused from `refuse_bytes` on, until no more than `resume_bytes` are
    held. From `pause_bytes` on, large holders are read one after the other.
    """

    allowed_bytes: int

    @classmethod
    def from_limit(cls, limit_bytes: int | None) -> "MemoryBudget | None":
        """Return the budget for the memory limit of the process; None without one."""
        if limit_bytes is None:
            return None
        left_bytes = max(0, limit_bytes - RESERVE_BYTES)
        return cls(max(MIN_BUDGET_BYTES, int(HELD_FRACTION * left_bytes)))

    @property
    def refuse_bytes(self) -> int:
        """Return the held bytes from which new work is refused."""
        return int(REFUSE_FRACTION * self.allowed_bytes)

    @property
    def resume_bytes(self) -> int:
        """Return the held bytes at which new work is taken again."""
        return int(RESUME_FRACTION * self.allowed_bytes)

    @property
    def pause_bytes(self) -> int:
        """Return the held bytes from which holders of many bytes wait."""
        return int(PAUSE_FRACTION * self.allowed_bytes)
