"""Workers fall silent for a second; streams that they go on with are cut off."""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins_2 import (  # noqa: E402
    HOST,
    KEY,
    TENANT,
    ZONES,
    Answer,
    Client,
    Entry,
    Record,
    Server,
    Store,
    answer_bytes,
    endpoint_spec,
    run_case,
)

# Events follow each other within the route's gapGoalMs; deadline and timeout are
# those of `carrier-notes`.
EVENTS = 40
EVENT_S = 0.18
PROMPT_S = 0.1
TIMEOUT_MS = 20_000
SLOTS = 64
# The sheet has 19.4 streams a second.
REQUEST_INTERVAL_S = 1.0 / 11.0
TRAFFIC_S = 26.0
# When each worker falls silent, once, and for how long.
SILENT_AT_S = (14.0, 17.0, 20.0)
SILENT_S = 1.2
# When the entries get SIGHUP; the rule covers requests sent up to configMs after it.
HUP_AT_S = 18.5
CONFIG_S = 2.0


class ModelWorker(Server):
    """Run streams one event at a time, with one pause for all of them if told so."""

    def __init__(self, name: str, record: Record) -> None:
        super().__init__()
        self.name = name
        self.record = record
        self.running_ = 0
        self.speaks_ = asyncio.Event()
        self.speaks_.set()

    async def fall_silent(self) -> None:
        """Send nothing for a while, then go on with everything."""
        self.record.write(f"{self.name} falls silent with {self.running_} streams")
        self.speaks_.clear()
        await asyncio.sleep(SILENT_S)
        self.speaks_.set()
        self.record.write(f"{self.name} goes on, with {self.running_} streams left")

    async def handle(self, request, reader, writer) -> bool:
        """Run one request."""
        if request.header("X-Expect-Instance") not in ("", self.name):
            writer.write(answer_bytes(421, [("X-Instance-Id", self.name)]))
            return True
        attempt = request.header("X-Attempt-Id")
        after = int(request.header("Last-Event-Id", "0"))
        self.running_ += 1
        try:
            await asyncio.sleep(PROMPT_S)
            await self.speaks_.wait()
            writer.write(
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                f"X-Attempt-Id: {attempt}\r\nX-Server-Stamp: stamp.{self.name}\r\n"
                f"X-Server-Load: {self.running_},0,{SLOTS}\r\n"
                "Transfer-Encoding: chunked\r\n\r\n".encode()
            )
            for number in range(after + 1, EVENTS + 1):
                await asyncio.sleep(EVENT_S)
                await self.speaks_.wait()
                if reader.at_eof() or writer.is_closing():
                    return False
                event = f"id: {number}\ndata: {attempt} {number}\n\n".encode()
                writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            return True
        finally:
            self.running_ -= 1


def config() -> dict:
    """Return a configuration with one route for streams that may be resumed."""
    service = {
        "name": "leadford-pool",
        "healthPath": "/healthz",
        "maxConns": 360,
        "engine": {"slots": SLOTS, "kvCapacity": 343_821},
    }
    return {
        "version": 7,
        "routes": [
            {
                "name": "r-notes",
                "host": HOST,
                "pathPrefix": "/notes/",
                "routeKind": "stream",
                "timeoutMs": TIMEOUT_MS,
                "goalMs": 2_500,
                "gapGoalMs": 200,
                "priority": 2,
                "service": "leadford-pool",
                "maxAttempts": 2,
                "public": False,
                "sticky": True,
                "resumable": True,
            }
        ],
        "services": [service],
        "limits": {"idleTimeoutMs": 15_000},
        "tenants": [{"name": TENANT, "apiKeys": [KEY]}],
    }


class Caller:
    """Send streams, and record how each connection ended."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.sent_at_: dict[str, float] = {}
        self.ended_at_: dict[str, float] = {}
        self.answer_by_attempt_: dict[str, Answer] = {}

    async def send(self, entry: Entry, attempt: str) -> None:
        """Send one stream and read it to its end."""
        client = Client(entry)
        self.sent_at_[attempt] = time.monotonic()
        answer = await client.send(
            "POST",
            f"/notes/{attempt}",
            attempt,
            headers=[
                ("X-Model", "m"),
                ("X-Token-Counts", "715,300"),
                ("X-Prefix-Hash", f"5c1e07a2:172,{attempt}:543"),
            ],
            body=f"prompt {attempt}".encode(),
            deadline_ms=TIMEOUT_MS,
        )
        self.ended_at_[attempt] = time.monotonic()
        self.answer_by_attempt_[attempt] = answer
        client.close()
        took_s = self.ended_at_[attempt] - self.sent_at_[attempt]
        events = answer.body.count(b"\n\n")
        end = "complete" if answer.is_complete else "CLOSED WITHOUT ITS END"
        self.record.write(
            f"{attempt} at {entry.name}: {answer.status}, {events} events, {end},"
            f" after {took_s:.2f} s"
        )

    def lost(self, hup_at: float) -> list[str]:
        """Return the requests that were cut after the SIGHUP though it covers them."""
        found = []
        for attempt, answer in self.answer_by_attempt_.items():
            sent_at = self.sent_at_[attempt]
            ended_at = self.ended_at_[attempt]
            if answer.is_complete or ended_at - sent_at >= TIMEOUT_MS / 1_000.0:
                continue
            if sent_at <= hup_at + CONFIG_S and ended_at > hup_at:
                found.append(attempt)
        return found


async def play(record: Record, scratch: Path, has_trouble: bool) -> bool:
    """Return whether streams were cut that no disruption excuses."""
    store = Store()
    await store.start()
    store.put("config", "main", config())
    workers = [ModelWorker(f"i-{zone}", record) for zone in ZONES]
    for worker, zone in zip(workers, ZONES, strict=True):
        await worker.start()
        spec = endpoint_spec("leadford-pool", worker.address, zone, slots=SLOTS)
        store.put("servers", worker.name, spec)
    entries = [
        Entry(number=number, store=store.address, folder=scratch)
        for number in range(1, 4)
    ]
    caller = Caller(record)
    try:
        for entry in entries:
            entry.start()
        for entry in entries:
            await entry.wait_ready()
        await asyncio.sleep(3.0)
        began_at = time.monotonic()
        silences = []
        if has_trouble:
            for worker, at_s in zip(workers, SILENT_AT_S, strict=True):
                silences.append(asyncio.create_task(_silence(worker, at_s)))
        hup = asyncio.create_task(_send_hup(record, entries))
        sent = []
        number = 0
        while time.monotonic() < began_at + TRAFFIC_S:
            entry = entries[number % len(entries)]
            sent.append(asyncio.create_task(caller.send(entry, f"n{number:04}")))
            number += 1
            await asyncio.sleep(REQUEST_INTERVAL_S)
        await asyncio.gather(*sent, *silences)
        hup_at = await hup
    finally:
        for entry in entries:
            entry.end()
    cut = [n for n, a in caller.answer_by_attempt_.items() if not a.is_complete]
    lost = caller.lost(hup_at)
    sent_after = [n for n in lost if caller.sent_at_[n] >= hup_at]
    record.write(
        f"of {len(caller.sent_at_)} streams {len(cut)} were closed without their end,"
        f" {len(lost)} of them where the SIGHUP counts, of which {len(sent_after)}"
        " were sent after it"
    )
    return bool(lost)


async def _silence(worker: ModelWorker, at_s: float) -> None:
    await asyncio.sleep(at_s)
    await worker.fall_silent()


async def _send_hup(record: Record, entries: list[Entry]) -> float:
    await asyncio.sleep(HUP_AT_S)
    hup_at = time.monotonic()
    for entry in entries:
        entry.signal(signal.SIGHUP)
    record.write("each entry gets SIGHUP")
    return hup_at


if __name__ == "__main__":
    # TROUBLE=0 plays the same without the disruption.
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    folder = Path(__file__).resolve().parent
    sys.exit(run_case(folder, play, has_trouble=has_trouble))
