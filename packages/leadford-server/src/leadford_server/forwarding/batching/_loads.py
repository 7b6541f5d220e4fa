"""Report the load of this entry's groups, by which other entries choose a group.

Reads the queues and the capacities that the scheduler owns; decides nothing.
"""

from collections.abc import Callable, Mapping

from leadford.forwarding.batching import (
    CapacityTable,
    CapacityUse,
    GroupId,
    GroupLoad,
    PieceQueue,
)
from leadford.forwarding.endpoints import EndpointRecord
from leadford_server.forwarding._state import ForwardState


class GroupLoads:
    """Read the load of groups, and what this entry still uses in those of others."""

    def __init__(
        self,
        *,
        state: ForwardState,
        capacities: CapacityTable,
        queues_by_group: Mapping[GroupId, PieceQueue],
    ) -> None:
        self.state = state
        self.capacities = capacities
        self.queues_by_group = queues_by_group

    def load(self, group: GroupId) -> GroupLoad:
        """Return the wait of a piece that joins a group now, and the free room."""
        now = self.state.now()
        service = self.state.service(group.service_id)
        if service is None or service.pieces is None:
            return GroupLoad.unavailable(now)
        records = self.records(group)
        queue = self.queues_by_group.get(group, PieceQueue())
        wait_s = self.capacities.wait_s(
            records, service.pieces, waiting=len(queue), now=now
        )
        room_bytes = self.capacities.room_bytes(records, service.pieces, now)
        return GroupLoad(wait_s, room_bytes - queue.waiting_bytes(), now)

    def uses_in_foreign_groups(
        self, scheduled_by_others: Callable[[GroupId], bool]
    ) -> list[CapacityUse]:
        """Return what this entry still uses in groups that others schedule now."""
        found = []
        for use in self.capacities.occupied_capacity(self.state.now()):
            record = self.state.roster_.record(use.endpoint_id)
            if record is None:
                continue
            listed = record.listed
            if scheduled_by_others(
                self.state.group_map_.group(listed.service_id, listed.hall)
            ):
                found.append(use)
        return found

    def records(self, group: GroupId) -> list[EndpointRecord]:
        """Return the endpoints of a group that take new work now."""
        return [
            record
            for record in self.state.usable(group.service_id)
            if self.state.group_map_.group(group.service_id, record.listed.hall)
            == group
        ]
