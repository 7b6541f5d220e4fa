"""Serve both deployments' pipelines while an endpoint and an entry die.

A calm stretch on the platform's wire follows.
"""

from leadford_standins.fleet import Fleet, deployments
from leadford_standins.wire import run_without_faults

TRACE_BY_DEPLOYMENT = {
    "damier": "damier_club_night",
    "association": "admissions_offer_deadline",
}
# Seconds of each trace, and the size of the fleets; choices of the demonstration.
DURATION_S = 15.0
ENTRIES = 3
ENGINES = 4
ROW = "{:<12} {:>8} {:>10} {:>8} {:>8} {:>9} {:>8}"


def run_demo() -> int:
    """Run the demonstration and return 0 when no promise was broken."""
    from leadford_cli.replay import Replay, TraceFault, trace_generators

    violations = 0
    for deployment, trace_name in TRACE_BY_DEPLOYMENT.items():
        trace = trace_generators[trace_name](seed=1, duration_s=DURATION_S, scale=0.6)
        trace.faults = [
            TraceFault(at_s=5.0, target="engines-2", action="kill"),
            TraceFault(at_s=9.0, target="entry-2", action="kill"),
        ]
        spec = deployments[deployment](entries=ENTRIES, engines=ENGINES, others=2)
        print(
            f"\n{deployment}: {len(trace.requests)} requests in {DURATION_S:.0f} s "
            f"through {ENTRIES} entries and {len(spec.endpoints)} agents; the agent "
            "of an engine and an entry are killed under way",
            flush=True,
        )
        with Fleet(spec=spec) as fleet:
            report = Replay(trace=trace, fleet=fleet.file()).run()
        _print_report(report)
        violations += report.violations.count
    violations += run_without_faults()
    print(f"\nviolations found: {violations}")
    return 0 if violations == 0 else 1


def _print_report(report: object) -> None:
    print(
        ROW.format(
            "kind", "requests", "attainment", "late", "not-run", "unknown", "p50 ms"
        )
    )
    for kind, line in sorted(report.by_kind.items()):
        latency = report.latency_ms_by_kind.get(kind, {}).get("p50", 0.0)
        print(
            ROW.format(
                kind,
                line.requests,
                f"{line.share:.3f}",
                line.late,
                line.not_run,
                line.unknown,
                f"{latency:.0f}",
            )
        )
    total = report.attainment
    print(f"all: {total.requests} requests, attainment {total.share:.3f}")
    costs = ", ".join(
        f"{stage} {line.cost:.1f}" for stage, line in report.cost_by_stage.items()
    )
    print(
        f"cost by stage: {costs}; {report.cost_per_weighted:.3f} per weighted request"
    )
    writes = report.store_calls.get("writes", 0)
    print(f"retries: {report.retries}; store writes: {writes}")
    broken = report.violations
    print(
        f"violations: lost {len(broken.lost)}, doubled {len(broken.doubled)}, "
        f"crossed {len(broken.crossed)}, false not-run {len(broken.false_not_run)}, "
        f"mislabelled {len(broken.mislabelled)}"
    )
