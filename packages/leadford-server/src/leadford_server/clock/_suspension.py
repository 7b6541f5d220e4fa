"""Notice that the host was suspended, by two clocks of which one stood still."""

from collections.abc import Callable

# Seconds by which the clocks must part to count as a suspension: more than reading them
# one after the other takes while the process waits for a processor.
SUSPENDED_LEAST_S = 0.2


class SuspensionWatch:
    """Compare the steady clock with the one that counts suspensions.

    Units: both clocks return seconds.
    """

    def __init__(
        self, *, boot: Callable[[], float], steady: Callable[[], float]
    ) -> None:
        self.boot = boot
        self.steady = steady
        self.offset_s_: float | None = None

    def slept_s(self) -> float:
        """Return how long the host was suspended since the last call, 0 if it was not.

        Units: seconds.
        """
        offset_s = self.boot() - self.steady()
        before_s = self.offset_s_
        self.offset_s_ = offset_s
        if before_s is None or offset_s - before_s < SUSPENDED_LEAST_S:
            return 0.0
        return offset_s - before_s
