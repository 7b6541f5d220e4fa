"""Hold back work that can wait while its pool is full.

Asked by the entry for pipelines that are marked so, where the objective is cost. What
is held back takes no slot and no queue; it goes on in time in any case.
"""

# Attempts per slot from which a pool counts as full.
FULL_LOAD = 0.8
# Times of what work needs that must be left for it to wait.
SLACK = 2.5


class Deferral:
    """Let patient work wait at the entry, where it takes no slot and no queue.

    Units: load is attempts per slot; times are milliseconds. Work goes on at the latest
    when what is left is `slack` times what it needs.
    """

    def __init__(self, *, full_load: float = FULL_LOAD, slack: float = SLACK) -> None:
        self.full_load = full_load
        self.slack = slack

    def holds_back(
        self, loads: list[float], *, remaining_ms: float, needed_ms: float
    ) -> bool:
        """Tell whether an attempt waits, given the load of each candidate."""
        if not loads or remaining_ms <= self.slack * needed_ms:
            return False
        return sum(loads) / len(loads) >= self.full_load
