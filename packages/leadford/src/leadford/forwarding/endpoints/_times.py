"""Estimate how long services take to the first byte of an answer.

Updated when answers begin, and read by admission. The duration of the stages before a
request is predicted elsewhere.
"""

from leadford.common import Ewma
from leadford.forwarding.routes import ServiceId

# Estimate before the first answer.
INITIAL_FIRST_BYTE_S = 0.15


class FirstByteTimes:
    """Average the time to the first byte for each service."""

    def __init__(self) -> None:
        self.seconds_by_service_: dict[ServiceId, Ewma] = {}

    def record(self, service_id: ServiceId, elapsed_s: float) -> None:
        """Record the time to the first byte of an answer."""
        self._estimate(service_id).update(elapsed_s)

    def expected_s(self, service_id: ServiceId) -> float:
        """Return the expected time to the first byte of a service, in seconds."""
        return self._estimate(service_id).value_

    def _estimate(self, service_id: ServiceId) -> Ewma:
        estimate = self.seconds_by_service_.get(service_id)
        if estimate is None:
            estimate = Ewma(initial=INITIAL_FIRST_BYTE_S)
            self.seconds_by_service_[service_id] = estimate
        return estimate
