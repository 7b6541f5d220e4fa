"""Measure goodput and attainment at one, one and a half and two times capacity."""

import sys

from experiment import BASELINE, SEEDS, damier_mix, run, shares, spread

CAPACITY_SCALE = 1.4
DURATION_S = 12.0


def main() -> None:
    factors = [float(text) for text in sys.argv[1:]] or [1.0, 1.5, 2.0]
    variants = {"baseline": BASELINE, "leadford": {}}
    capacity = 0.0
    for factor in factors:
        for name, tuning in variants.items():
            rates, hints, moves = [], [], []
            for seed in SEEDS:
                trace = damier_mix(factor * CAPACITY_SCALE, seed, DURATION_S)
                report = run(trace, tuning)
                rates.append(report.tokens_in_time / DURATION_S)
                hints.append(report.by_kind["hint"].share)
                moves.append(report.by_kind["move"].share)
                print(f"  {factor} {name} {seed}: {shares(report)}", flush=True)
            capacity = max(capacity, sorted(rates)[len(rates) // 2])
            print(
                f"{factor}x {name}: tokens in time/s {spread(rates)}, of the most seen "
                f"{sorted(rates)[len(rates) // 2] / capacity:.3f}, hints "
                f"{spread(hints)}, moves {spread(moves)}",
                flush=True,
            )


if __name__ == "__main__":
    main()
