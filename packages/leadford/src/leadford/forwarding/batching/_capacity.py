"""Follow the calls that this process has at each endpoint, and the room of its results.

Owned by the scheduler of batches, read by the rule that fills calls. One endpoint
stands in `_endpoint_capacity`; here stands what other entries still have there, and in
which order endpoints get calls.
"""

from collections.abc import Iterable

import msgspec

from leadford.common import EndpointId, EntryId, HallId
from leadford.forwarding.batching._endpoint_capacity import EndpointCapacity
from leadford.forwarding.endpoints import EndpointRecord
from leadford.forwarding.routes import PieceLimits

# Seconds that what another entry still has at an endpoint is believed.
FOREIGN_FRESH_S = 0.7


class CapacityUse(msgspec.Struct, frozen=True):
    """Say what an entry that no longer schedules a group still has there."""

    endpoint_id: EndpointId
    result_bytes: int
    calls: int


class _Foreign(msgspec.Struct, frozen=True):
    """Hold what another entry said of its capacities, and when."""

    uses_by_id: dict[EndpointId, CapacityUse]
    heard_at: float


class CapacityTable:
    """Choose where the next batch of a service goes."""

    def __init__(self) -> None:
        self.capacity_by_id_: dict[EndpointId, EndpointCapacity] = {}
        self.foreign_by_entry_: dict[EntryId, _Foreign] = {}

    def uses(self, now: float) -> list[CapacityUse]:
        """Return what this process has at endpoints: calls, and results by size."""
        found = []
        for endpoint_id, capacity in self.capacity_by_id_.items():
            used_bytes = capacity.limits.room_bytes - capacity.room_bytes(now)
            if capacity.calls_ > 0 or used_bytes > 0:
                found.append(CapacityUse(endpoint_id, used_bytes, capacity.calls_))
        return found

    def record_foreign(
        self, entry_id: EntryId, uses: Iterable[CapacityUse], now: float
    ) -> None:
        """Record what another entry still has at endpoints of groups it left."""
        uses_by_id = {use.endpoint_id: use for use in uses}
        if uses_by_id:
            self.foreign_by_entry_[entry_id] = _Foreign(uses_by_id, now)
        else:
            self.foreign_by_entry_.pop(entry_id, None)

    def _foreign(self, endpoint_id: EndpointId, now: float) -> list[CapacityUse]:
        return [
            foreign.uses_by_id[endpoint_id]
            for foreign in self.foreign_by_entry_.values()
            if endpoint_id in foreign.uses_by_id
            and now - foreign.heard_at < FOREIGN_FRESH_S
        ]

    def room_left(
        self, endpoint_id: EndpointId, limits: PieceLimits, now: float
    ) -> int:
        """Return the room that the results of all entries leave at an endpoint."""
        foreign = sum(use.result_bytes for use in self._foreign(endpoint_id, now))
        return self.capacity(endpoint_id, limits).room_bytes(now) - foreign

    def is_free(self, endpoint_id: EndpointId, limits: PieceLimits, now: float) -> bool:
        """Tell whether an endpoint may get a call now, those of others counted."""
        capacity = self.capacity(endpoint_id, limits)
        foreign = sum(use.calls for use in self._foreign(endpoint_id, now))
        return capacity.is_free(now) and capacity.calls_ + foreign < limits.slots

    def capacity(
        self, endpoint_id: EndpointId, limits: PieceLimits
    ) -> EndpointCapacity:
        """Return the capacity of an endpoint."""
        capacity = self.capacity_by_id_.get(endpoint_id)
        if capacity is None:
            capacity = EndpointCapacity(endpoint_id=endpoint_id, limits=limits)
            self.capacity_by_id_[endpoint_id] = capacity
        capacity.limits = limits
        return capacity

    def ranked(
        self,
        records: list[EndpointRecord],
        limits: PieceLimits,
        *,
        waiting: int,
        now: float,
        moving_s_by_hall: dict[HallId, float] | None = None,
    ) -> list[EndpointRecord]:
        """Return the free endpoints that should get a call now, the best first.

        Endpoints are ordered by when they are expected to finish another call, and
        by what has to move to their hall. The best of them take what waits; one that
        is busy is waited for if it is among them.
        """
        moving_s = moving_s_by_hall or {}
        trusted = [record for record in records if not record.is_suspect(now)]
        pieces = max(1, min(limits.batch, waiting))
        scored = [
            (
                self._finish_s(record, limits, pieces, now)
                + moving_s.get(record.listed.hall, 0.0),
                number,
                record,
            )
            for number, record in enumerate(trusted or records)
        ]
        found = []
        carried = 0
        for _, _, record in sorted(scored, key=lambda item: item[:2]):
            if carried >= waiting:
                break
            carried += limits.batch
            if self.is_free(record.listed.endpoint_id, limits, now):
                found.append(record)
        return found

    def _finish_s(
        self, record: EndpointRecord, limits: PieceLimits, pieces: int, now: float
    ) -> float:
        capacity = self.capacity(record.listed.endpoint_id, limits)
        duration_s = self._duration_s(record, limits, pieces, now)
        wait_s = max(0.0, capacity.busy_until_ - now) if capacity.calls_ else 0.0
        wait_s += record.waiting_elsewhere(now) * duration_s
        wait_s = max(wait_s, capacity.paused_until_ - now)
        return wait_s + duration_s

    def _duration_s(
        self, record: EndpointRecord, limits: PieceLimits, pieces: int, now: float
    ) -> float:
        """Return how long a call takes at an endpoint."""
        return limits.duration_ms(pieces) / 1_000.0 * max(1.0, record.slowness(now))

    def wait_s(
        self,
        records: list[EndpointRecord],
        limits: PieceLimits,
        *,
        waiting: int,
        now: float,
    ) -> float:
        """Return when a piece that joins behind the waiting ones is in its call.

        Units: seconds; infinite without an endpoint.
        """
        capacities = [
            self.capacity(record.listed.endpoint_id, limits) for record in records
        ]
        if not capacities:
            return float("inf")
        lefts = [
            max(capacity.busy_until_ - now if capacity.calls_ else 0.0, 0.0)
            for capacity in capacities
        ]
        rounds = waiting // (limits.batch * len(capacities))
        return min(lefts) + rounds * limits.full_call_s

    def room_bytes(
        self, records: list[EndpointRecord], limits: PieceLimits, now: float
    ) -> int:
        """Return the room that is left at all of the endpoints together."""
        return sum(
            max(0, self.room_left(record.listed.endpoint_id, limits, now))
            for record in records
        )

    def retain(self, known: set[EndpointId]) -> None:
        """Forget the capacities of endpoints that left, once their calls have ended."""
        for endpoint_id, capacity in list(self.capacity_by_id_.items()):
            if endpoint_id not in known and capacity.calls_ == 0:
                del self.capacity_by_id_[endpoint_id]
