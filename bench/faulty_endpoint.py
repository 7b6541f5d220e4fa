"""Measure attainment with one of six engines slow, failing, dead or flapping.

The yardstick is the run in which that engine is absent from the start.
"""

import sys

from experiment import SEEDS, damier_mix, run, shares, spread

from leadford_cli.replay import Trace, TraceFault
from leadford_standins.fleet import FleetSpec

ENGINES = 6
BAD = "engines-3"
SCALE = 1.2
DURATION_S = 14.0


def absent(spec: FleetSpec) -> None:
    spec.endpoints = [e for e in spec.endpoints if e.name != BAD]


def faults_of(case: str) -> list[TraceFault]:
    if case == "slow":
        return [_set(0.0, speed=0.1)]
    if case == "failing":
        return [_set(0.0, error_rate=1.0)]
    if case == "dead":
        return [TraceFault(at_s=0.0, target=BAD, action="kill")]
    if case == "flapping":
        return [_set(float(s), error_rate=float(s % 2)) for s in range(14)]
    return []


def _set(at_s: float, **faults: float) -> TraceFault:
    return TraceFault(at_s=at_s, target=BAD, action="set", faults=faults)


def make(case: str, seed: int) -> Trace:
    trace = damier_mix(SCALE, seed, DURATION_S)
    trace.faults = faults_of(case)
    return trace


def main() -> None:
    cases = sys.argv[1:] or ["absent", "slow", "failing", "dead", "flapping"]
    for case in cases:
        values, retries = [], []
        for seed in SEEDS:
            change = absent if case == "absent" else None
            report = run(make(case, seed), {}, change=change, engines=ENGINES)
            values.append(report.attainment.share)
            retries.append(report.retries / report.attainment.requests)
            print(f"  {case} {seed}: {shares(report)}", flush=True)
        print(
            f"{case}: attainment {spread(values)}, retries per request "
            f"{spread(retries)}",
            flush=True,
        )


if __name__ == "__main__":
    main()
