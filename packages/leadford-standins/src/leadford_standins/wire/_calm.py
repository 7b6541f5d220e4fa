"""Run a load without faults over the platform's protocol, from callers to stages.

This is a part of the demonstration: nothing fails, so every answer must have status 200
and no request may run more than once.
"""

import asyncio
from collections import Counter
from random import Random

from leadford_standins.wire._deployment import Deployment

ROUTES = ("safe", "unsafe", "resumed", "once")
REQUESTS_PER_S = 20.0
DURATION_S = 10.0
ENTRY_COUNT = 2


def run_without_faults(*, duration_s: float = DURATION_S, seed: int = 1) -> int:
    """Serve callers; return the number of repeated runs and failed requests.

    Units: duration_s in seconds.
    """
    return asyncio.run(_run(duration_s, Random(seed)))


async def _run(duration_s: float, random: Random) -> int:
    async with Deployment(entries=ENTRY_COUNT) as deployment:
        statuses: Counter[tuple[str, int]] = Counter()
        tasks = []
        total = int(duration_s * REQUESTS_PER_S)
        for number in range(total):
            route = random.choice(ROUTES)
            entry = random.randrange(ENTRY_COUNT)
            tasks.append(
                asyncio.create_task(_send(deployment, route, number, entry, statuses))
            )
            await asyncio.sleep(random.expovariate(REQUESTS_PER_S))
        await asyncio.gather(*tasks)
        repeated = _count_repeated_runs(deployment)
        sizes = [size for stage in deployment.stage for size in stage.batch_sizes_]
    print(f"\nplatform: {total} requests through {ENTRY_COUNT} entries on the wire")
    for (route, status), count in sorted(statuses.items()):
        print(f"{route:<12} {status:>6} {count:>6}")
    print(f"pieces a call: {sum(sizes) / max(1, len(sizes)):.1f}; doubled: {repeated}")
    failed = sum(count for (_, status), count in statuses.items() if status != 200)
    return repeated + failed


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


def _count_repeated_runs(deployment: Deployment) -> int:
    """Return the number of requests that ran more than once."""
    runs = Counter(
        run.request_id
        for endpoint in [*deployment.plain, *deployment.engines]
        for run in endpoint.runs_
    )
    return sum(count > 1 for count in runs.values())
