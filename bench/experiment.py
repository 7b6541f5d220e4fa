"""Run one replay against a fleet with given settings; shared by the experiments."""

import statistics
from collections.abc import Callable

import msgspec

from leadford_cli.replay import Replay, Report, RequestKind, Trace, make_trace
from leadford_standins.fleet import Fleet, FleetSpec, deployments

BASELINE = {"routing": "round_robin", "queue": "fifo", "admission": False}
ENGINES = 4
DAMIER_WORKSPACES = ("club-a", "club-b", "club-c", "coaches", "juniors")
SEEDS = (1, 2, 3)


def damier_mix(scale: float, seed: int, duration_s: float = 12.0) -> Trace:
    """Return a steady mix of Damier's kinds; scale 1 is about capacity."""
    kinds = [
        RequestKind("hint", 16 * scale, 1000.0, stream=True, system_words=60),
        RequestKind("review", 14 * scale, 2500.0, system_words=120),
        RequestKind("move", 15 * scale, 500.0, repeatable=False),
        RequestKind("lobby", 10 * scale, 500.0),
    ]
    return make_trace(
        name="damier_mix",
        deployment="damier",
        kinds=kinds,
        workspaces=list(DAMIER_WORKSPACES),
        weights=[1.0] * len(DAMIER_WORKSPACES),
        seed=seed,
        duration_s=duration_s,
    )


def run(
    trace: Trace,
    tuning: dict,
    *,
    change: Callable[[FleetSpec], None] | None = None,
    prepare: Callable[[Fleet], None] | None = None,
    engines: int = ENGINES,
    others: int = 2,
    entries: int = 3,
) -> Report:
    """Start a fleet, replay a trace, and return the report."""
    spec = deployments[trace.deployment](
        entries=entries, engines=engines, others=others
    )
    spec.document["tuning"] = dict(tuning)
    if change is not None:
        change(spec)
    with Fleet(spec=spec) as fleet:
        if prepare is not None:
            prepare(fleet)
        report = Replay(trace=trace, fleet=fleet.file()).run()
    if report.violations.count:
        print("VIOLATIONS", msgspec.to_builtins(report.violations))
    return report


def spread(values: list[float]) -> str:
    """Return the median of values and their range."""
    middle = statistics.median(values)
    return f"{middle:.3f} ({min(values):.3f}..{max(values):.3f})"


def shares(report: Report) -> str:
    """Return the attainment of each kind."""
    return " ".join(
        f"{kind}={line.share:.3f}{line.reasons or ''}"
        for kind, line in sorted(report.by_kind.items())
    )
