"""Show a calm stretch on the platform's wire, from callers to batched stages.

A part of the demonstration: nothing fails, so every answer must be 200 and none
doubled.
"""

import asyncio
from collections import Counter
from random import Random

from leadford_standins.wire._deployment import Deployment

ROUTES = ("safe", "unsafe", "resumed", "once")
# Requests a second, seconds and entries; choices of the demonstration.
REQUESTS_PER_S = 20.0
DURATION_S = 10.0
ENTRIES = 2


def run_calm(*, duration_s: float = DURATION_S, seed: int = 1) -> int:
    """Serve callers for a while; return how many promises were broken."""
    return asyncio.run(_run(duration_s, Random(seed)))


async def _run(duration_s: float, random: Random) -> int:
    async with Deployment(entries=ENTRIES) as deployment:
        statuses: Counter[tuple[str, int]] = Counter()
        sending = []
        total = int(duration_s * REQUESTS_PER_S)
        for number in range(total):
            route = random.choice(ROUTES)
            entry = random.randrange(ENTRIES)
            sending.append(
                asyncio.create_task(_send(deployment, route, number, entry, statuses))
            )
            await asyncio.sleep(random.expovariate(REQUESTS_PER_S))
        await asyncio.gather(*sending)
        doubled = _doubled(deployment)
        calls = [size for stage in deployment.stage for size in stage.calls_]
    print(f"\nplatform: {total} requests through {ENTRIES} entries on the wire")
    for (route, status), count in sorted(statuses.items()):
        print(f"{route:<12} {status:>6} {count:>6}")
    print(f"pieces a call: {sum(calls) / max(1, len(calls)):.1f}; doubled: {doubled}")
    failed = sum(count for (_, status), count in statuses.items() if status != 200)
    return doubled + failed


async def _send(
    deployment: Deployment,
    route: str,
    number: int,
    entry: int,
    statuses: Counter[tuple[str, int]],
) -> None:
    answer = await deployment.send(
        f"/{route}/x", request_id=f"calm-{number}", entry=entry
    )
    statuses[route, answer.code] += 1


def _doubled(deployment: Deployment) -> int:
    """Return how many requests ran more than once."""
    runs = Counter(
        run.request_id
        for endpoint in [*deployment.plain, *deployment.engines]
        for run in endpoint.runs_
    )
    return sum(count > 1 for count in runs.values())
