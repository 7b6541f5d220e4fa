"""Measure goodput and attainment from half to twice capacity, ours and baseline."""

import sys

from experiment import BASELINE, damier_mix, run, shares

SEEDS = (1,)


def main() -> None:
    scales = [float(text) for text in sys.argv[1:]] or [1.0, 1.5, 2.0]
    variants = {"baseline": BASELINE, "leadford": {}}
    for scale in scales:
        for seed in SEEDS:
            for name, tuning in variants.items():
                trace = damier_mix(scale, seed)
                report = run(trace, tuning)
                rate = report.tokens_in_time / 12.0
                print(
                    f"scale {scale} seed {seed} {name}: attainment "
                    f"{report.attainment.share:.3f}, tokens in time {rate:.0f}/s, "
                    f"{shares(report)}, retries {report.retries}",
                    flush=True,
                )


if __name__ == "__main__":
    main()
