"""Translate moments of a peer's monotonic clock into those of this process.

Two clocks have nothing in common but their pace. The message that came the fastest
shows the difference best. So what stood in a queue for seconds counts as that old, and
not as if it had been said when it came.
"""


class PeerClock:
    """Know the least difference between the own clock and that of one peer."""

    def __init__(self) -> None:
        self.min_offset_s_: float | None = None

    def record(self, sent_at: float, received_at: float) -> None:
        """Record when a message was sent, by the peer's clock, and when it came."""
        offset_s = received_at - sent_at
        if self.min_offset_s_ is None or offset_s < self.min_offset_s_:
            self.min_offset_s_ = offset_s

    def own_moment(self, moment: float) -> float:
        """Return a moment of the peer's clock by the own one.

        Units: seconds of the monotonic clock. A message must have been recorded.
        """
        return moment + self.min_offset_s_
