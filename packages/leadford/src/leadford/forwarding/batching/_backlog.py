"""Count the pieces that are admitted and not yet computed, at all entries.

Updated by the stages of requests and by heartbeats of other entries, read by admission.
An entry receives reports only from the entries that it is connected to, a part of a
large fleet. The scheduler of a group receives reports from all entries that send it
pieces, and reports the sum back to them. The sum over the most entries is used. Old
reports are left out, because the pieces that they count may be gone.
"""

from collections.abc import Mapping

from leadford.common import EntryId
from leadford.forwarding.batching._backlog_reports import (
    BacklogKey,
    BacklogSum,
    EntryReport,
    FlowReport,
    RateReport,
    SumReport,
)
from leadford.forwarding.batching._throughput import ThroughputRate, drain_s
from leadford.forwarding.routes import LEVEL_HIGHEST, LEVEL_LESS_URGENT, ServiceId


class AdmittedBacklog:
    """Add up the admitted backlog of all entries; old reports expire."""

    def __init__(self) -> None:
        self.own_by_key_: dict[BacklogKey, int] = {}
        self.reported_by_key_: dict[BacklogKey, int] = {}
        self.reports_by_entry_: dict[EntryId, EntryReport] = {}
        self.sums_by_service_: dict[ServiceId, SumReport] = {}
        self.rates_by_service_: dict[ServiceId, RateReport] = {}
        self.flows_by_service_: dict[ServiceId, FlowReport] = {}

    def add(self, key: BacklogKey, pieces: int) -> None:
        """Count pieces that this entry admitted; a negative count removes pieces."""
        remaining = self.own_by_key_.get(key, 0) + pieces
        if remaining > 0:
            self.own_by_key_[key] = remaining
        else:
            self.own_by_key_.pop(key, None)

    def own_report(self) -> dict[BacklogKey, int]:
        """Return the backlog of this entry that is reported to others now."""
        self.reported_by_key_ = dict(self.own_by_key_)
        return self.reported_by_key_

    def record_report(
        self,
        entry_id: EntryId,
        counts_by_key: Mapping[BacklogKey, int],
        now: float,
    ) -> None:
        """Record the backlog that another entry reported."""
        levels_by_service: dict[ServiceId, dict[int, int]] = {}
        for key, pieces in counts_by_key.items():
            levels_by_service.setdefault(key.service_id, {})[key.level] = pieces
        self.reports_by_entry_[entry_id] = EntryReport(
            levels_by_service, received_at=now
        )

    def record_levels(
        self,
        entry_id: EntryId,
        service_id: ServiceId,
        pieces_by_level: dict[int, int],
    ) -> None:
        """Replace the pieces of a service in the last report, which has two levels."""
        report = self.reports_by_entry_.get(entry_id)
        if report is not None:
            report.levels_by_service[service_id] = pieces_by_level

    def record_sum(
        self, service_id: ServiceId, reported_sum: BacklogSum, now: float
    ) -> None:
        """Record a scheduler's sum, unless one over more entries is still fresh."""
        known = self.sums_by_service_.get(service_id)
        is_wider = (
            known is not None and known.reported_sum.entries > reported_sum.entries
        )
        if is_wider and known.is_fresh(now):
            return
        self.sums_by_service_[service_id] = SumReport(
            reported_sum, self.reported_by_key_, received_at=now
        )

    def record_rate(
        self, service_id: ServiceId, rate: ThroughputRate | None, now: float
    ) -> None:
        """Record the rate of a stage that is behind, or None while it is not."""
        if rate is None:
            self.rates_by_service_.pop(service_id, None)
        else:
            self.rates_by_service_[service_id] = RateReport(rate, received_at=now)

    def record_flow(
        self, service_id: ServiceId, per_s_by_level: dict[int, float], now: float
    ) -> None:
        """Record the throughput of each level of a stage."""
        self.flows_by_service_[service_id] = FlowReport(per_s_by_level, received_at=now)

    def flow_above_per_s(self, service_id: ServiceId, level: int, now: float) -> float:
        """Return the throughput of the levels that are more urgent than one.

        Units: pieces per second; 0 where it is not known.
        """
        report = self.flows_by_service_.get(service_id)
        if report is None or not report.is_fresh(now):
            return 0.0
        return sum(
            per_s for known, per_s in report.per_s_by_level.items() if known < level
        )

    def drain_time_s(self, service_id: ServiceId, level: int, now: float) -> float:
        """Return how long a stage that is behind takes for the pieces before a request.

        Only the highest level and all others are distinguished here. The estimate uses
        the recent rate of the stage; it is 0 where the stage is not behind. Less urgent
        pieces are assumed to leave as fast as recently, whatever urgent pieces go
        before them.

        Units: seconds; infinite where no piece of that urgency is computed.
        """
        rate = self.rate(service_id, now)
        if rate is None:
            return 0.0
        total = self.widest_sum(service_id, now)
        if level == LEVEL_HIGHEST:
            return drain_s(total.urgent, rate.pieces)
        return drain_s(total.less_urgent, rate.less_urgent)

    def rate(self, service_id: ServiceId, now: float) -> ThroughputRate | None:
        """Return the recent throughput of a stage that is behind, else None."""
        report = self.rates_by_service_.get(service_id)
        if report is None or not report.is_fresh(now):
            return None
        return report.rate

    def forget(self, entry_id: EntryId) -> None:
        """Drop the report of an entry that is gone."""
        self.reports_by_entry_.pop(entry_id, None)

    def sum(self, service_id: ServiceId, now: float) -> BacklogSum:
        """Return the backlog of this entry and of those that report to it directly."""
        reported = [
            reported.levels_by_service
            for reported in self.reports_by_entry_.values()
            if reported.is_fresh(now)
        ]
        pieces_by_level = self._pieces_by_level(self.own_by_key_, service_id)
        for levels_by_service in reported:
            for level, pieces in levels_by_service.get(service_id, {}).items():
                pieces_by_level[level] = pieces_by_level.get(level, 0) + pieces
        return BacklogSum(1 + len(reported), pieces_by_level)

    def _pieces_by_level(
        self, counts_by_key: Mapping[BacklogKey, int], service_id: ServiceId
    ) -> dict[int, int]:
        return {
            key.level: pieces
            for key, pieces in counts_by_key.items()
            if key.service_id == service_id
        }

    def widest_sum(self, service_id: ServiceId, now: float) -> BacklogSum:
        """Return the sum over the most entries: this entry's own or a scheduler's.

        In a large fleet an entry receives reports only from a part of the others.
        Admission by its own sum would then accept more than the stages can compute.
        """
        own = self.sum(service_id, now)
        report = self.sums_by_service_.get(service_id)
        if report is None or not report.is_fresh(now):
            return own
        known = report.reported_sum
        if known.entries < own.entries:
            return own
        if known.entries == own.entries and not known.is_by_level:
            return own
        return self._updated(report, service_id)

    def _updated(self, report: SumReport, service_id: ServiceId) -> BacklogSum:
        """Return a reported sum plus the change of this entry's backlog since."""
        known = report.reported_sum
        pieces_by_level = dict(known.pieces_by_level)
        own = self._pieces_by_level(self.own_by_key_, service_id)
        before = self._pieces_by_level(report.reported_by_key, service_id)
        for own_level in own.keys() | before.keys():
            level = own_level
            if not known.is_by_level:
                level = min(own_level, LEVEL_LESS_URGENT)
            change = own.get(own_level, 0) - before.get(own_level, 0)
            pieces_by_level[level] = pieces_by_level.get(level, 0) + change
        return BacklogSum(
            known.entries,
            {level: max(0, pieces) for level, pieces in pieces_by_level.items()},
            known.is_by_level,
        )

    def pieces_before(
        self,
        service_id: ServiceId,
        level: int,
        *,
        less_urgent_fraction: float,
        now: float,
    ) -> float:
        """Return how many pieces go before those of a request of a level.

        Less urgent pieces count by the fraction `less_urgent_fraction`: those that have
        waited long go first, and running calls are not interrupted.
        """
        total = self.widest_sum(service_id, now)
        before = total.up_to(level)
        less_urgent = sum(total.pieces_by_level.values()) - before
        return before + less_urgent * less_urgent_fraction
