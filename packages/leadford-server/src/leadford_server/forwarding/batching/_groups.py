"""Choose the group of endpoints, and so the scheduler, for the pieces of a stage.

Uses the load that other schedulers last reported for their groups; the load of groups
that this entry schedules is read from its own scheduler. The scores are computed in
`leadford.forwarding.batching`.
"""

from collections.abc import Iterable, Sequence

from leadford.common import EndpointId, EntryId, HallId
from leadford.forwarding.batching import (
    GroupId,
    GroupTable,
    PieceGraph,
    schedulers_in_order,
)
from leadford.forwarding.routes import PieceLimits, ServiceId, StageSpec
from leadford_server.forwarding._state import ForwardState
from leadford_server.forwarding.batching._jobs import LiveEntries
from leadford_server.forwarding.batching._scheduler import BatchScheduler


class GroupChooser:
    """Determine the scheduler and the load of each group from what this entry knows."""

    def __init__(
        self, *, state: ForwardState, entry_id: EntryId, scheduler: BatchScheduler
    ) -> None:
        self.state = state
        self.entry_id = entry_id
        self.scheduler = scheduler
        self.loads_ = GroupTable()
        self.live_entries: LiveEntries | None = None

    def scheduler_of(self, group: GroupId) -> EntryId:
        """Return the live entry that schedules a group."""
        halls = {}
        if self.live_entries is not None:
            halls = self.live_entries.halls_by_live_entry()
        if not halls or self.state.stop_began_at_ is None:
            halls[self.entry_id] = self.state.hall
        return schedulers_in_order(group, halls, self.state.regions)[0]

    def choose(
        self,
        stage: StageSpec,
        pieces: int,
        limits: PieceLimits,
        *,
        excluded: frozenset[EndpointId],
        local_bytes_by_hall: dict[HallId, int],
        now: float,
    ) -> GroupId | None:
        """Return the group that should make pieces, if any endpoint is usable.

        `local_bytes_by_hall` holds, for each hall, the bytes that need not move between
        halls if a piece is made there.
        """
        counts: dict[GroupId, int] = {}
        near_bytes_by_group: dict[GroupId, int] = {}
        for record in self.state.usable(stage.service_id):
            if record.listed.endpoint_id in excluded or record.is_suspect(now):
                continue
            group = self.state.group_map_.group(stage.service_id, record.listed.hall)
            counts[group] = counts.get(group, 0) + 1
            near_bytes = local_bytes_by_hall.get(record.listed.hall, 0)
            near_bytes_by_group[group] = max(
                near_bytes_by_group.get(group, 0), near_bytes
            )
        if not counts:
            counts = self.state.group_map_.usable_by_group(stage.service_id, now)
        self._refresh_own_loads(counts)
        max_near_bytes = max(local_bytes_by_hall.values(), default=0)
        return self.loads_.choose(
            counts,
            limits,
            result_bytes=stage.result_bytes,
            moved_bytes_by_group={
                group: (max_near_bytes - near_bytes_by_group.get(group, 0)) * pieces
                for group in counts
            },
            now=now,
        )

    def wait_s(self, group: GroupId, limits: PieceLimits, now: float) -> float:
        """Return how long a piece sent now is expected to wait for its call."""
        endpoints = self.state.group_map_.usable_by_group(group.service_id, now)
        return self.loads_.wait_s(group, limits, endpoints.get(group, 1), now)

    def remaining_s(self, graph: PieceGraph) -> float:
        """Return how long the remaining stages are expected to take.

        Units: seconds.
        """
        now = self.state.now()
        total_s = 0.0
        for number in graph.longest_chain():
            service = self.state.service(graph.stages[number].service_id)
            if service is None or service.pieces is None:
                continue
            wait_s = self._least_wait_s(service.service_id, service.pieces, now)
            total_s += wait_s + service.pieces.full_call_s
        return total_s

    def _least_wait_s(
        self, service_id: ServiceId, limits: PieceLimits, now: float
    ) -> float:
        """Return the shortest expected wait among the groups of a service."""
        counts_by_group = self.state.group_map_.usable_by_group(service_id, now)
        waits = [
            self.loads_.wait_s(group, limits, count, now)
            for group, count in counts_by_group.items()
        ]
        return min(waits, default=0.0)

    def wait_ms_by_hall(
        self, stages: Sequence[StageSpec], counts: Sequence[int]
    ) -> dict[HallId, float]:
        """Return the expected wait in each hall for the stage with the largest results.

        These results should be made in the hall where the request itself will run.
        """
        sizes = [
            stage.result_bytes * count
            for stage, count in zip(stages, counts, strict=True)
        ]
        stage = stages[sizes.index(max(sizes))]
        service = self.state.service(stage.service_id)
        if service is None or service.pieces is None:
            return {}
        now = self.state.now()
        counts_by_group = self.state.group_map_.usable_by_group(stage.service_id, now)
        self._refresh_own_loads(counts_by_group)
        wait_ms_by_group = {
            group: self.loads_.wait_s(group, service.pieces, count, now) * 1_000.0
            for group, count in counts_by_group.items()
        }
        groups = self.state.group_map_.groups(stage.service_id)
        return {
            hall: wait_ms_by_group[group]
            for hall, group in groups.items()
            if group in wait_ms_by_group
        }

    def _refresh_own_loads(self, groups: Iterable[GroupId]) -> None:
        """Read the load of groups that are scheduled here, instead of a report."""
        for group in groups:
            if self.scheduler_of(group) != self.entry_id:
                continue
            self.loads_.record_load(group, self.scheduler.loads.load(group))
