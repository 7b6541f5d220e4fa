"""Measure attainment and cost under both objectives on both shipped traces."""

from experiment import SEEDS, run, spread

from leadford_cli.replay import trace_generators
from leadford_standins.fleet import FleetSpec

DURATION_S = 15.0
SCALE = 0.8


def main() -> None:
    for name, generate in trace_generators.items():
        urgent = "move" if name.startswith("damier") else "decision"
        for objective in ("attainment", "cost"):

            def change(spec: FleetSpec, objective: str = objective) -> None:
                spec.document["objective"] = objective

            cost, kept, first = [], [], []
            for seed in SEEDS:
                trace = generate(seed=seed, duration_s=DURATION_S, scale=SCALE)
                report = run(trace, {}, change=change, engines=6)
                cost.append(report.cost_per_weighted)
                kept.append(report.attainment.share)
                first.append(report.by_kind[urgent].share)
            print(
                f"{name}, {objective}: cost per weighted request {spread(cost)}, "
                f"attainment {spread(kept)}, {urgent} {spread(first)}",
                flush=True,
            )


if __name__ == "__main__":
    main()
