"""Tell what an entry sees of the services whose streams callers may resume.

Owns the longest wait of callers that this entry has seen, and what follows from the
routes in force.
"""

from collections.abc import Iterable

from leadford.forwarding.endpoints import SoftwareVersion
from leadford.forwarding.history import StoreEpochs
from leadford.forwarding.routes import RouteTable, ServiceId, is_resumable_stream
from leadford.forwarding.streams import (
    SeenSoftware,
    longest_timeout_s,
    recorded_wait_s,
    stream_routes_key,
)
from leadford_server.forwarding._state import ForwardState


class SoftwareView:
    """See the versions, the routes and the waits of services."""

    def __init__(self, *, state: ForwardState, epochs: StoreEpochs) -> None:
        self.state = state
        self.epochs = epochs
        self.longest_wait_s_ = 0.0
        # The services of the first configuration that this process has had.
        self.first_ids_: frozenset[ServiceId] | None = None
        # What follows from the route table; worked out anew for another one.
        self.table_: RouteTable | None = None
        self.keys_by_id_: dict[ServiceId, str] = {}
        self.timeout_s_ = 0.0

    def service_ids(self) -> Iterable[ServiceId]:
        """Return the services whose streams callers may resume."""
        table = self.state.table_
        if table is not None and table is not self.table_:
            self._read_table(table)
        return self.keys_by_id_

    def listed(self, service_id: ServiceId) -> frozenset[SoftwareVersion]:
        """Return the versions that endpoints of a service are listed with."""
        listed = self.state.roster_.listed_software(service_id)
        return frozenset(software for software in listed if software is not None)

    def seen(self, service_id: ServiceId) -> SeenSoftware | None:
        """Return what this entry sees of a service, None before it has a listing."""
        if self.state.software_history_.began_at_ is None:
            return None
        if service_id not in self.service_ids():
            return None
        return SeenSoftware(
            service_id,
            self.listed(service_id),
            recorded_wait_s(max(self.longest_wait_s_, self.timeout_s_)),
            self.keys_by_id_[service_id],
            self.state.config_version(),
            self.epochs.current_,
        )

    def is_first(self, service_id: ServiceId) -> bool:
        """Return whether the first configuration had the service already."""
        return self.first_ids_ is not None and service_id in self.first_ids_

    def _read_table(self, table: RouteTable) -> None:
        self.table_ = table
        config = table.config
        service_ids = {
            part.service_id
            for route in config.routes
            if is_resumable_stream(route)
            for part in route.services
            if part.weight > 0.0
        }
        self.keys_by_id_ = {
            service_id: stream_routes_key(config, service_id)
            for service_id in sorted(service_ids)
        }
        self.timeout_s_ = longest_timeout_s(config)
        if self.first_ids_ is None:
            self.first_ids_ = frozenset(service_ids)
