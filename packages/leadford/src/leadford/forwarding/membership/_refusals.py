"""Track for how long the store has been refusing calls of this entry by an answer.

An answer such as 429 or 503 shows that the store runs and is reached, so that it may
serve others. A connection that is reset or stays silent does not show this: a store
that is unavailable to all looks the same. `leadford.forwarding.routes` decides what an
entry without live peers does then. Calls that are served do not end a period: that the
store has confirmed the configuration meanwhile shows in the age of the confirmation.
"""

# Longest time between two refusals that count as one period. An entry that is refused
# calls again after about a second; a gap shows that the store did not answer meanwhile.
MAX_REFUSAL_GAP_S = 3.0


class StoreRefusals:
    """Keep since when the store has been refusing calls."""

    def __init__(self) -> None:
        self.began_at_: float | None = None
        self.refused_at_: float | None = None

    def record_refused(self, now: float) -> None:
        """Record that the store has just refused a call by an answer."""
        if self.refused_s(now) is None:
            self.began_at_ = now
        self.refused_at_ = now

    def refused_s(self, now: float) -> float | None:
        """Return for how long the store has been refusing calls.

        Units: seconds; None if it has refused none lately.
        """
        if self.began_at_ is None or now - self.refused_at_ > MAX_REFUSAL_GAP_S:
            return None
        return now - self.began_at_
