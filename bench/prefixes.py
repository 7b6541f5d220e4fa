"""Measure prefill saved by prefix affinity, and the tail under a hot prefix."""

import msgspec
from experiment import SEEDS, run, spread

from leadford_cli.replay import RequestKind, Trace, make_trace

DURATION_S = 12.0


def make(seed: int, hot: bool) -> Trace:
    kinds = [RequestKind("hint", 40.0, 1000.0, stream=True, system_words=300)]
    trace = make_trace(
        name="prefixes",
        deployment="damier",
        kinds=kinds,
        workspaces=["club-a"],
        weights=[1.0],
        seed=seed,
        duration_s=DURATION_S,
    )
    replace = msgspec.structs.replace
    # 120 prefixes are more than one engine keeps; a hot one takes 60 % of requests.
    trace.requests = [
        replace(r, system_id=0 if hot and i % 5 < 3 else (i * 7919) % 120)
        for i, r in enumerate(trace.requests)
    ]
    return trace


def main() -> None:
    for hot in (False, True):
        for policy in ("least_loaded", "expected_finish"):
            saved, tail, kept = [], [], []
            for seed in SEEDS:
                report = run(make(seed, hot), {"routing": policy})
                saved.append(report.cached_tokens / max(1, report.prefill_tokens))
                tail.append(report.latency_ms_by_kind["hint"]["p95"])
                kept.append(report.attainment.share)
            print(
                f"{'hot' if hot else 'even'} prefixes, {policy}: prefill saved "
                f"{spread(saved)}, p95 ms {spread(tail)}, attainment {spread(kept)}",
                flush=True,
            )


if __name__ == "__main__":
    main()
