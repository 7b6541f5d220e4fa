"""Exchange the admitted pieces of contended services by priority level.

These reports follow those of two levels in heartbeats, while the build of every live
entry knows priority levels. Each entry reports its own pieces. The scheduler of a
service reports the sum over all entries that report to it, and the throughput of each
level. Owns no state: the backlog of the stages holds what was reported.
"""

from collections.abc import Collection

from leadford.common import EntryId
from leadford.forwarding.batching import BacklogSum, GroupId
from leadford.forwarding.routes import LEVEL_HIGHEST, LEVEL_LOWEST, ServiceId
from leadford.protocol import (
    UNKNOWN_PER_S,
    AdmittedLevels,
    FleetLevels,
    LevelCount,
    ServiceLevels,
)
from leadford_server.forwarding._peers import MessageHandlers
from leadford_server.forwarding._state import ForwardState
from leadford_server.forwarding.batching import StageRunner
from leadford_server.peers import PeerConnection


class LevelExchange:
    """Report pieces by level, and record the reports of other entries."""

    def __init__(self, *, state: ForwardState, stages: StageRunner) -> None:
        self.state = state
        self.stages = stages

    def handlers(self) -> MessageHandlers:
        """Return the handler of each type of message that this exchange receives."""
        return {AdmittedLevels: self._on_admitted, FleetLevels: self._on_fleet}

    def make_admitted(self) -> AdmittedLevels | None:
        """Return the pieces that this entry reports now, or None if there are none.

        Call it after the report of two levels: it gives the same pieces by level.
        """
        contended_ids = self.state.level_service_ids()
        counts: dict[ServiceId, list[LevelCount]] = {}
        for key, pieces in self.stages.backlog_.reported_by_key_.items():
            if key.service_id in contended_ids:
                counts.setdefault(key.service_id, []).append(
                    LevelCount(key.level, pieces)
                )
        if not counts:
            return None
        return AdmittedLevels(
            [ServiceLevels(name, 1, levels) for name, levels in counts.items()]
        )

    def make_fleet(
        self, service_ids: Collection[ServiceId], groups: Collection[GroupId]
    ) -> FleetLevels | None:
        """Return the sums of the services that this entry schedules.

        `groups` are all groups of all services. The sums are recorded here too, so that
        this entry admits by the same sums as others.
        """
        now = self.state.now()
        backlog = self.stages.backlog_
        reports = []
        for service_id in sorted(self.state.level_service_ids() & set(service_ids)):
            known = backlog.sum(service_id, now)
            pieces_by_level = dict(known.pieces_by_level)
            backlog.record_sum(
                service_id,
                BacklogSum(known.entries, pieces_by_level, is_by_level=True),
                now,
            )
            flow = self._flow(service_id, groups)
            backlog.record_flow(service_id, flow, now)
            levels = [
                LevelCount(
                    level,
                    pieces_by_level.get(level, 0),
                    flow.get(level, 0.0) if flow else UNKNOWN_PER_S,
                )
                for level in sorted(pieces_by_level.keys() | flow.keys())
            ]
            reports.append(ServiceLevels(service_id, known.entries, levels))
        return FleetLevels(reports) if reports else None

    def _flow(
        self, service_id: ServiceId, groups: Collection[GroupId]
    ) -> dict[int, float]:
        """Return the throughput of each level, empty if the service has several groups.

        Units: pieces per second.
        """
        service_groups = [group for group in groups if group.service_id == service_id]
        if len(service_groups) != 1:
            return {}
        return self.stages.scheduler_.flow_by_level(service_groups[0])

    def _on_admitted(self, peer: PeerConnection, message: AdmittedLevels) -> None:
        entry_id = EntryId(peer.info.peer_id)
        for report in message.services:
            self.stages.backlog_.record_levels(
                entry_id, ServiceId(report.service_id), _pieces_by_level(report)
            )

    def _on_fleet(self, peer: PeerConnection, message: FleetLevels) -> None:
        now = self.state.now()
        for report in message.services:
            service_id = ServiceId(report.service_id)
            self.stages.backlog_.record_sum(
                service_id,
                BacklogSum(report.entries, _pieces_by_level(report), is_by_level=True),
                now,
            )
            self.stages.backlog_.record_flow(service_id, _flow(report), now)


def _is_valid(count: LevelCount) -> bool:
    return LEVEL_HIGHEST <= count.level <= LEVEL_LOWEST and count.pieces >= 0


def _pieces_by_level(report: ServiceLevels) -> dict[int, int]:
    return {count.level: count.pieces for count in report.levels if _is_valid(count)}


def _flow(report: ServiceLevels) -> dict[int, float]:
    """Return the reported throughput by level, without the levels where it is unknown.

    Units: pieces per second.
    """
    return {
        count.level: count.per_s
        for count in report.levels
        if _is_valid(count) and UNKNOWN_PER_S < count.per_s < float("inf")
    }
