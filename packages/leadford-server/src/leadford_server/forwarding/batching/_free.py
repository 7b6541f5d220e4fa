"""Free results at endpoints once they have no readers left.

Results are collected briefly, so that one request to an endpoint frees many. Room
counts as free only after the endpoint has answered. A request that is lost is not
repeated, because a result expires after its retention.
"""

import asyncio
from collections.abc import Callable, Coroutine

from leadford.common import EndpointId
from leadford.forwarding.batching import CapacityTable, GroupId
from leadford.forwarding.endpoints import EndpointRecord
from leadford.forwarding.routes import ResultHandle, Service
from leadford_server.forwarding._heads import record_head
from leadford_server.forwarding._state import ForwardState
from leadford_server.forwarding.endpoints import ExchangeBroken

# How long results are collected before one request frees them.
FREE_DELAY_S = 0.004
# How long to wait for a connection and the answer.
FREE_TIMEOUT_S = 1.0


class ResultReleaser:
    """Free results, and report when room becomes free.

    `on_free` is called with the group that has more free room.
    """

    def __init__(
        self,
        *,
        state: ForwardState,
        capacities: CapacityTable,
        spawn: Callable[[Coroutine[None, None, None]], None],
        on_free: Callable[[GroupId], None],
    ) -> None:
        self.state = state
        self.capacities = capacities
        self.spawn = spawn
        self.on_free = on_free
        self.pending_by_endpoint_id_: dict[EndpointId, list[ResultHandle]] = {}

    def release(self, endpoint_id: EndpointId, handles: list[ResultHandle]) -> None:
        """Free results of an endpoint after a short delay."""
        due = self.pending_by_endpoint_id_.setdefault(endpoint_id, [])
        if not due:
            self.state.loop.call_later(FREE_DELAY_S, self._send, endpoint_id)
        due += handles

    def _send(self, endpoint_id: EndpointId) -> None:
        handles = self.pending_by_endpoint_id_.pop(endpoint_id, [])
        record = self.state.roster_.record(endpoint_id)
        if not handles or record is None:
            return
        if self._skips_release(record):
            return
        service = self.state.service(record.listed.service_id)
        if service is not None:
            self.spawn(self._free(service, record, handles))

    def _skips_release(self, record: EndpointRecord) -> bool:
        """Tell whether results at an endpoint are left to expire.

        Nothing is sent to an evacuated hall or to an endpoint that asked for a pause,
        and the requests that a rate-limited endpoint takes are kept for calls that make
        results.
        """
        if self.state.roster_.halls_.is_evacuated(record.listed.hall):
            return True
        if self.state.send_delay_s(record) > 0.0:
            return True
        return self.state.endpoint_limits_.is_limited(record.listed.endpoint_id)

    async def _free(
        self, service: Service, record: EndpointRecord, handles: list[ResultHandle]
    ) -> None:
        endpoint_id = record.listed.endpoint_id
        state = self.state
        outbound = state.codec.release_call(handles, endpoint_id)
        sent_at = state.now()
        try:
            async with asyncio.timeout(FREE_TIMEOUT_S):
                connection = await state.pool_.acquire(record, service.connections_max)
                try:
                    _, head = await connection.fetch(outbound)
                finally:
                    state.pool_.release(record, connection)
        except (ExchangeBroken, TimeoutError):
            return
        record_head(state, record, head, sent_at=sent_at)
        # Count the room as free only now, so that no other call uses it earlier.
        capacity = self.capacities.capacity_by_id_.get(endpoint_id)
        if capacity is not None:
            for handle in handles:
                capacity.free(handle)
        self.on_free(state.group_map_.group(service.service_id, record.listed.hall))
