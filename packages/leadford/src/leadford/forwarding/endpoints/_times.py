"""Learn how long services take to the first byte of an answer.

Written when answers begin, read by admission. What the stages before a request take is
forecast apart.
"""

from leadford.common import Ewma
from leadford.forwarding.routes import ServiceId

# Seconds before any answer is known.
INITIAL_FIRST_BYTE_S = 0.15


class FirstByteTimes:
    """Average the time to the first byte, by service."""

    def __init__(self) -> None:
        self.seconds_by_service_: dict[ServiceId, Ewma] = {}

    def record(self, service_id: ServiceId, elapsed_s: float) -> None:
        """Record an answer that has begun."""
        self._estimate(service_id).update(elapsed_s)

    def expected_s(self, service_id: ServiceId) -> float:
        """Return what a service is expected to take, in seconds."""
        return self._estimate(service_id).value_

    def _estimate(self, service_id: ServiceId) -> Ewma:
        estimate = self.seconds_by_service_.get(service_id)
        if estimate is None:
            estimate = Ewma(initial=INITIAL_FIRST_BYTE_S)
            self.seconds_by_service_[service_id] = estimate
        return estimate
