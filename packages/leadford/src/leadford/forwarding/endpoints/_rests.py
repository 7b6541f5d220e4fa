"""Remember which endpoints want nothing from this entry for a while.

An endpoint that turns an entry away may say for how long it wants nothing from it. That
binds this entry alone, also where the endpoint is listed anew meanwhile.
"""

from leadford.common import EndpointId


class EndpointRests:
    """Say for how much longer an endpoint wants nothing from this entry."""

    def __init__(self) -> None:
        self.until_by_id_: dict[EndpointId, float] = {}

    def record_asked(self, endpoint_id: EndpointId, until: float) -> None:
        """Record until when an endpoint wants nothing; the latest moment holds."""
        self.until_by_id_[endpoint_id] = max(
            until, self.until_by_id_.get(endpoint_id, until)
        )

    def left_s(self, endpoint_id: EndpointId, now: float) -> float:
        """Return for how many seconds an endpoint wants nothing yet."""
        return max(0.0, self.until_by_id_.get(endpoint_id, now) - now)

    def sweep(self, now: float) -> None:
        """Forget rests that are over."""
        for endpoint_id, until in list(self.until_by_id_.items()):
            if until <= now:
                del self.until_by_id_[endpoint_id]
