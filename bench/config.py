"""Measure how configuration changes reach every process, and what it costs.

Agents are many and small here: connections of the real follower, a few in each
process, so that fleets of several sizes fit on one machine.
"""

import asyncio
import json
import random
import statistics
import sys
import time

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest

from leadford_server.web import fetch
from leadford_standins.fleet import Fleet, damier, operator_token

CHANGES = 100
TOKEN = {"Authorization": f"Bearer {operator_token('ops')}"}


class Checker:
    """Poll every process for its version and note any step back."""

    def __init__(self, fleet: Fleet, http: CurlAsyncHTTPClient) -> None:
        self.fleet = fleet
        self.http = http
        self.versions: dict[str, int] = {}
        self.reached_at: dict[int, dict[str, float]] = {}
        self.reversions = 0
        self.running = True

    async def poll(self) -> None:
        while self.running:
            names = [*self.fleet.entry_names, *self.fleet.agent_names]
            await asyncio.gather(*(self._poll_one(name) for name in names))
            await asyncio.sleep(0.01)

    async def _poll_one(self, name: str) -> None:
        response = await fetch(self.http, f"{self.fleet.health_url(name)}/readyz")
        if response.code != 200:
            return
        version = json.loads(response.body)["config"]
        now = time.perf_counter()
        known = self.versions.get(name)
        self.versions[name] = version
        if known is None:
            # A process that just started has reached nothing late.
            return
        self.reversions += version < known
        for seen in range(known + 1, version + 1):
            self.reached_at.setdefault(seen, {})[name] = now


async def change(fleet: Fleet, http: CurlAsyncHTTPClient, number: int) -> int:
    """Make one change and return its version."""
    share = 1 + number % 50
    call = {"statement": f"set share of workspace juniors to {share}"}
    for entry in fleet.entry_urls():
        request = HTTPRequest(
            f"{entry}/v1/operator/statements",
            method="POST",
            body=json.dumps(call),
            headers=TOKEN,
            connect_timeout=0.5,
        )
        response = await fetch(http, request)
        if response.code == 200:
            return json.loads(response.body)["version"]
    raise AssertionError(response.body)


async def measure(fleet: Fleet, changes: int) -> None:
    http = CurlAsyncHTTPClient(force_instance=True, max_clients=200)
    checker = Checker(fleet, http)
    poller = asyncio.create_task(checker.poll())
    await asyncio.sleep(1.0)
    accepted: dict[int, float] = {}
    draw = random.Random(1)
    loop = asyncio.get_running_loop()
    before = await stats(fleet, http)
    for number in range(changes):
        victim = draw.choice(fleet.entry_names) if number % 10 == 5 else ""
        if victim:
            await loop.run_in_executor(None, fleet.kill, victim)
        version = await change(fleet, http, number)
        accepted[version] = time.perf_counter()
        await asyncio.sleep(0.15)
        if victim:
            # The change is made while the victim, a relay of its hall, is gone.
            checker.versions.pop(victim, None)
            await loop.run_in_executor(None, fleet.restart, victim)
    after = await stats(fleet, http)
    await asyncio.sleep(3.0)
    checker.running = False
    await poller
    count = len(fleet.entry_names) + len(fleet.agent_names)
    spreads = []
    for version, at in accepted.items():
        reached = checker.reached_at.get(version, {})
        spreads.append(max(reached.values()) - at)
    latest = max(accepted)
    behind = [n for n, v in checker.versions.items() if v < latest]
    print(
        f"{changes} changes, {count} processes, a relay killed before every tenth: "
        f"in force everywhere after median {statistics.median(spreads) * 1000:.0f} ms, "
        f"worst {max(spreads) * 1000:.0f} ms (the poll itself takes some 30 ms); "
        f"steps back {checker.reversions}; behind at the end {behind}"
    )
    print(
        f"store calls per change: writes "
        f"{(after['writes'] - before['writes']) / changes:.2f}, reads "
        f"{(after['reads'] - before['reads']) / changes:.2f}"
    )


async def stats(fleet: Fleet, http: CurlAsyncHTTPClient) -> dict:
    return json.loads((await fetch(http, f"{fleet.store_url}/_stats")).body)


async def idle(fleet: Fleet, seconds: float) -> None:
    """Measure what an idle fleet costs the store and itself."""
    from path import cpu_s, rss_mib

    http = CurlAsyncHTTPClient(force_instance=True)
    names = [*fleet.entry_names, *fleet.agent_names]
    pids = {name: fleet.processes_by_name_[name].pid for name in names}
    await asyncio.sleep(3.0)
    cpu = {name: cpu_s(pid) for name, pid in pids.items()}
    sent = {name: await peer_bytes(fleet, http, name) for name in names}
    before = await stats(fleet, http)
    await asyncio.sleep(seconds)
    after = await stats(fleet, http)
    cpu = {name: (cpu_s(pid) - cpu[name]) / seconds for name, pid in pids.items()}
    sent = {
        name: (await peer_bytes(fleet, http, name) - sent[name]) / seconds
        for name in names
    }
    minutes = seconds / 60.0
    print(
        f"idle, {len(fleet.entry_names)} entries and {len(fleet.agent_names)} agents: "
        f"store reads a minute {(after['reads'] - before['reads']) / minutes:.1f}, "
        f"writes {(after['writes'] - before['writes']) / minutes:.1f}, waiting "
        f"{after['waiting']}",
        flush=True,
    )
    for role, members in (("entry", fleet.entry_names), ("agent", fleet.agent_names)):
        memory = statistics.mean(rss_mib(pids[name]) for name in members)
        cores = statistics.mean(cpu[name] for name in members)
        rate = statistics.mean(sent[name] for name in members)
        print(
            f"  {role}: {cores:.4f} of a core, {memory:.1f} MiB, "
            f"{rate:.0f} bytes/s of frames both ways",
            flush=True,
        )


async def peer_bytes(fleet: Fleet, http: CurlAsyncHTTPClient, name: str) -> float:
    """Return the bytes of frames that a process sent and received."""
    response = await fetch(http, f"{fleet.health_url(name)}/metrics")
    total = 0.0
    for line in response.body.decode().splitlines():
        if line.startswith("leadford_peer_bytes_total{"):
            total += float(line.rpartition(" ")[2])
    return total


def main() -> None:
    what = sys.argv[1] if len(sys.argv) > 1 else "all"
    if what in ("all", "changes"):
        with Fleet(spec=damier(entries=4, engines=8, others=4)) as fleet:
            asyncio.run(measure(fleet, CHANGES))
    if what in ("all", "idle"):
        for entries, engines in ((2, 2), (4, 8), (8, 20), (12, 40)):
            spec = damier(entries=entries, engines=engines, others=2)
            with Fleet(spec=spec) as fleet:
                asyncio.run(idle(fleet, 40.0))


if __name__ == "__main__":
    main()
