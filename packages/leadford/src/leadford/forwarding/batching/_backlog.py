"""Count the pieces that are admitted and not yet computed, at all entries.

Updated by the stages of requests and by heartbeats of other entries, read by admission.
An entry receives reports only from the entries that it is connected to, a part of a
large fleet. The scheduler of a group receives reports from all entries that send it
pieces, and reports the sum back to them. The sum over the most entries is used. Old
reports are left out, because the pieces that they count may be gone.
"""

import msgspec

from leadford.common import EntryId
from leadford.forwarding.batching._throughput import ThroughputRate
from leadford.forwarding.routes import ServiceId

# Reports of other entries expire after this age.
REPORT_MAX_AGE_S = 1.5


class BacklogKey(msgspec.Struct, frozen=True):
    """Identify the pieces of one service on urgent routes, or on less urgent ones."""

    service_id: ServiceId
    is_urgent: bool


class BacklogSum(msgspec.Struct, frozen=True):
    """Hold the admitted pieces of one service, summed over a number of entries."""

    entries: int
    urgent: int
    less_urgent: int


class _EntryReport(msgspec.Struct, frozen=True):
    """Hold the backlog that another entry reported, and when it arrived."""

    counts_by_key: dict[BacklogKey, int]
    received_at: float


class _SumReport(msgspec.Struct, frozen=True):
    """Hold a sum from a scheduler, and the last report of this entry before it."""

    reported_sum: BacklogSum
    reported_by_key: dict[BacklogKey, int]
    received_at: float


class _RateReport(msgspec.Struct, frozen=True):
    """Hold the rate that a scheduler reported of its stage, and when it arrived."""

    rate: ThroughputRate
    received_at: float


class AdmittedBacklog:
    """Add up the admitted backlog of all entries; old reports expire."""

    def __init__(self) -> None:
        self.own_by_key_: dict[BacklogKey, int] = {}
        self.reported_by_key_: dict[BacklogKey, int] = {}
        self.reports_by_entry_: dict[EntryId, _EntryReport] = {}
        self.sums_by_service_: dict[ServiceId, _SumReport] = {}
        self.rates_by_service_: dict[ServiceId, _RateReport] = {}

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
        counts_by_key: dict[BacklogKey, int],
        now: float,
    ) -> None:
        """Record the backlog that another entry reported."""
        self.reports_by_entry_[entry_id] = _EntryReport(counts_by_key, now)

    def record_sum(
        self, service_id: ServiceId, reported_sum: BacklogSum, now: float
    ) -> None:
        """Record a scheduler's sum, unless one over more entries is still fresh."""
        known = self.sums_by_service_.get(service_id)
        is_wider = (
            known is not None and known.reported_sum.entries > reported_sum.entries
        )
        if is_wider and now - known.received_at < REPORT_MAX_AGE_S:
            return
        self.sums_by_service_[service_id] = _SumReport(
            reported_sum, self.reported_by_key_, now
        )

    def record_rate(
        self, service_id: ServiceId, rate: ThroughputRate | None, now: float
    ) -> None:
        """Record the rate of a stage that is behind, or None while it is not."""
        if rate is None:
            self.rates_by_service_.pop(service_id, None)
        else:
            self.rates_by_service_[service_id] = _RateReport(rate, now)

    def measured_per_s(self, service_id: ServiceId, now: float) -> float | None:
        """Return the throughput of a stage that is behind, None of any other.

        Units: pieces per second.
        """
        report = self.rates_by_service_.get(service_id)
        if report is None or now - report.received_at >= REPORT_MAX_AGE_S:
            return None
        return report.rate.pieces

    def drain_time_s(self, service_id: ServiceId, is_urgent: bool, now: float) -> float:
        """Return how long a stage that is behind takes for the pieces before a request.

        The estimate uses the recent rate of the stage; it is 0 where the stage is not
        behind. Less urgent pieces are assumed to leave as fast as recently, whatever
        urgent pieces go before them.

        Units: seconds; infinite where no piece of that urgency is computed.
        """
        report = self.rates_by_service_.get(service_id)
        if report is None or now - report.received_at >= REPORT_MAX_AGE_S:
            return 0.0
        total = self.widest_sum(service_id, now)
        pieces, rate = total.less_urgent, report.rate.less_urgent
        if is_urgent:
            pieces, rate = total.urgent, report.rate.pieces
        if pieces == 0:
            return 0.0
        return pieces / rate if rate > 0.0 else float("inf")

    def forget(self, entry_id: EntryId) -> None:
        """Drop the report of an entry that is gone."""
        self.reports_by_entry_.pop(entry_id, None)

    def sum(self, service_id: ServiceId, now: float) -> BacklogSum:
        """Return the backlog of this entry and of those that report to it directly."""
        reported = [
            reported.counts_by_key
            for reported in self.reports_by_entry_.values()
            if now - reported.received_at < REPORT_MAX_AGE_S
        ]
        urgent = less_urgent = 0
        for counts_by_key in (self.own_by_key_, *reported):
            urgent += counts_by_key.get(BacklogKey(service_id, True), 0)
            less_urgent += counts_by_key.get(BacklogKey(service_id, False), 0)
        return BacklogSum(1 + len(reported), urgent, less_urgent)

    def widest_sum(self, service_id: ServiceId, now: float) -> BacklogSum:
        """Return the sum over the most entries: this entry's own or a scheduler's.

        In a fleet of 68 entries, one entry receives reports from about ten others. Its
        own sum is then a sixth of the backlog, and admission by it would accept several
        times what the stages can compute.
        """
        own = self.sum(service_id, now)
        report = self.sums_by_service_.get(service_id)
        if report is None or now - report.received_at >= REPORT_MAX_AGE_S:
            return own
        if report.reported_sum.entries <= own.entries:
            return own
        return BacklogSum(
            report.reported_sum.entries,
            self._updated_count(
                report, BacklogKey(service_id, True), report.reported_sum.urgent
            ),
            self._updated_count(
                report, BacklogKey(service_id, False), report.reported_sum.less_urgent
            ),
        )

    def _updated_count(
        self, report: _SumReport, key: BacklogKey, reported_count: int
    ) -> int:
        """Return a reported count plus the change of this entry's backlog since."""
        own_reported = report.reported_by_key.get(key, 0)
        return max(0, reported_count + self.own_by_key_.get(key, 0) - own_reported)

    def pieces_before(
        self,
        service_id: ServiceId,
        is_urgent: bool,
        *,
        less_urgent_fraction: float,
        now: float,
    ) -> float:
        """Return how many pieces go before those of a request.

        Before an urgent request, less urgent pieces count by the fraction
        `less_urgent_fraction`: those that have waited long go first, and running calls
        are not interrupted.
        """
        total = self.widest_sum(service_id, now)
        if is_urgent:
            return total.urgent + total.less_urgent * less_urgent_fraction
        return float(total.urgent + total.less_urgent)
