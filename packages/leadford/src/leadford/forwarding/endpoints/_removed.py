"""Remember endpoints that were removed from the listing a short while ago.

Owned by the roster, which uses them where the listing is at fault: a store that was
away removes endpoints that work, and one that is restored from a copy has lost some
records.
"""

import msgspec

from leadford.common import EndpointId
from leadford.forwarding.endpoints._record import EndpointRecord
from leadford.forwarding.routes import ServiceId


class RemovedEndpoint(msgspec.Struct, frozen=True):
    """Hold the record of an endpoint that was removed, and when.

    `is_lost` where it is missing in a later epoch of the store than it was listed in:
    the store has lost its record, and nothing says that it left.

    Units: removed_at in seconds of the monotonic clock.
    """

    record: EndpointRecord
    removed_at: float
    is_lost: bool


class RemovedEndpoints:
    """Hold removed endpoints for as long as they may be used.

    Units: trusted_s in seconds.
    """

    def __init__(self, *, trusted_s: float) -> None:
        self.trusted_s = trusted_s
        self.by_id_: dict[EndpointId, RemovedEndpoint] = {}

    def add(self, record: EndpointRecord, now: float, *, is_lost: bool) -> None:
        """Remember an endpoint that was removed now."""
        endpoint_id = record.listed.endpoint_id
        self.by_id_[endpoint_id] = RemovedEndpoint(record, now, is_lost)

    def forget(self, endpoint_id: EndpointId) -> None:
        """Forget an endpoint that leaves, or that another start has ended."""
        self.by_id_.pop(endpoint_id, None)

    def take(self, endpoint_id: EndpointId) -> EndpointRecord | None:
        """Forget an endpoint that is listed again; return what is known of it."""
        removed = self.by_id_.pop(endpoint_id, None)
        return None if removed is None else removed.record

    def record(self, endpoint_id: EndpointId) -> EndpointRecord | None:
        """Return what is known of an endpoint that was removed."""
        removed = self.by_id_.get(endpoint_id)
        return None if removed is None else removed.record

    def ids(self) -> set[EndpointId]:
        """Return the ids of those that are remembered."""
        return set(self.by_id_)

    def trusted(self, service_id: ServiceId, now: float) -> list[RemovedEndpoint]:
        """Return those of a service that may be used, and forget older ones."""
        for endpoint_id, removed in list(self.by_id_.items()):
            if now - removed.removed_at >= self.trusted_s:
                del self.by_id_[endpoint_id]
        return [
            removed
            for removed in self.by_id_.values()
            if removed.record.listed.service_id == service_id
            and not removed.record.is_replaced_
        ]
