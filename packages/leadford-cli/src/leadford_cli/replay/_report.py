"""Sum up a replay and hold it against the stated outcomes.

Outcomes stand in a file beside the trace (`OutcomeBounds`); a replay that misses one
ends with status 1.
"""

from collections import Counter, defaultdict
from typing import Self

import msgspec
from hdrh.histogram import HdrHistogram

from leadford_cli.replay._caller import CallRecord
from leadford_cli.replay._check import Violations, find_violations
from leadford_cli.replay._trace import Trace
from leadford_standins.endpoints import ExecutionRecord

HISTOGRAM_MAX_US = 600_000_000
QUANTILES = (50.0, 90.0, 95.0, 99.0)


class Attainment(msgspec.Struct):
    """Count requests and those complete within their deadline."""

    requests: int = 0
    in_time: int = 0
    late: int = 0
    not_run: int = 0
    unknown: int = 0
    reasons: dict[str, int] = {}

    @property
    def share(self) -> float:
        """Return the share that was in time."""
        return self.in_time / self.requests if self.requests else 1.0

    def add(self, record: CallRecord) -> None:
        """Count one record."""
        self.requests += 1
        self.in_time += record.in_time
        self.late += record.outcome == "complete" and not record.in_time
        self.not_run += record.outcome == "not-run"
        self.unknown += record.outcome in ("unknown", "unanswered", "missing")
        if record.outcome != "complete":
            reason = record.reason or record.outcome
            self.reasons[reason] = self.reasons.get(reason, 0) + 1


class StageCostLine(msgspec.Struct):
    """Hold what a stage cost at its endpoints.

    Units: service_ms is endpoint time, cost is in the pool's unit of cost.
    """

    executions: int = 0
    service_ms: float = 0.0
    cost: float = 0.0


class Report(msgspec.Struct, kw_only=True):
    """Hold the result of one replay."""

    trace: str
    deployment: str
    seed: int
    duration_s: float
    attainment: Attainment
    by_kind: dict[str, Attainment]
    by_workspace: dict[str, Attainment]
    latency_ms_by_kind: dict[str, dict[str, float]]
    first_token_ms: dict[str, float]
    token_gap_ms: dict[str, float]
    cost_by_stage: dict[str, StageCostLine]
    tokens_in_time: int
    weighted_completed: float
    cost_per_weighted: float
    refusals_by_reason: dict[str, int]
    retries: int
    prefill_tokens: int
    cached_tokens: int
    violations: Violations
    store_calls: dict
    timeline: list[dict]
    faults: list[dict]


class OutcomeBounds(msgspec.Struct, kw_only=True):
    """State what a replay must reach."""

    attainment_min: float = 0.0
    attainment_min_by_kind: dict[str, float] = {}
    violations_max: int = 0


def check_outcomes(report: Report, bounds: OutcomeBounds) -> list[str]:
    """Return each stated outcome that a report misses."""
    missed: list[str] = []
    if report.attainment.share < bounds.attainment_min:
        text = f"attainment {report.attainment.share:.3f} < {bounds.attainment_min}"
        missed.append(text)
    for kind, least in bounds.attainment_min_by_kind.items():
        share = report.by_kind.get(kind, Attainment()).share
        if share < least:
            missed.append(f"attainment of {kind} {share:.3f} < {least}")
    if report.violations.count > bounds.violations_max:
        missed.append(f"violations {report.violations.count}: {report.violations}")
    return missed


def _quantiles(values_ms: list[float]) -> dict[str, float]:
    histogram = HdrHistogram(1, HISTOGRAM_MAX_US, 3)
    for value in values_ms:
        histogram.record_value(max(1, int(value * 1000.0)))
    return {
        f"p{quantile:g}": histogram.get_value_at_percentile(quantile) / 1000.0
        for quantile in QUANTILES
    }


class _Totals:
    """Add up what became of the calls of a replay."""

    def __init__(self) -> None:
        self.attainment = Attainment()
        self.by_kind: dict[str, Attainment] = defaultdict(Attainment)
        self.by_workspace: dict[str, Attainment] = defaultdict(Attainment)
        self.latencies_ms: dict[str, list[float]] = defaultdict(list)
        self.first_tokens_ms: list[float] = []
        self.token_gaps_ms: list[float] = []
        self.refusals: Counter[str] = Counter()
        self.weighted = 0.0
        self.tokens_in_time = 0

    @classmethod
    def from_records(
        cls, records: list[CallRecord], pipelines_by_id: dict[str, dict]
    ) -> Self:
        """Add up the calls of a replay."""
        totals = cls()
        for record in records:
            totals.add(record, pipelines_by_id[record.request.pipeline])
        return totals

    def add(self, record: CallRecord, pipeline: dict) -> None:
        """Count a call, `pipeline` being what the configuration says of its kind."""
        kind = record.request.pipeline
        self.attainment.add(record)
        self.by_kind[kind].add(record)
        self.by_workspace[record.request.workspace].add(record)
        if record.outcome == "complete":
            self.latencies_ms[kind].append(record.elapsed_ms)
        else:
            self.refusals[record.reason or record.outcome] += 1
        if record.first_token_s:
            first_ms = (record.first_token_s - record.started_s) * 1000.0
            self.first_tokens_ms.append(first_ms)
            self.token_gaps_ms.extend(record.token_gaps_ms)
        if record.in_time:
            self.weighted += pipeline.get("weight", 1.0)
            self.tokens_in_time += sum(
                stage.get("expected_tokens", 0) for stage in pipeline["stages"]
            )

    def latency_ms_by_kind(self) -> dict[str, dict[str, float]]:
        """Return the quantiles of complete requests of each kind."""
        return {kind: _quantiles(values) for kind, values in self.latencies_ms.items()}


def make_report(
    *,
    trace: Trace,
    records: list[CallRecord],
    executions: list[ExecutionRecord],
    document: dict,
    store_calls: dict,
    retries: int,
    prefill_tokens: int,
    cached_tokens: int,
) -> Report:
    """Return the report of a replay."""
    totals = _Totals.from_records(records, document["pipelines"])
    costs = _costs(executions, document)
    cost = sum(line.cost for line in costs.values())
    return Report(
        trace=trace.name,
        deployment=trace.deployment,
        seed=trace.seed,
        duration_s=max((record.ended_s for record in records), default=0.0),
        attainment=totals.attainment,
        by_kind=dict(totals.by_kind),
        by_workspace=dict(totals.by_workspace),
        latency_ms_by_kind=totals.latency_ms_by_kind(),
        first_token_ms=_quantiles(totals.first_tokens_ms),
        token_gap_ms=_quantiles(totals.token_gaps_ms),
        cost_by_stage=costs,
        tokens_in_time=totals.tokens_in_time,
        weighted_completed=totals.weighted,
        cost_per_weighted=cost / totals.weighted if totals.weighted else 0.0,
        refusals_by_reason=dict(totals.refusals),
        retries=retries,
        prefill_tokens=prefill_tokens,
        cached_tokens=cached_tokens,
        violations=find_violations(records, executions, document),
        store_calls=store_calls,
        timeline=_timeline(records),
        faults=[msgspec.to_builtins(fault) for fault in trace.faults],
    )


def _costs(
    executions: list[ExecutionRecord], document: dict
) -> dict[str, StageCostLine]:
    pool_by_stage: dict[str, str] = {}
    for pipeline in document["pipelines"].values():
        for stage in pipeline["stages"]:
            pool_by_stage[stage["name"]] = stage["pool"]
    lines: dict[str, StageCostLine] = defaultdict(StageCostLine)
    for execution in executions:
        line = lines[execution.stage]
        line.executions += 1
        line.service_ms += execution.service_ms
        pool = document["pools"][pool_by_stage[execution.stage]]
        line.cost += execution.service_ms / 1000.0 * pool.get("cost_per_s", 1.0)
    return dict(lines)


def _timeline(records: list[CallRecord]) -> list[dict]:
    """Return per second of the trace what was asked and what became of it."""
    seconds: dict[int, Attainment] = defaultdict(Attainment)
    for record in records:
        seconds[int(record.started_s)].add(record)
    return [
        {"at_s": second, **msgspec.to_builtins(seconds[second])}
        for second in sorted(seconds)
    ]
