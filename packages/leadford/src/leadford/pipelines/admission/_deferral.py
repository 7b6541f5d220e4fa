"""Defer attempts that can wait while the pool of their stage is full.

Used by the entry for pipelines with `can_wait`, where the objective is cost. A deferred
attempt takes no slot and no place in a queue, and continues in time for its deadline.
"""

# Mean attempts per slot from which a pool counts as full.
FULL_LOAD_FRACTION = 0.8
# Remaining time, as a multiple of the needed time, that a deferral requires.
SLACK_FACTOR = 2.5


class Deferral:
    """Defer attempts at the entry while the endpoints of their pool are full.

    An attempt continues at the latest when its remaining time is `slack_factor` times
    the time it needs.

    Units: load is attempts per slot; times are milliseconds.
    """

    def __init__(
        self,
        *,
        full_load: float = FULL_LOAD_FRACTION,
        slack_factor: float = SLACK_FACTOR,
    ) -> None:
        self.full_load = full_load
        self.slack_factor = slack_factor

    def holds_back(
        self, loads: list[float], *, remaining_ms: float, needed_ms: float
    ) -> bool:
        """Return whether an attempt is deferred, given the load of each candidate."""
        if not loads or remaining_ms <= self.slack_factor * needed_ms:
            return False
        return sum(loads) / len(loads) >= self.full_load
