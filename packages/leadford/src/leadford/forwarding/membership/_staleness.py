"""Decide when a peer is asked for what it knows better.

Held for the configuration and for the listing of endpoints, which the store tells too.
An entry that knows nothing asks at once.
"""

# Seconds for which a peer must know better before it is asked; commit dceba7c, not
# measured.
BEHIND_S = 0.3


class Staleness:
    """Follow for how long peers have known better."""

    def __init__(self) -> None:
        self.since_: float | None = None

    def must_ask(self, known: int, heard: int, now: float) -> bool:
        """Tell whether to ask a peer that says it knows a version, and begin anew."""
        if heard <= known:
            return False
        if self.since_ is None:
            self.since_ = now
        if known != 0 and now - self.since_ < BEHIND_S:
            return False
        self.since_ = None
        return True
