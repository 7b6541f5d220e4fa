"""Measure what leadford adds to calling the stand-ins directly.

Prints latency, processor time and memory, each with its baseline in the same run.
"""

import asyncio
import json
import os
import statistics
import subprocess
import sys
import time

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest

from leadford_server.web import fetch
from leadford_standins.fleet import Fleet, FleetSpec, api_key, damier

TICKS = os.sysconf("SC_CLK_TCK")
ROUNDS = 300
KEY = {"Authorization": f"Bearer {api_key('club-a')}"}
BODY = json.dumps({"prompt": "e4 e5"}).encode()
CALL = json.dumps(
    {"request_id": "d", "stage": "s", "attempt": 1, "input": {}, "previous": None}
).encode()
IMPORTS = (
    "import asyncio, tornado.web, tornado.curl_httpclient, websockets.asyncio.client, "
    "websockets.asyncio.server, cbor2, prometheus_client, absl.logging, returns.result"
)


def make_spec() -> FleetSpec:
    """Return one entry, one endpoint a pool, and pipelines for measuring."""
    spec = damier(entries=1, engines=1, others=1)
    seen: set[str] = set()
    kept = []
    for endpoint in spec.endpoints:
        if endpoint.pool not in seen:
            seen.add(endpoint.pool)
            kept.append(endpoint)
    spec.endpoints = kept
    for endpoint in spec.endpoints:
        endpoint.service_ms = 2.0
        if endpoint.kind == "engine":
            endpoint.step_ms, endpoint.slope, endpoint.concurrency = 48.0, 0.0, 256
    spec.document["pools"]["engines"]["concurrency"] = 256
    spec.document["pools"]["lobby"]["concurrency"] = 1024
    spec.document["pools"]["lobby"]["queue_limit"] = 4096
    stages = [
        {"name": name, "pool": pool, "expected_ms": 3}
        for name, pool in (
            ("encode", "encoders"),
            ("retrieve", "retrievers"),
            ("rerank", "rerankers"),
        )
    ]
    spec.document["pipelines"]["search"] = {"deadline_ms": 5000, "stages": stages}
    long = {"name": "generate", "pool": "engines", "expected_tokens": 325}
    long["expected_ms"] = 15600
    spec.document["pipelines"]["long"] = {"deadline_ms": 60000, "stages": [long]}
    spec.document["tuning"] = {"admission": False}
    return spec


def cpu_s(pid: int) -> float:
    """Return the processor time of a process."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def rss_mib(pid: int) -> float:
    """Return the resident memory of a process."""
    with open(f"/proc/{pid}/status") as file:
        for line in file:
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1024
    return 0.0


def import_floor_mib(code: str) -> float:
    """Return the resident memory of an interpreter after some code."""
    probe = "; print([l for l in open('/proc/self/status') if 'VmRSS' in l][0])"
    output = subprocess.run(
        [sys.executable, "-c", code + probe], capture_output=True, text=True, check=True
    )
    return int(output.stdout.split()[1]) / 1024


class Bench:
    """Hold the fleet and the client of one run."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.http = CurlAsyncHTTPClient(force_instance=True, max_clients=2000)
        self.entry = fleet.entry_urls()[0]
        self.entry_pid = fleet.processes_by_name_["entry-1"].pid
        self.agent_pid = fleet.processes_by_name_["engines-1"].pid

    async def post(self, url: str, body: bytes, **more: object) -> int:
        headers = {**KEY, **more.pop("headers", {})}
        request = HTTPRequest(
            url,
            method="POST",
            body=body,
            headers=headers,
            request_timeout=60.0,
            **more,
        )
        return (await fetch(self.http, request)).code

    async def leadford(self, pipeline: str) -> None:
        code = await self.post(f"{self.entry}/v1/pipelines/{pipeline}/requests", BODY)
        assert code == 200, code

    async def direct(self, endpoints: list[str]) -> None:
        for name in endpoints:
            code = await self.post(f"{self.fleet.endpoint_url(name)}/v1/run", CALL)
            assert code == 200, code

    async def latency(self) -> None:
        cases = {
            "lobby": ["lobby-1"],
            "search": ["encoders-1", "retrievers-1", "rerankers-1"],
        }
        for pipeline, endpoints in cases.items():
            through, direct = [], []
            for _ in range(ROUNDS):
                started = time.perf_counter()
                await self.direct(endpoints)
                middle = time.perf_counter()
                await self.leadford(pipeline)
                through.append((time.perf_counter() - middle) * 1000)
                direct.append((middle - started) * 1000)
            added = statistics.median(through) - statistics.median(direct)
            print(
                f"latency, {len(endpoints)} stage(s): direct median "
                f"{statistics.median(direct):.2f} ms, leadford "
                f"{statistics.median(through):.2f} ms, added per stage "
                f"{added / len(endpoints):.2f} ms"
            )

    async def rate(self) -> None:
        count, width = 3000, 32
        remaining = iter(range(count))

        async def worker() -> None:
            for _ in remaining:
                await self.leadford("lobby")

        cpu, started = cpu_s(self.entry_pid), time.perf_counter()
        await asyncio.gather(*(worker() for _ in range(width)))
        cpu, elapsed = cpu_s(self.entry_pid) - cpu, time.perf_counter() - started
        print(
            f"one-stage requests: {count / elapsed:.0f}/s seen by the client, "
            f"{count / cpu:.0f}/s per core of the entry"
        )

    async def tokens(self) -> None:
        """Hold an entry's share of the designed size: 8 requests/s, 2,600 tokens/s."""
        url = f"{self.entry}/v1/pipelines/long/requests"
        headers = {"Accept": "text/event-stream"}
        calls = []
        marks = []
        for index in range(8 * 26):
            call = self.post(url, BODY, headers=headers, streaming_callback=len)
            calls.append(asyncio.create_task(call))
            await asyncio.sleep(0.125)
            if index in (8 * 17, 8 * 25):
                metrics = await self.metric("leadford_tokens_total")
                marks.append(
                    (
                        time.perf_counter(),
                        cpu_s(self.entry_pid),
                        cpu_s(self.agent_pid),
                        metrics,
                    )
                )
        (t0, e0, a0, n0), (t1, e1, a1, n1) = marks
        tokens = n1 - n0
        print(
            f"8 requests/s with {tokens / (t1 - t0):.0f} tokens/s: entry "
            f"{(e1 - e0) / (t1 - t0):.3f} of a core, "
            f"{(e1 - e0) / tokens * 1e6:.0f} us a token; agent "
            f"{(a1 - a0) / tokens * 1e6:.0f} us a token"
        )
        for call in calls:
            call.cancel()
        await asyncio.gather(*calls, return_exceptions=True)

    async def metric(self, name: str) -> float:
        response = await fetch(self.http, f"{self.entry}/metrics")
        for line in response.body.decode().splitlines():
            if line.startswith(name + " "):
                return float(line.split()[1])
        return 0.0

    async def memory(self) -> None:
        lobby_pid = self.fleet.processes_by_name_["lobby-1"].pid
        before = rss_mib(self.entry_pid), rss_mib(lobby_pid)
        url = self.fleet.endpoint_url("lobby-1")
        self.fleet.set_faults(url, delay_ms=6000.0)
        address = f"{self.entry}/v1/pipelines/lobby/requests"
        calls = [
            asyncio.create_task(
                self.post(address, BODY, headers={"Leadford-Deadline-Ms": "30000"})
            )
            for _ in range(1000)
        ]
        await asyncio.sleep(4.0)
        after = rss_mib(self.entry_pid), rss_mib(lobby_pid)
        print(
            f"memory per 1,000 live requests: entry +{after[0] - before[0]:.1f} MiB, "
            f"agent +{after[1] - before[1]:.1f} MiB"
        )
        await asyncio.gather(*calls)


async def measure(fleet: Fleet) -> None:
    bench = Bench(fleet)
    bare = import_floor_mib("pass")
    floor = import_floor_mib(IMPORTS)
    print(
        f"memory idle: interpreter {bare:.1f} MiB, with its libraries {floor:.1f} MiB; "
        f"entry {rss_mib(bench.entry_pid):.1f} MiB, agent "
        f"{rss_mib(bench.agent_pid):.1f} MiB"
    )
    await bench.latency()
    await bench.rate()
    await bench.memory()
    await bench.tokens()


def main() -> None:
    with Fleet(spec=make_spec()) as fleet:
        asyncio.run(measure(fleet))


if __name__ == "__main__":
    main()
