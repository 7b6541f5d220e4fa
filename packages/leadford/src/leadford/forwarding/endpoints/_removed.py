"""Keep endpoints that were recently removed from the listing.

Owned by the roster, which uses them where the listing is wrong: after an outage the
store may remove endpoints that still work, and a store that was restored from a copy
lacks some records.
"""

import msgspec

from leadford.common import EndpointId
from leadford.forwarding.endpoints._record import EndpointRecord
from leadford.forwarding.routes import ServiceId


class RemovedEndpoint(msgspec.Struct, frozen=True):
    """Hold the record of an endpoint that was removed, and when.

    `is_lost` is true where the endpoint is missing in a later epoch of the store than
    the one it was listed in: the store has lost its record, which does not mean that
    the endpoint has left. `may_work` is true there, and where an outage of the store
    explains the removal.

    Units: removed_at in seconds of the monotonic clock.
    """

    record: EndpointRecord
    removed_at: float
    is_lost: bool
    may_work: bool


class RemovedEndpoints:
    """Hold removed endpoints for as long as they may still be used.

    Units: removed_grace_s in seconds.
    """

    def __init__(self, *, removed_grace_s: float) -> None:
        self.removed_grace_s = removed_grace_s
        self.by_id_: dict[EndpointId, RemovedEndpoint] = {}

    def add(
        self, record: EndpointRecord, now: float, *, is_lost: bool, in_outage: bool
    ) -> None:
        """Add an endpoint that is removed now; it is held in any case.

        `in_outage` tells that an outage of the store explains the removal.
        """
        endpoint_id = record.listed.endpoint_id
        self.by_id_[endpoint_id] = RemovedEndpoint(
            record, now, is_lost, may_work=is_lost or in_outage
        )

    def forget(self, endpoint_id: EndpointId) -> None:
        """Drop an endpoint that is leaving, or that a later start has replaced."""
        self.by_id_.pop(endpoint_id, None)

    def take(self, endpoint_id: EndpointId) -> EndpointRecord | None:
        """Drop an endpoint that is listed again, and return its record."""
        removed = self.by_id_.pop(endpoint_id, None)
        return None if removed is None else removed.record

    def record(self, endpoint_id: EndpointId) -> EndpointRecord | None:
        """Return the record of a removed endpoint."""
        removed = self.by_id_.get(endpoint_id)
        return None if removed is None else removed.record

    def ids(self) -> set[EndpointId]:
        """Return the ids of the removed endpoints that are still held."""
        return set(self.by_id_)

    def trusted(self, service_id: ServiceId, now: float) -> list[RemovedEndpoint]:
        """Drop expired endpoints, and return those of a service that may be used."""
        for endpoint_id, removed in list(self.by_id_.items()):
            if now - removed.removed_at >= self.removed_grace_s:
                del self.by_id_[endpoint_id]
        return [
            removed
            for removed in self.by_id_.values()
            if removed.may_work
            and removed.record.listed.service_id == service_id
            and not removed.record.is_replaced_
        ]
