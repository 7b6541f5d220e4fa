"""Tell from the entries' own logs why the requests of a day were not served in time.

Reads lines that hold a JSON object with an `event` number, from standard input, and
prints tables by kind of request, by time and by stage, and what each stage allows. The
rules stand in `leadford_cli.days`.

    explain_day.py [--worth AIM_MS=WORTH]... [--plot FILE] < LOG
"""

import argparse
import sys
from collections import Counter, defaultdict
from pathlib import Path
from statistics import median

from leadford_cli.days import (
    CallEnded,
    CallerRequest,
    DayLog,
    LossCause,
    caller_requests,
    read_day,
    service_bounds,
)

# Length of time of one line of the tables.
STEP_S = 2.0
COLOURS_BY_CAUSE = {
    LossCause.IN_TIME: "tab:green",
    LossCause.RETURNED_LATE: "tab:olive",
    LossCause.STAGES_LATE: "tab:orange",
    LossCause.ENGINE_LATE: "tab:brown",
    LossCause.PAUSED: "tab:pink",
    LossCause.REFUSED: "tab:blue",
    LossCause.REFUSED_AGAIN: "tab:purple",
}


def quantile(values: list[float], part: float) -> float:
    """Return the value below which a part of the values lies."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))] if ordered else 0


def print_causes(requests: list[CallerRequest]) -> None:
    """Print how many requests of each aim had which cause."""
    causes_by_aim: dict[float, Counter] = defaultdict(Counter)
    for request in requests:
        causes_by_aim[request.last.aim_ms][request.cause] += 1
    print("requests by aim (ms) and cause")
    for aim_ms, causes in sorted(causes_by_aim.items()):
        text = ", ".join(f"{c.value} {count}" for c, count in causes.most_common())
        print(f"{aim_ms:8.0f} {sum(causes.values()):5}  {text}")


def print_course(requests: list[CallerRequest]) -> None:
    """Print how many requests that came in each step had which cause."""
    causes_by_step: dict[int, Counter] = defaultdict(Counter)
    for request in requests:
        causes_by_step[int(request.received_at_s // STEP_S)][request.cause] += 1
    print("from second, requests and cause")
    for step, causes in sorted(causes_by_step.items()):
        text = ", ".join(f"{c.value} {count}" for c, count in causes.most_common())
        print(f"{step * STEP_S:8.0f} {sum(causes.values()):5}  {text}")


def print_services(day: DayLog) -> None:
    """Print for each stage how full its calls were, and how busy its endpoints."""
    calls_by_service: dict[str, list[CallEnded]] = defaultdict(list)
    for call in day.calls:
        calls_by_service[call.service].append(call)
    for service, calls in sorted(calls_by_service.items()):
        done = [call for call in calls if call.is_done]
        waits = [call.waited_ms for call in done]
        pieces = sum(call.pieces for call in done)
        print(
            f"{service}: {len(calls)} calls, {len(calls) - len(done)} not done, "
            f"{pieces / max(1, len(done)):.1f} of {max(c.batch for c in calls)} "
            f"pieces, waited {median(waits or [0]):.0f} ms, "
            f"p90 {quantile(waits, 0.9):.0f} ms"
        )
        steps: dict[int, list[CallEnded]] = defaultdict(list)
        for call in done:
            steps[int(call.at_s // (2 * STEP_S))].append(call)
        for step, found in sorted(steps.items()):
            busy = sum(call.took_ms for call in found) / (2_000.0 * STEP_S)
            fill = sum(call.pieces for call in found) / len(found)
            print(f"{step * 2 * STEP_S:8.0f}  busy {busy:4.1f}  pieces {fill:4.1f}")


def print_bounds(
    day: DayLog, requests: list[CallerRequest], worth_by_aim: dict[float, float]
) -> None:
    """Print what each stage allows beside what was in time."""
    worths = [worth_by_aim.get(request.last.aim_ms, 1.0) for request in requests]
    in_time = sum(
        worth
        for worth, request in zip(worths, requests, strict=True)
        if request.cause is LossCause.IN_TIME
    )
    print(f"in time: {in_time / max(1e-9, sum(worths)):.3f} of the worth")
    for bound in service_bounds(day, requests, worth_by_aim):
        print(
            f"{bound.service} allows {bound.part:.3f} "
            f"(full calls of {bound.batch} in {bound.full_call_s * 1_000.0:.0f} ms)"
        )


def draw(requests: list[CallerRequest], day: DayLog, file: Path) -> None:
    """Draw causes and busy endpoints over time."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (upper, lower) = pyplot.subplots(2, 1, sharex=True, figsize=(10, 7))
    steps = sorted({int(request.received_at_s // STEP_S) for request in requests})
    bottoms = [0.0] * len(steps)
    for cause in LossCause:
        counts = [
            sum(
                request.cause is cause and int(request.received_at_s // STEP_S) == step
                for request in requests
            )
            for step in steps
        ]
        if not any(counts):
            continue
        upper.bar(
            [step * STEP_S for step in steps],
            counts,
            STEP_S * 0.9,
            bottom=bottoms,
            label=cause.value,
            color=COLOURS_BY_CAUSE.get(cause, "tab:gray"),
        )
        bottoms = [low + count for low, count in zip(bottoms, counts, strict=True)]
    upper.set_ylabel("requests with stages")
    upper.legend(fontsize="small")
    for service in sorted({call.service for call in day.calls}):
        calls = [call for call in day.calls if call.service == service]
        lower.plot(
            [call.at_s for call in calls],
            [call.waited_ms / 1_000.0 for call in calls],
            ".",
            label=service,
        )
    for changes in day.listed_by_service.values():
        for at_s, _, is_ready in changes:
            if at_s > 0.0 and not is_ready:
                lower.axvline(at_s, color="black", linestyle=":", linewidth=0.5)
    lower.set_ylabel("oldest piece of a call waited, s")
    lower.set_xlabel("second of the day; dotted: an endpoint left")
    lower.legend(fontsize="small")
    figure.savefig(file, dpi=100)


def main() -> None:
    """Print the tables, and draw the day where a file is named."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--worth", action="append", default=[])
    parser.add_argument("--plot", type=Path)
    options = parser.parse_args()
    pairs = [text.split("=") for text in options.worth]
    worth_by_aim = {float(aim): float(worth) for aim, worth in pairs}
    day = read_day(sys.stdin)
    requests = caller_requests(day.ends)
    print_causes(requests)
    print_course(requests)
    print_services(day)
    print_bounds(day, requests, worth_by_aim)
    if options.plot is not None:
        draw(requests, day, options.plot)


if __name__ == "__main__":
    main()
