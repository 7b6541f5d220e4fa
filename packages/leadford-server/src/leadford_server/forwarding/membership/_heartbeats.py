"""Report the state of this entry in heartbeats, and record the reports of others.

A heartbeat carries the load of the groups that an entry schedules, the pieces it has
admitted, the requests it has refused since the last one, and the capacity that it still
uses at endpoints whose group another entry schedules now. The scheduler of a group also
sends the admitted backlog summed over all entries that it hears from. Which links get a
heartbeat is decided in `leadford.forwarding.membership`; the owner of each part records
it.
"""

from leadford.common import EndpointId, EntryId
from leadford.forwarding.admission import RetryReservation
from leadford.forwarding.batching import (
    BacklogKey,
    BacklogSum,
    CapacityUse,
    GroupId,
    GroupLoad,
    PlaceId,
    ThroughputRate,
    sum_uses,
)
from leadford.forwarding.endpoints import LimitObservation
from leadford.forwarding.membership import REDUCED_HEARTBEAT_DIVISOR
from leadford.forwarding.overload import TAKES_NO_CALLERS
from leadford.forwarding.routes import (
    LEVEL_HIGHEST,
    LEVEL_LESS_URGENT,
    ServiceId,
)
from leadford.protocol import (
    BacklogReport,
    CommitmentReport,
    EntryHeartbeat,
    FleetBacklog,
    GroupReport,
    LaneReport,
    LimitNews,
    LimitReport,
    RefusalReport,
    StoreConfirmations,
)
from leadford_server.forwarding._state import ForwardState
from leadford_server.forwarding.batching import StageRunner
from leadford_server.forwarding.membership._heartbeat import Heartbeat
from leadford_server.forwarding.membership._levels import LevelExchange
from leadford_server.forwarding.membership._paces import AddressedPaces

# The rate on the wire that says that an endpoint has no limit any more.
NO_LIMIT_PER_S = -1.0
# Every heartbeat whose number is a multiple of this carries the paces of endpoints. It
# is itself a multiple of the divisor of links that skip heartbeats, so that they carry
# the paces too.
PACES_HEARTBEAT_DIVISOR = 2 * REDUCED_HEARTBEAT_DIVISOR


class Heartbeats:
    """Create the heartbeats of this entry, and record those of others."""

    def __init__(
        self, *, entry_id: EntryId, state: ForwardState, stages: StageRunner
    ) -> None:
        self.entry_id = entry_id
        self.state = state
        self.stages = stages
        self.levels = LevelExchange(state=state, stages=stages)
        self.heartbeat_count_ = 0

    @property
    def next_carries_paces(self) -> bool:
        """Return whether the next heartbeat carries the paces of endpoints."""
        return (self.heartbeat_count_ + 1) % PACES_HEARTBEAT_DIVISOR == 0

    def next(
        self,
        groups: set[GroupId],
        *,
        is_draining: bool,
        lowest_version: int,
        confirmations: StoreConfirmations | None,
        confirmed_version: int,
        paces: AddressedPaces | None = None,
    ) -> Heartbeat:
        """Return the next heartbeat; each refusal is reported only once.

        `confirmed_version` is the lowest protocol version of peers that receive what
        the store confirmed.
        """
        message = self.make(
            groups, is_draining=is_draining, lowest_version=lowest_version
        )
        self.heartbeat_count_ += 1
        backlog = self.make_backlog(groups)
        scheduled_ids = (
            [ServiceId(report.service_id) for report in backlog.services]
            if backlog
            else []
        )
        return Heartbeat(
            message=message,
            backlog=backlog,
            confirmations=confirmations,
            confirmed_version=confirmed_version,
            limits=self.make_limits(),
            admitted_levels=self.levels.make_admitted(),
            fleet_levels=self.levels.make_fleet(scheduled_ids, groups),
            number=self.heartbeat_count_,
            scheduler_ids={self.stages.groups.scheduler_of(group) for group in groups},
            paces=paces,
        )

    def make(
        self, groups: set[GroupId], *, is_draining: bool, lowest_version: int
    ) -> EntryHeartbeat:
        """Return the part of the heartbeat that every peer can read."""
        listed_at = self.state.roster_.changed_position_
        confirmed_at = self.state.config_confirmed_at_
        return EntryHeartbeat(
            listed_at.revision,
            self._group_reports(groups),
            is_draining,
            self._backlog_reports(),
            self._refusal_reports(),
            self._capacity_reports(),
            lowest_version,
            listed_at.epoch,
            self.state.now() * 1_000.0,
            None if confirmed_at is None else confirmed_at * 1_000.0,
            self._late_part(is_draining),
        )

    def _late_part(self, is_draining: bool) -> float:
        """Return for which part of the time this entry is late for callers."""
        late_part = round(self.state.loop_turns_.delay_fraction_, 2)
        self.state.peer_delays_.record_own(late_part)
        if is_draining or self.state.table_ is None:
            return TAKES_NO_CALLERS
        return late_part

    def record(self, entry_id: EntryId, message: EntryHeartbeat) -> None:
        """Record the heartbeat of another entry."""
        now = self.state.now()
        # A build that does not tell how late it is tells when it stops.
        late_part = TAKES_NO_CALLERS if message.is_draining else message.late_part
        self.state.peer_delays_.record(entry_id, late_part, now)
        for report in message.groups:
            group = GroupId(ServiceId(report.service_id), PlaceId(report.place))
            load = GroupLoad(report.wait_ms / 1_000.0, report.room_bytes, now)
            self.stages.groups.loads_.record_load(group, load)
        counts = {
            BacklogKey(
                ServiceId(report.service_id),
                LEVEL_HIGHEST if report.is_urgent else LEVEL_LESS_URGENT,
            ): report.pieces
            for report in message.commitments
        }
        self.stages.backlog_.record_report(entry_id, counts, now)
        for report in message.refused:
            reservation = RetryReservation(
                report.fingerprint,
                now + report.return_ms / 1_000.0,
                report.is_urgent,
                {ServiceId(name): count for name, count in report.pieces.items()},
                now,
            )
            self.state.reservations_.record(reservation, is_own=False)
        uses = [
            CapacityUse(
                EndpointId(report.endpoint_id), report.result_bytes, report.calls
            )
            for report in message.lanes
        ]
        self.stages.scheduler_.capacities_.record_foreign_use(entry_id, uses, now)

    def make_backlog(self, groups: set[GroupId]) -> FleetBacklog | None:
        """Return the backlog of the services whose groups this entry schedules."""
        now = self.state.now()
        own = {
            group
            for group in groups
            if self.stages.groups.scheduler_of(group) == self.entry_id
        }
        reports = []
        for service_id in sorted({group.service_id for group in own}):
            known = self.stages.backlog_.sum(service_id, now)
            rate = self._made_rate(service_id, groups)
            self.stages.backlog_.record_rate(service_id, rate, now)
            rates = (rate.pieces, rate.less_urgent) if rate is not None else ()
            reports.append(
                BacklogReport(
                    service_id, known.entries, known.urgent, known.less_urgent, *rates
                )
            )
        return FleetBacklog(reports) if reports else None

    def _made_rate(
        self, service_id: ServiceId, groups: set[GroupId]
    ) -> ThroughputRate | None:
        """Return the throughput of a service that is behind, if it is one group."""
        service_groups = [group for group in groups if group.service_id == service_id]
        if len(service_groups) != 1:
            return None
        return self.stages.scheduler_.sample_throughput(service_groups[0])

    def record_backlog(self, message: FleetBacklog) -> None:
        """Record the backlog that another entry has summed over all that it hears."""
        now = self.state.now()
        for report in message.services:
            backlog_sum = BacklogSum(
                report.entries,
                {
                    LEVEL_HIGHEST: report.urgent,
                    LEVEL_LESS_URGENT: report.less_urgent,
                },
            )
            service_id = ServiceId(report.service_id)
            self.stages.backlog_.record_sum(service_id, backlog_sum, now)
            rate = None
            if report.pieces_per_s >= 0.0:
                rate = ThroughputRate(report.pieces_per_s, report.less_urgent_per_s)
            self.stages.backlog_.record_rate(service_id, rate, now)

    def _group_reports(self, groups: set[GroupId]) -> list[GroupReport]:
        """Return the load of the groups that this entry schedules."""
        reports = []
        for group in groups:
            if self.stages.groups.scheduler_of(group) != self.entry_id:
                continue
            load = self.stages.scheduler_.loads.load(group)
            wait_ms = round(load.wait_s * 1_000.0, 1)
            reports.append(
                GroupReport(group.service_id, group.place, wait_ms, load.room_bytes)
            )
        return reports

    def _backlog_reports(self) -> list[CommitmentReport]:
        """Return the pieces that this entry has admitted and that are not yet done.

        Older builds know two levels: the highest, and all others together.
        """
        counts: dict[tuple[ServiceId, bool], int] = {}
        for key, pieces in self.stages.backlog_.own_report().items():
            two_level_key = (key.service_id, key.level == LEVEL_HIGHEST)
            counts[two_level_key] = counts.get(two_level_key, 0) + pieces
        return [
            CommitmentReport(service_id, is_urgent, pieces)
            for (service_id, is_urgent), pieces in counts.items()
        ]

    def _refusal_reports(self) -> list[RefusalReport]:
        """Return the requests that this entry refused since the last heartbeat."""
        now = self.state.now()
        return [
            RefusalReport(
                reservation.fingerprint,
                (reservation.return_at - now) * 1_000.0,
                reservation.is_urgent,
                dict(reservation.pieces_by_service),
            )
            for reservation in self.state.reservations_.take_unsent()
        ]

    def make_limits(self) -> LimitNews | None:
        """Return the known rate limits of endpoints, or None if there are none."""
        now = self.state.now()
        reports = [
            LimitReport(
                limit.endpoint_id,
                NO_LIMIT_PER_S if limit.per_s is None else limit.per_s,
                round((now - limit.known_at) * 1_000.0, 1),
            )
            for limit in self.state.endpoint_limits_.reportable(now)
        ]
        return LimitNews(reports) if reports else None

    def record_limits(self, message: LimitNews) -> None:
        """Record the rate limits of endpoints that another entry knows."""
        now = self.state.now()
        for report in message.limits:
            self.state.endpoint_limits_.record_report(
                LimitObservation(
                    EndpointId(report.endpoint_id),
                    None if report.per_s < 0.0 else report.per_s,
                    now - report.age_ms / 1_000.0,
                )
            )

    def _capacity_reports(self) -> list[LaneReport]:
        """Return the capacity that this entry uses where others schedule now.

        Results of its requests whose scheduler was lost are included. This entry also
        counts them in its own capacities, as other entries do with its report.
        """
        scheduler = self.stages.scheduler_
        now = self.state.now()
        unaccounted = self.stages.results.unaccounted_uses(now)
        scheduler.capacities_.record_foreign_use(self.entry_id, unaccounted, now)
        groups = self.stages.groups
        uses = scheduler.loads.uses_in_foreign_groups(
            lambda group: groups.scheduler_of(group) != self.entry_id
        )
        return [
            LaneReport(use.endpoint_id, use.result_bytes, use.calls)
            for use in sum_uses([*uses, *unaccounted])
        ]
