"""Measure what keyed requests cost the store and their callers.

Sends keyed and unkeyed moves through three entries, a tenth of the keys twice, and
counts store writes, added latency and executions.
"""

import asyncio
import json
import statistics
import sys
import time
from collections import Counter

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest

from leadford_server.web import fetch
from leadford_standins.fleet import Fleet, api_key, damier

REQUESTS = 1000
KEY = {"Authorization": f"Bearer {api_key('club-a')}", "Leadford-Deadline-Ms": "5000"}


async def send(fleet: Fleet, keyed: bool, per_s: float) -> list[float]:
    """Send moves at a rate and return their latencies in milliseconds."""
    http = CurlAsyncHTTPClient(force_instance=True, max_clients=1000)
    entries = fleet.entry_urls()
    body = json.dumps({"prompt": "e4"}).encode()

    async def call(index: int, copy: int) -> float:
        headers = dict(KEY)
        if keyed:
            headers["Idempotency-Key"] = f"bench-{per_s}-{index}"
        started = time.perf_counter()
        request = HTTPRequest(
            f"{entries[(index + copy) % 3]}/v1/pipelines/move/requests",
            method="POST",
            body=body,
            headers=headers,
        )
        response = await fetch(http, request)
        assert response.code == 200, (response.code, response.body)
        return (time.perf_counter() - started) * 1000

    calls = []
    started = time.perf_counter()
    for index in range(REQUESTS):
        await asyncio.sleep(max(0.0, started + index / per_s - time.perf_counter()))
        calls.append(asyncio.create_task(call(index, 0)))
        if keyed and index % 10 == 0:
            calls.append(asyncio.create_task(call(index, 1)))
    return list(await asyncio.gather(*calls))


async def get(url: str) -> dict:
    http = CurlAsyncHTTPClient()
    return json.loads((await fetch(http, url)).body)


async def measure(fleet: Fleet, per_s: float) -> None:
    plain = await send(fleet, False, per_s)
    before = await get(f"{fleet.store_url}/_stats")
    keyed = await send(fleet, True, per_s)
    after = await get(f"{fleet.store_url}/_stats")
    runs: Counter[str] = Counter()
    for name in fleet.agent_names:
        if name.startswith("live-play"):
            records = (await get(f"{fleet.endpoint_url(name)}/_records"))["records"]
            runs.update(record["request_id"] for record in records)
    doubled = sum(count > 1 for count in runs.values())
    print(
        f"{REQUESTS} keyed requests and {REQUESTS // 10} repeats at {per_s:.0f}/s: "
        f"{after['writes'] - before['writes']} writes "
        f"({after['conflicts'] - before['conflicts']} conflicts), "
        f"{after['reads'] - before['reads']} reads; median "
        f"{statistics.median(keyed):.1f} ms against {statistics.median(plain):.1f} ms "
        f"unkeyed, worst {max(keyed):.0f} ms; doubled {doubled}"
    )


def main() -> None:
    rates = [float(text) for text in sys.argv[1:]] or [100.0, 400.0]
    with Fleet(spec=damier(entries=3, engines=1, others=4)) as fleet:
        for per_s in rates:
            asyncio.run(measure(fleet, per_s))


if __name__ == "__main__":
    main()
