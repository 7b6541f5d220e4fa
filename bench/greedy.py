"""Measure what a workspace at ten times its share takes from the others."""

from experiment import BASELINE, DAMIER_WORKSPACES, SEEDS, run, spread

from leadford_cli.replay import RequestKind, Trace, make_trace

GREEDY = "club-a"
OTHERS = tuple(w for w in DAMIER_WORKSPACES if w != GREEDY)
DURATION_S = 12.0
# Four others use four fifths of their minimum; the greedy one asks for ten times it.
OTHER_REVIEWS = 3.6
GREEDY_REVIEWS = 45.0


def make(seed: int, greedy: bool) -> Trace:
    kinds = [
        RequestKind("review", 4 * OTHER_REVIEWS, 2500.0, workspaces=OTHERS),
    ]
    if greedy:
        kinds.append(
            RequestKind("review", GREEDY_REVIEWS, 2500.0, workspaces=(GREEDY,))
        )
    return make_trace(
        name="greedy",
        deployment="damier",
        kinds=kinds,
        workspaces=list(DAMIER_WORKSPACES),
        weights=[1.0] * 5,
        seed=seed,
        duration_s=DURATION_S,
    )


def main() -> None:
    solo = [
        min(run(make(seed, False), {}).by_workspace[w].share for w in OTHERS)
        for seed in SEEDS
    ]
    print(f"solo: least attainment of the others {spread(solo)}", flush=True)
    variants = {
        "baseline": BASELINE,
        "weighted_fair": {"queue": "weighted_fair"},
        "guaranteed_minimum": {"queue": "guaranteed_minimum"},
    }
    for name, tuning in variants.items():
        least, rates = [], []
        for seed in SEEDS:
            report = run(make(seed, True), tuning)
            least.append(min(report.by_workspace[w].share for w in OTHERS))
            rates.append(report.tokens_in_time / DURATION_S)
        print(
            f"{name}: least attainment of the others {spread(least)}, tokens in "
            f"time/s {spread(rates)}",
            flush=True,
        )


if __name__ == "__main__":
    main()
