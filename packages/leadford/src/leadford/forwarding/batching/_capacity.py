"""Track the calls and the room of results that entries occupy at each endpoint.

Owned by the scheduler of batches, read by the rule that fills calls. This module tracks
what other entries still occupy and ranks the endpoints for the next call; the state of
one endpoint is in `_endpoint_capacity`.
"""

from collections.abc import Iterable

import msgspec

from leadford.common import EndpointId, EntryId, HallId
from leadford.forwarding.batching._endpoint_capacity import EndpointCapacity
from leadford.forwarding.endpoints import EndpointRecord, estimate_paces
from leadford.forwarding.routes import PieceLimits

# Reports of what another entry occupies at endpoints expire after this age.
FOREIGN_REPORT_MAX_AGE_S = 0.7


class CapacityUse(msgspec.Struct, frozen=True):
    """Hold what an entry that no longer schedules a group still occupies there."""

    endpoint_id: EndpointId
    result_bytes: int
    calls: int


def sum_uses(uses: Iterable[CapacityUse]) -> list[CapacityUse]:
    """Return one use for each endpoint, with all that is used there."""
    sums: dict[EndpointId, CapacityUse] = {}
    for use in uses:
        known = sums.get(use.endpoint_id, CapacityUse(use.endpoint_id, 0, 0))
        sums[use.endpoint_id] = CapacityUse(
            use.endpoint_id,
            known.result_bytes + use.result_bytes,
            known.calls + use.calls,
        )
    return list(sums.values())


class _ForeignReport(msgspec.Struct, frozen=True):
    """Hold what another entry reported to occupy, and when the report arrived."""

    uses_by_id: dict[EndpointId, CapacityUse]
    received_at: float


class CapacityTable:
    """Rank the endpoints of a service for its next batch."""

    def __init__(self) -> None:
        self.capacity_by_id_: dict[EndpointId, EndpointCapacity] = {}
        self.foreign_reports_by_entry_: dict[EntryId, _ForeignReport] = {}

    def occupied_capacity(self, now: float) -> list[CapacityUse]:
        """Return the calls and the result bytes that this process has at endpoints."""
        found = []
        for endpoint_id, capacity in self.capacity_by_id_.items():
            used_bytes = capacity.limits.room_bytes - capacity.room_bytes(now)
            if capacity.calls_ > 0 or used_bytes > 0:
                found.append(CapacityUse(endpoint_id, used_bytes, capacity.calls_))
        return found

    def record_foreign_use(
        self, entry_id: EntryId, uses: Iterable[CapacityUse], now: float
    ) -> None:
        """Record what another entry occupies in groups that it no longer schedules."""
        uses_by_id = {use.endpoint_id: use for use in uses}
        if uses_by_id:
            self.foreign_reports_by_entry_[entry_id] = _ForeignReport(uses_by_id, now)
        else:
            self.foreign_reports_by_entry_.pop(entry_id, None)

    def _foreign(self, endpoint_id: EndpointId, now: float) -> list[CapacityUse]:
        return [
            foreign.uses_by_id[endpoint_id]
            for foreign in self.foreign_reports_by_entry_.values()
            if endpoint_id in foreign.uses_by_id
            and now - foreign.received_at < FOREIGN_REPORT_MAX_AGE_S
        ]

    def room_left(
        self, endpoint_id: EndpointId, limits: PieceLimits, now: float
    ) -> int:
        """Return the room left at an endpoint after the results of all entries."""
        foreign = sum(use.result_bytes for use in self._foreign(endpoint_id, now))
        return self.capacity(endpoint_id, limits).room_bytes(now) - foreign

    def is_free(
        self,
        endpoint_id: EndpointId,
        limits: PieceLimits,
        now: float,
        *,
        calls_ahead: int = 0,
    ) -> bool:
        """Tell whether an endpoint may get a call now, with all entries' calls."""
        capacity = self.capacity(endpoint_id, limits)
        if not capacity.is_free(now, calls_ahead=calls_ahead):
            return False
        foreign = sum(use.calls for use in self._foreign(endpoint_id, now))
        return capacity.calls_ + foreign < limits.slots + calls_ahead

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

    def rank_endpoints(
        self,
        records: list[EndpointRecord],
        limits: PieceLimits,
        *,
        waiting: int,
        now: float,
        moving_cost_s_by_hall: dict[HallId, float] | None = None,
        finish_s_by_id: dict[EndpointId, float] | None = None,
        calls_ahead: int = 0,
    ) -> list[EndpointRecord]:
        """Return the free endpoints that should get a call now, the best first.

        Endpoints are ordered by the time at which they are expected to finish another
        call, plus the cost of moving inputs to their hall. The waiting pieces are
        assigned to the best endpoints; pieces assigned to a busy one wait for it.
        `finish_s_by_id` is what the method of that name returns, if it is known, and
        `calls_ahead` the number of calls that may wait at an endpoint.
        """
        moving_cost_s = moving_cost_s_by_hall or {}
        if finish_s_by_id is None:
            finish_s_by_id = self.finish_s_by_id(
                records, limits, waiting=waiting, now=now
            )
        scored = [
            (
                finish_s_by_id[record.listed.endpoint_id]
                + moving_cost_s.get(record.listed.hall, 0.0),
                number,
                record,
            )
            for number, record in enumerate(records)
            if record.listed.endpoint_id in finish_s_by_id
        ]
        found = []
        assigned = 0
        for _, _, record in sorted(scored, key=lambda item: item[:2]):
            if assigned >= waiting:
                break
            assigned += limits.batch
            if self.is_free(
                record.listed.endpoint_id, limits, now, calls_ahead=calls_ahead
            ):
                found.append(record)
        return found

    def finish_s_by_id(
        self,
        records: list[EndpointRecord],
        limits: PieceLimits,
        *,
        waiting: int,
        now: float,
    ) -> dict[EndpointId, float]:
        """Return in how long each endpoint is expected to finish another call.

        Suspect endpoints are left out unless all are suspect.

        Units: seconds.
        """
        trusted = [record for record in records if not record.is_suspect(now)]
        pieces = max(1, min(limits.batch, waiting))
        return {
            record.listed.endpoint_id: self._finish_s(record, limits, pieces, pace, now)
            for record, pace in _call_paces(trusted or records, now)
        }

    def _finish_s(
        self,
        record: EndpointRecord,
        limits: PieceLimits,
        pieces: int,
        pace: float,
        now: float,
    ) -> float:
        capacity = self.capacity(record.listed.endpoint_id, limits)
        duration_s = limits.duration_ms(pieces) / 1_000.0 * pace
        wait_s = max(0.0, capacity.busy_until_ - now) if capacity.calls_ else 0.0
        wait_s += record.other_load(now) * duration_s
        wait_s = max(wait_s, capacity.paused_until_ - now)
        return wait_s + duration_s

    def wait_s(
        self,
        records: list[EndpointRecord],
        limits: PieceLimits,
        *,
        waiting: int,
        now: float,
    ) -> float:
        """Return how long a piece added to the end of the queue waits for its call.

        Units: seconds; infinite without an endpoint.
        """
        capacities = [
            self.capacity(record.listed.endpoint_id, limits) for record in records
        ]
        if not capacities:
            return float("inf")
        remaining_s = [
            max(capacity.busy_until_ - now if capacity.calls_ else 0.0, 0.0)
            for capacity in capacities
        ]
        rounds = waiting // (limits.batch * len(capacities))
        return min(remaining_s) + rounds * limits.full_call_s

    def room_bytes(
        self, records: list[EndpointRecord], limits: PieceLimits, now: float
    ) -> int:
        """Return the total room left at the endpoints."""
        return sum(
            max(0, self.room_left(record.listed.endpoint_id, limits, now))
            for record in records
        )

    def retain(self, known: set[EndpointId]) -> None:
        """Remove the capacities of endpoints not in `known` without a running call."""
        for endpoint_id, capacity in list(self.capacity_by_id_.items()):
            if endpoint_id not in known and capacity.calls_ == 0:
                del self.capacity_by_id_[endpoint_id]


def _call_paces(
    records: list[EndpointRecord], now: float
) -> list[tuple[EndpointRecord, float]]:
    """Return endpoints with the ratio of the duration of calls to the expected one.

    Where no endpoint reports a pace, none counts as faster than expected.
    """
    paces = estimate_paces(records, now)
    if paces is None:
        return [(record, max(1.0, record.slowness(now))) for record in records]
    return [(record, paces[record.listed.endpoint_id]) for record in records]
