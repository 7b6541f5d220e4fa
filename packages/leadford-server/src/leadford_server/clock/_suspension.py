"""Detect suspensions of the host: one of two clocks stops during them."""

from collections.abc import Callable

# Minimum difference of the clocks that counts as a suspension: longer than the time
# between the two reads, even if the process waits for a processor.
SUSPENSION_MIN_S = 0.2


class SuspensionWatch:
    """Compare the monotonic clock with the one that includes suspensions.

    Units: both clocks return seconds.
    """

    def __init__(
        self, *, boot: Callable[[], float], steady: Callable[[], float]
    ) -> None:
        self.boot = boot
        self.steady = steady
        self.offset_s_: float | None = None

    def measure_suspension_s(self) -> float:
        """Return how long the host was suspended since the last call, or 0.

        Units: seconds.
        """
        offset_s = self.boot() - self.steady()
        previous_offset_s = self.offset_s_
        self.offset_s_ = offset_s
        if previous_offset_s is None or offset_s - previous_offset_s < SUSPENSION_MIN_S:
            return 0.0
        return offset_s - previous_offset_s
