"""Measure what forwarding adds: to plain requests, and to the events of streams.

Entry, endpoints and callers run in one process on loopback, so that their clocks agree;
the figures hold the processor time of all of them.
"""

import asyncio
import time
from statistics import median

from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from leadford_standins.wire import Deployment
from leadford_standins.wire._deployment import HOST, KEY
from leadford_standins.wire._endpoints import EngineStandIn

REQUESTS = 500
STREAMS = 40
EVENTS = 60
EVENT_PAUSE_S = 0.02
CALL_S = 0.005


class TimedEngine(EngineStandIn):
    """Stream events that carry the time when they were made."""

    async def serve(self, handler) -> None:
        """Run one stream."""
        handler.record_run()
        handler.set_header("Content-Type", "text/event-stream")
        for number in range(1, EVENTS + 1):
            await asyncio.sleep(EVENT_PAUSE_S)
            handler.write(f"id: {number}\ndata: {time.monotonic()}\n\n".encode())
            await handler.flush()
        handler.finish()


def quantile(values, part):
    """Return the value below which a part of the values lies."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


async def plain_ms(deployment) -> tuple[list[float], list[float]]:
    """Return the times of requests to an endpoint, and of those through an entry."""
    client = AsyncHTTPClient()
    address = deployment.plain[0].address_
    direct, forwarded = [], []
    for number in range(REQUESTS):
        headers = {"X-Attempt-Id": f"d{number}"}
        request = HTTPRequest(
            f"http://{address}/safe/x", method="POST", headers=headers, body=b"payload"
        )
        began_at = time.monotonic()
        await client.fetch(request)
        direct.append((time.monotonic() - began_at) * 1_000.0)
        began_at = time.monotonic()
        answer = await deployment.send("/unsafe/x", request_id=f"f{number}")
        assert answer.code == 200
        forwarded.append((time.monotonic() - began_at) * 1_000.0)
    return direct, forwarded


async def event_delays_ms(deployment) -> list[float]:
    """Return how long after its making each event reached a caller."""
    delays: list[float] = []

    def take(data: bytes) -> None:
        now = time.monotonic()
        for line in data.split(b"\n"):
            if line.startswith(b"data: "):
                delays.append((now - float(line[6:])) * 1_000.0)

    async def stream(number: int) -> None:
        address = deployment.entries_[0].settings.callers
        request = HTTPRequest(
            f"http://{address}/once/x",
            method="POST",
            body=b"payload",
            headers={
                "Host": HOST,
                "X-Attempt-Id": f"s{number}",
                "X-Deadline-Ms": "9000",
                "X-Pieces": "1,1",
                "X-Piece-Key": f"k{number}",
                "X-Token-Counts": "100,10",
                "X-Prefix-Hash": "aa:50,bb:50",
                "Authorization": f"Token {KEY}",
            },
            streaming_callback=take,
        )
        await AsyncHTTPClient().fetch(request)

    await asyncio.gather(*(stream(number) for number in range(STREAMS)))
    return delays


async def main() -> None:
    """Print both."""
    AsyncHTTPClient.configure(None, max_clients=STREAMS)
    async with Deployment() as deployment:
        for endpoint in deployment.plain:
            endpoint.work_s = CALL_S
        for engine in deployment.engines:
            engine.__class__ = TimedEngine
        for route in deployment.config["routes"]:
            route["timeoutMs"] = 9_000
        deployment.config["version"] += 1
        deployment.put_config()
        direct, forwarded = await plain_ms(deployment)
        delays = await event_delays_ms(deployment)
    print(
        f"plain, {REQUESTS} requests one after the other, work {CALL_S * 1e3:.0f} ms:"
    )
    for name, values in (("direct", direct), ("through an entry", forwarded)):
        p99 = quantile(values, 0.99)
        print(f"  {name:18} median {median(values):6.2f} ms, p99 {p99:6.2f} ms")
    print(f"events of {STREAMS} streams at once, {len(delays)} of {STREAMS * EVENTS}:")
    p99 = quantile(delays, 0.99)
    print(
        f"  median {median(delays):.2f} ms, p99 {p99:.2f} ms, most {max(delays):.2f} ms"
    )


if __name__ == "__main__":
    asyncio.run(main())
