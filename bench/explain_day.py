"""Tell from the processes' own logs where the requests of a day lost their time.

Reads lines that hold a JSON object with an `event` number, from files or standard
input, and prints tables by route and by stage service.
"""

import json
import sys
from collections import defaultdict
from statistics import median

FORWARD_ENDED = 406
PIECES_CALLED = 407
PIECE_REMADE = 408


def records(lines):
    """Yield the event of each line that holds one."""
    for line in lines:
        start = line.find('{"event"')
        if start < 0:
            continue
        try:
            yield json.loads(line[start:])
        except ValueError:
            continue


def quantile(values, part):
    """Return the value below which a part of the values lies."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))] if ordered else 0


def main():
    """Print the tables."""
    routes = defaultdict(list)
    services = defaultdict(list)
    remade = defaultdict(int)
    for record in records(sys.stdin):
        if record["event"] == FORWARD_ENDED:
            routes[record["route"]].append(record)
        elif record["event"] == PIECES_CALLED:
            services[record["service"]].append(record)
        elif record["event"] == PIECE_REMADE:
            remade[record["reason"][:40]] += 1
    print(f"{'route':12} {'n':>5} {'outcome':34} {'stages':>13} {'first':>13}")
    for route, ended in sorted(routes.items()):
        outcomes = defaultdict(int)
        for record in ended:
            outcomes[record["outcome"]] += 1
        stages = [r["stages_ms"] for r in ended if r["stages_ms"] >= 0]
        first = [r["first_ms"] for r in ended if r["first_ms"] >= 0]
        text = " ".join(f"{key}:{count}" for key, count in sorted(outcomes.items()))
        print(
            f"{route:12} {len(ended):5} {text:34} "
            f"{quantile(stages, 0.5):6}/{quantile(stages, 0.9):6} "
            f"{quantile(first, 0.5):6}/{quantile(first, 0.9):6}"
        )
    print(f"{'service':12} {'calls':>5} {'pieces':>6} {'fill':>5} {'wait':>13} busy_s")
    for service, calls in sorted(services.items()):
        pieces = [call["pieces"] for call in calls]
        waits = [call["waited_ms"] for call in calls]
        outcomes = defaultdict(int)
        for call in calls:
            outcomes[call["outcome"][:24]] += 1
        busy_s = sum(call["took_ms"] for call in calls) / 1_000.0
        print(
            f"{service:12} {len(calls):5} {sum(pieces):6} "
            f"{sum(pieces) / len(calls):5.1f} "
            f"{median(waits):6.0f}/{quantile(waits, 0.9):6.0f} {busy_s:6.1f} "
            f"{dict(outcomes)}"
        )
    print("remade:", dict(remade))


if __name__ == "__main__":
    main()
