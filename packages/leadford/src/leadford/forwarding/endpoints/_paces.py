"""Compare the paces of the endpoints of a service, measure them, and report them.

The functions take endpoints of one service. Where none of these reports a pace,
`estimate_paces` returns None, and callers decide as without paces. `PaceMeter` is owned
by the state of an entry, and turns durations into ratios to the usual duration.
"""

from collections.abc import Callable, Collection, Hashable, Iterable, Mapping, Sequence

import msgspec

from leadford.common import EndpointId, Ewma
from leadford.forwarding.endpoints._pace import MeasuredPace
from leadford.forwarding.endpoints._record import EndpointRecord
from leadford.forwarding.routes import ServiceId

# Weight of the newest duration in the usual one, and the number of durations that must
# be known before another one is compared with it.
USUAL_WEIGHT = 0.05
USUAL_MIN_COUNT = 8
# Entries report the paces that differ from the usual one by this fraction.
REPORTED_DIFFERENCE = 0.2
# Maximum number of paces in one report, and how old a measurement in it may be: a
# little more than the time between two reports.
MAX_REPORTED_PACES = 64
REPORTED_MAX_AGE_S = 1.0
# Shorter prefills are not measured: their duration is mostly that of the first step.
PREFILL_MIN_TOKENS = 500.0


class ReportablePace(msgspec.Struct, frozen=True):
    """Hold a pace that this entry measured and reports to others."""

    endpoint_id: EndpointId
    measured: MeasuredPace


def estimate_paces(
    records: Collection[EndpointRecord], now: float
) -> dict[EndpointId, float] | None:
    """Return the pace of each endpoint, or None if none of them reports a pace.

    The prior is the median of the endpoints that this entry observed, or the usual pace
    if these are fewer than half.
    """
    if not any(record.pace_.is_reported_ for record in records):
        return None
    measured = [record.pace_.log_measured(now) for record in records]
    known = sorted(item for item in measured if item is not None)
    median = known[len(known) // 2] if 2 * len(known) >= len(records) else 0.0
    return {
        record.listed.endpoint_id: record.pace_.estimate(now, log_prior=median)
        for record in records
    }


def effective_count(records: Collection[EndpointRecord], now: float) -> float:
    """Return the equivalent number of endpoints of the usual pace.

    This is the number of endpoints if none of them reports a pace.
    """
    paces = estimate_paces(records, now)
    if paces is None:
        return len(records)
    return sum(1.0 / pace for pace in paces.values())


def without_busy_untried(
    records: Sequence[EndpointRecord],
    is_busy: Callable[[EndpointRecord], bool],
    now: float,
) -> list[EndpointRecord]:
    """Return the endpoints without busy ones that have not answered yet.

    So an endpoint that never answered gets one request at a time. All endpoints are
    returned if fewer than half of them would remain.
    """
    kept = [r for r in records if r.pace_.is_tried(now) or not is_busy(r)]
    return kept if 2 * len(kept) >= len(records) else list(records)


def reportable_paces(
    records: Iterable[EndpointRecord], now: float
) -> list[ReportablePace]:
    """Return the paces to report to other entries, the newest measurement first.

    Only paces that differ from the usual one and were observed since the last report.
    """
    found = []
    for record in records:
        pace = record.pace_
        if not pace.is_reported_ or now - pace.own_sample_at > REPORTED_MAX_AGE_S:
            continue
        measured = pace.measured(now)
        if measured is None or abs(measured.pace - 1.0) < REPORTED_DIFFERENCE:
            continue
        found.append(ReportablePace(record.listed.endpoint_id, measured))
    found.sort(key=lambda item: -item.measured.measured_at)
    return found[:MAX_REPORTED_PACES]


def oldest_ages_s(
    records: Iterable[EndpointRecord], now: float
) -> Mapping[ServiceId, float]:
    """Return the age of the oldest estimate of each service that has paces.

    Units: seconds.
    """
    ages_s: dict[ServiceId, float] = {}
    for record in records:
        if not record.pace_.is_reported_:
            continue
        service_id = record.listed.service_id
        age_s = record.pace_.age_s(now)
        ages_s[service_id] = max(age_s, ages_s.get(service_id, 0.0))
    return ages_s


class PaceMeter:
    """Record measured durations of endpoints that report a pace.

    The usual duration is averaged over all endpoints of a service, by `kind`: routes of
    a service may take different times. Work that waited for other work is left out.

    Units: durations in any unit, but the same for one kind.
    """

    def __init__(self) -> None:
        self.usual_by_kind_: dict[tuple[ServiceId, Hashable], Ewma] = {}

    def record_prefill(
        self, record: EndpointRecord, tokens: float, elapsed_ms: float, now: float
    ) -> None:
        """Record the duration of a prefill that did not wait for others."""
        if tokens >= PREFILL_MIN_TOKENS:
            self.record_answer(record, elapsed_ms / tokens, "prefill", now)

    def record_answer(
        self, record: EndpointRecord, duration: float, kind: Hashable, now: float
    ) -> None:
        """Record the duration of work of a kind that has no expected duration."""
        pace = record.pace_
        if not pace.is_reported_ or duration <= 0.0 or record.reports_waiting(now):
            return
        key = (record.listed.service_id, kind)
        usual = self.usual_by_kind_.get(key)
        if usual is None:
            # Starts at the first duration, since nothing else is known.
            at_usual_pace = duration / pace.reported_pace(now)
            usual = Ewma(initial=at_usual_pace, weight=USUAL_WEIGHT)
            self.usual_by_kind_[key] = usual
        if usual.count_ >= USUAL_MIN_COUNT:
            pace.record_measured(duration / usual.value_, now)
        usual.update(duration / pace.reported_pace(now))

    def record_call(
        self, record: EndpointRecord, ratio: float, now: float, *, waited: bool
    ) -> None:
        """Record the ratio of a call's duration to the expected duration."""
        if record.pace_.is_reported_ and not waited:
            record.pace_.record_measured(ratio, now)

    def retain(self, known: Collection[ServiceId]) -> None:
        """Forget the durations of services that are not in `known`."""
        for key in list(self.usual_by_kind_):
            if key[0] not in known:
                del self.usual_by_kind_[key]
