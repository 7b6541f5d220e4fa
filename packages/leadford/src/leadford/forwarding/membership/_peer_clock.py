"""Convert times of a peer's monotonic clock to the clock of this process.

The two clocks share only their rate. The fastest message gives the best estimate of
their offset. So a message that waited in a queue for seconds counts as that old, not as
if it had been sent when it arrived.
"""


class PeerClock:
    """Track the minimum offset of this process's clock from that of one peer."""

    def __init__(self) -> None:
        self.min_offset_s_: float | None = None

    def record(self, sent_at: float, received_at: float) -> None:
        """Record when a message was sent, by the peer's clock, and when it arrived."""
        offset_s = received_at - sent_at
        if self.min_offset_s_ is None or offset_s < self.min_offset_s_:
            self.min_offset_s_ = offset_s

    def to_local_time(self, moment: float) -> float:
        """Convert a time of the peer's clock to the clock of this process.

        Units: seconds of the monotonic clock. A message must have been recorded.
        """
        return moment + self.min_offset_s_
