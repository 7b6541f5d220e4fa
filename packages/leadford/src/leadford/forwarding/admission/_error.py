"""Average by how much the forecasts of a route were too short, for as long as it holds.

Read and updated by admission. Only admitted requests show how long they took. So an
error that lets admission refuse them all would never change; without news it fades.
"""

from leadford.common import Ewma

# Weight of the newest error.
ERROR_WEIGHT = 0.15
# Time without an answer after which the error fades, and the time in which it halves.
ERROR_FRESH_S = 1.0
ERROR_HALF_LIFE_S = 1.0


class ForecastError:
    """Hold the average error of one route.

    Units: seconds.
    """

    def __init__(self) -> None:
        self.average_s_ = Ewma(initial=0.0, weight=ERROR_WEIGHT)
        self.updated_at_ = 0.0

    def value_s(self, now: float) -> float:
        """Return the error that a forecast is corrected by."""
        old_s = max(0.0, now - self.updated_at_ - ERROR_FRESH_S)
        return self.average_s_.value_ * 0.5 ** (old_s / ERROR_HALF_LIFE_S)

    def update(self, error_s: float, now: float) -> None:
        """Record the error of one forecast."""
        self.average_s_.value_ = self.value_s(now)
        self.average_s_.update(error_s)
        self.updated_at_ = now
