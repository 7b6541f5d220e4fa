"""Measure the time between the events of a stream, as its engine makes them.

Owned by the relay of one attempt. Unlike the time to the first event, it does not
depend on what the engine has cached, which one entry alone cannot know.
"""

from statistics import median

# Maximum number of gaps that are kept of one stream, and the minimum number for a
# median.
MAX_GAPS = 64
MIN_GAPS = 3
# Minimum fraction of a gap that is spent waiting for the engine. Otherwise the gap may
# be due to a caller that reads slowly.
WAITED_FRACTION = 0.9


class EventGaps:
    """Collect the gaps between the reads of one stream."""

    def __init__(self) -> None:
        self.gaps_s_: list[float] = []
        self.read_at_: float | None = None

    def record_read(self, began_at: float, now: float) -> None:
        """Record a read that began to wait at `began_at` and returned data now."""
        last_at = self.read_at_
        self.read_at_ = now
        if last_at is None or len(self.gaps_s_) >= MAX_GAPS:
            return
        gap_s = now - last_at
        if gap_s > 0.0 and now - began_at >= WAITED_FRACTION * gap_s:
            self.gaps_s_.append(gap_s)

    def usual_s(self) -> float | None:
        """Return the median gap, or None if too few gaps are known.

        Single pauses hardly change the median.

        Units: seconds.
        """
        return median(self.gaps_s_) if len(self.gaps_s_) >= MIN_GAPS else None
