"""Remember what was decided for a request, for operators who ask why.

Read by `explain request`; nothing is decided by it.
"""

import msgspec

# Maximum number of kept steps of a request; later ones are dropped.
STEPS_MAX = 40


class TrailStep(msgspec.Struct, frozen=True):
    """Hold one decision.

    Units: at_ms counts from the request's arrival.
    """

    at_ms: float
    text: str


class Trail:
    """Hold the decisions of one request, bounded."""

    def __init__(self, *, started_at: float) -> None:
        self.started_at = started_at
        self.steps_: list[TrailStep] = []

    def add(self, now: float, text: str) -> None:
        """Add one decision."""
        if len(self.steps_) < STEPS_MAX:
            at_ms = round((now - self.started_at) * 1000.0, 1)
            self.steps_.append(TrailStep(at_ms, text))
