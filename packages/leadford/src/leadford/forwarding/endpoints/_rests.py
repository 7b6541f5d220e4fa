"""Track which endpoints have asked this entry to send no requests for some time.

An endpoint that refuses a request may say for how long it accepts no further ones from
this entry. This applies to this entry only, and also when the endpoint is listed again
in the meantime.
"""

from leadford.common import EndpointId


class EndpointRetryAfter:
    """Track how much longer endpoints accept no requests from this entry."""

    def __init__(self) -> None:
        self.until_by_id_: dict[EndpointId, float] = {}

    def record_retry_after(self, endpoint_id: EndpointId, until: float) -> None:
        """Record until when an endpoint accepts no requests; the latest applies."""
        self.until_by_id_[endpoint_id] = max(
            until, self.until_by_id_.get(endpoint_id, until)
        )

    def wait_s(self, endpoint_id: EndpointId, now: float) -> float:
        """Return the seconds until an endpoint accepts requests again."""
        return max(0.0, self.until_by_id_.get(endpoint_id, now) - now)

    def sweep(self, now: float) -> None:
        """Forget the endpoints that accept requests again."""
        for endpoint_id, until in list(self.until_by_id_.items()):
            if until <= now:
                del self.until_by_id_[endpoint_id]
