"""Stand-ins for the scripts of this review: store, workers, clients and entries.

Uses only the standard library, so that the scripts run after a build without a network.
Everything listens on loopback addresses. The programs under test are started with the
command of the deploy file, each as a process of its own, and ended by their ids.
"""

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parent.parent
CALLERS_PORT = 8625
READY_PORT = 8621
PEERS_PORT = 7740
METRICS_PORT = 9464
PORTS = (CALLERS_PORT, READY_PORT, PEERS_PORT, METRICS_PORT)
HOST = "notes.example"
KEY = "key-of-the-review"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
# A script runs for 120 seconds at most.
SCRIPT_TIMEOUT_S = 110.0
READY_TIMEOUT_S = 20.0

Headers = list[tuple[str, str]]


class Record:
    """Write what was sent, answered and run, with the time since the start."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w")
        self.started_at = time.monotonic()

    def now(self) -> float:
        """Return the time since the start, in seconds."""
        return time.monotonic() - self.started_at

    def line(self, text: str) -> None:
        """Write one line."""
        self.file.write(f"{self.now():8.3f} {text}\n")

    def close(self) -> None:
        """Close the file."""
        self.file.close()


@dataclass
class Message:
    """Hold a request or an answer."""

    start: str
    headers: Headers
    body: bytes = b""

    def get(self, name: str, default: str = "") -> str:
        """Return the value of a header."""
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.start.split(" ")[0]

    @property
    def target(self) -> str:
        """Return the target of a request."""
        return self.start.split(" ")[1]

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.start.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Return the head of a message; None if the connection ended before it."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    start, *lines = head.decode("latin1")[:-4].split("\r\n")
    pairs = [line.partition(":") for line in lines]
    return Message(start, [(name, value.strip()) for name, _, value in pairs])


async def read_body(reader: asyncio.StreamReader, message: Message) -> bool:
    """Read the body of a message; return whether it is complete."""
    try:
        if message.get("Transfer-Encoding").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                data = await reader.readexactly(size + 2)
                message.body += data[:-2]
                if size == 0:
                    return True
        length = int(message.get("Content-Length", "0"))
        message.body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return False
    return True


def encode_answer(status: int, headers: Headers, body: bytes = b"") -> bytes:
    """Return the bytes of a complete answer."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin1") + body


@dataclass(eq=False)
class Connection:
    """Hold one accepted connection."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    # What the owner keeps of the connection.
    notes: dict = field(default_factory=dict)

    async def send(self, data: bytes) -> None:
        """Send bytes."""
        self.writer.write(data)
        await self.writer.drain()

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()

    def reset(self) -> None:
        """Reset the connection."""
        self.writer.transport.abort()


Handler = Callable[[Connection, Message], Awaitable[None]]


class Server:
    """Accept connections and pass each request on, one at a time a connection."""

    def __init__(self, handle: Handler) -> None:
        self.handle = handle
        self.connections: set[Connection] = set()
        self.tasks: set[asyncio.Task] = set()

    async def start(self, ip: str, port: int = 0) -> str:
        """Listen, and return the address."""
        self.server = await asyncio.start_server(self._serve, ip, port)
        return "{}:{}".format(*self.server.sockets[0].getsockname()[:2])

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = Connection(reader, writer)
        self.connections.add(connection)
        self.tasks.add(asyncio.current_task())
        try:
            while True:
                request = await read_head(reader)
                if request is None or not await read_body(reader, request):
                    break
                await self.handle(connection, request)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(connection)
            self.tasks.discard(asyncio.current_task())
            writer.close()

    def stop(self) -> None:
        """Stop to listen, and reset all connections, as a crash does."""
        self.server.close()
        for connection in list(self.connections):
            connection.reset()
        for task in list(self.tasks):
            task.cancel()


class Store:
    """Stand in for the platform's store: objects, listings and watches."""

    def __init__(self) -> None:
        self.server = Server(self._handle)
        self.kinds: dict[str, dict[str, dict]] = {}
        self.history: list[tuple[int, float, str, bool, dict]] = []
        self.revision = 100
        self.changed = asyncio.Event()
        # Set when a call about a kind has been answered.
        self.called: dict[str, asyncio.Event] = {}
        # The kind and the connection of each watch that waits.
        self.waiting: set[tuple[str, Connection]] = set()

    async def start(self, ip: str) -> str:
        """Listen, and return the address."""
        return await self.server.start(ip)

    def stop(self) -> None:
        """Stop."""
        self.server.stop()

    def put(self, kind: str, name: str, spec: dict) -> dict:
        """Write an object, and return it."""
        old = self.kinds.get(kind, {}).get(name)
        self.revision += 1
        item = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "made": old["metadata"]["made"] if old else self.revision,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": old["status"] if old else None,
        }
        self.kinds.setdefault(kind, {})[name] = item
        self._record(kind, False, item)
        return item

    def delete(self, kind: str, name: str) -> bool:
        """Remove an object; return whether there was one."""
        item = self.kinds.get(kind, {}).pop(name, None)
        if item is None:
            return False
        self.revision += 1
        item["metadata"]["revision"] = self.revision
        self._record(kind, True, item)
        return True

    async def until_called(self, kind: str, timeout_s: float) -> None:
        """Wait until a call about a kind has been answered, or for the timeout."""
        called = self.called.setdefault(kind, asyncio.Event())
        called.clear()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(called.wait(), timeout_s)

    def waiting_ports(self, kind: str) -> set[int]:
        """Return the callers' ports of the watches of a kind that wait."""
        peers = [
            c.writer.get_extra_info("peername") for k, c in self.waiting if k == kind
        ]
        return {peer[1] for peer in peers}

    def _record(self, kind: str, gone: bool, item: dict) -> None:
        now = time.monotonic()
        copied = json.loads(json.dumps(item))
        self.history.append((self.revision, now, kind, gone, copied))
        self.changed.set()
        self.changed = asyncio.Event()

    async def _handle(self, connection: Connection, request: Message) -> None:
        url = urlsplit(request.target)
        parts = [unquote(part) for part in url.path.split("/") if part]
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if parts[:2] != ["leadford", "objects"] or len(parts) < 3:
            status, answer = 404, {}
        else:
            kind, name = parts[2], parts[3] if len(parts) > 3 else None
            waits = (kind, connection)
            if int(query.get("waitMs", "0")) > 0:
                self.waiting.add(waits)
            try:
                status, answer = await self._call(request, kind, name, query)
            finally:
                self.waiting.discard(waits)
                if kind in self.called:
                    self.called[kind].set()
        body = json.dumps(answer).encode()
        head = [("Content-Type", "application/json")]
        await connection.send(encode_answer(status, head, body))

    async def _call(
        self, request: Message, kind: str, name: str | None, query: dict[str, str]
    ) -> tuple[int, dict]:
        objects = self.kinds.get(kind, {})
        if request.method == "GET" and "watch" in query:
            wait_s = int(query.get("waitMs", "0")) / 1_000.0
            return await self._watch(kind, int(query["watch"]), wait_s)
        if request.method == "GET" and name is None:
            items = [objects[key] for key in sorted(objects)]
            return 200, {"items": items, "more": False, "at": self.revision}
        if request.method == "POST":
            item = json.loads(request.body)
            name = item["metadata"]["name"]
            if name in objects:
                return 409, objects[name]
            return 200, self.put(kind, name, item["spec"])
        if name not in objects:
            return 404, {}
        if request.method == "DELETE":
            self.delete(kind, name)
            return 200, {}
        if request.method == "PUT":
            return 200, self.put(kind, name, json.loads(request.body)["spec"])
        return 200, objects[name]

    async def _watch(self, kind: str, revision: int, wait_s: float) -> tuple[int, dict]:
        until = time.monotonic() + wait_s
        while True:
            changed = self.changed
            events = [
                {"gone": gone, "object": item}
                for at, _, of_kind, gone, item in self.history
                if at > revision and of_kind == kind
            ]
            left_s = until - time.monotonic()
            if events or left_s <= 0.0:
                return 200, {"events": events, "at": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left_s)


class Worker:
    """Stand in for a worker: subclasses say how it runs a request."""

    def __init__(
        self, name: str, service: str, zone: str, record: Record, slots: int = 6
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.record = record
        self.slots = slots
        self.running = 0
        self.server = Server(self._handle)

    async def start(self, ip: str) -> None:
        """Listen."""
        self.address = await self.server.start(ip)

    def stop(self) -> None:
        """Stop, as a crash does."""
        self.server.stop()

    def spec(self, state: str = "ready") -> dict:
        """Return how the store lists the worker."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "coldLeftMs": 0,
            "sequence": 1,
        }

    def headers(self, request: Message) -> Headers:
        """Return the headers of each answer; the id is echoed where there is one."""
        headers = [("X-Server-Stamp", f"stamp.{self.name}")]
        headers.append(("X-Server-Load", f"{self.running},0,{self.slots}"))
        request_id = request.get("X-Attempt-Id")
        if request_id:
            headers.append(("X-Attempt-Id", request_id))
        return headers

    async def _handle(self, connection: Connection, request: Message) -> None:
        expected = request.get("X-Expect-Instance")
        if expected not in ("", self.name):
            head = [("X-Instance-Id", self.name), ("X-Not-Executed", "1")]
            await connection.send(encode_answer(421, head))
            return
        self.running += 1
        try:
            await self.serve(connection, request)
        finally:
            self.running -= 1

    async def refuse(
        self, connection: Connection, request: Message, status: int
    ) -> bytes:
        """Answer that the request has not run, and return the bytes of the answer."""
        head = [("X-Not-Executed", "1"), ("X-Attempt-Id", request.get("X-Attempt-Id"))]
        data = encode_answer(status, head)
        await connection.send(data)
        return data

    async def serve(self, connection: Connection, request: Message) -> None:
        """Run one request."""
        raise NotImplementedError


class Entry:
    """Run one entry as a process, with the command of the deploy file."""

    def __init__(
        self, name: str, ip: str, zone: str, folder: Path, fields: dict
    ) -> None:
        self.name = name
        self.ip = ip
        self.zone = zone
        self.folder = folder
        self.fields = fields
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Write the settings, and start the process."""
        path = self.folder / f"{self.name}.toml"
        path.write_text(self._settings())
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split(" ")
        kept = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in kept if name in os.environ}
        environment["LEADFORD_SETTINGS"] = str(path)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def _settings(self) -> str:
        fields = self.fields
        zones = "\n".join(f'{zone} = "region-1"' for zone in fields["zones"])
        seeds = json.dumps([f"{self.ip}:8628"])
        bounds = "\n".join(f"{name} = {v}" for name, v in fields["bounds"].items())
        return f"""\
nodeName = "{self.name}"
role = "entry"
machineClass = "front"
serves = ["front"]
ip = "{self.ip}"
zone = "{self.zone}"
region = "region-1"
internalPorts = [{PEERS_PORT}, {PEERS_PORT + 15}]
seeds = {seeds}
bootstrap = true
lossCounts = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
[zones]
{zones}
[listen]
front = "{self.ip}:{CALLERS_PORT}"
ready = "{self.ip}:{READY_PORT}"
[limits]
memoryMb = 300
maxFds = 4100
[bounds]
{bounds}
[platform]
address = "{fields["store"]}"
form = "objects"
"""

    def send_signal(self, number: signal.Signals) -> None:
        """Signal the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process, and wait for its end."""
        if self.process is not None:
            self.send_signal(signal.SIGKILL)
            self.process.wait()

    async def is_ready(self) -> bool:
        """Return whether the entry says that it is ready."""
        head = f"GET /leadford/readyz HTTP/1.1\r\nHost: {self.ip}\r\n\r\n"
        answer = await exchange(self.ip, READY_PORT, head.encode(), 1.0)
        return answer is not None and answer.status == 200


async def exchange(ip: str, port: int, data: bytes, timeout_s: float) -> Message | None:
    """Send a request on a new connection; return a complete answer, or None."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, port)
            writer.write(data)
            answer = await read_head(reader)
            if answer is not None and await read_body(reader, answer):
                return answer
    except (OSError, TimeoutError):
        pass
    finally:
        if writer is not None:
            writer.close()
    return None


async def send_request(
    entry: Entry,
    request_id: str,
    path: str,
    *,
    method: str = "POST",
    headers: Headers = (),
    body: bytes = b"",
    deadline_ms: int = 6_000,
    key: str = KEY,
) -> Message | None:
    """Send a client's request; return a complete answer, or None."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
    lines += [f"X-Attempt-Id: {request_id}", f"X-Deadline-Ms: {deadline_ms}"]
    lines += [f"Authorization: Token {key}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"Content-Length: {len(body)}", "", ""]
    data = "\r\n".join(lines).encode() + body
    return await exchange(entry.ip, CALLERS_PORT, data, deadline_ms / 1_000.0 + 1.0)


class Scene:
    """Hold the store, the workers and the entries of a script, and end them all."""

    def __init__(self, record: Record, bounds: dict[str, float]) -> None:
        self.record = record
        self.bounds = bounds
        self.store = Store()
        self.workers: list[Worker] = []
        self.entries: list[Entry] = []
        self.folder = Path(tempfile.mkdtemp(prefix="leadford-review-"))

    async def __aenter__(self) -> "Scene":
        self.prefix = free_block()
        self.store_address = await self.store.start(f"{self.prefix}.200")
        return self

    async def __aexit__(self, *error: object) -> None:
        for entry in self.entries:
            entry.kill()
        for worker in self.workers:
            worker.stop()
        self.store.stop()
        shutil.rmtree(self.folder, ignore_errors=True)

    async def add_worker(self, worker: Worker) -> None:
        """Start a worker, and list it."""
        await worker.start(f"{self.prefix}.{100 + len(self.workers)}")
        self.workers.append(worker)
        self.store.put("servers", worker.name, worker.spec())

    def write_config(self, config: dict) -> None:
        """Write the configuration, as the operator does."""
        self.store.put("config", "main", config)

    async def start_entries(self, zones: list[str]) -> None:
        """Start one entry in each of the zones, and wait until all are ready."""
        for number, zone in enumerate(zones):
            fields = {
                "bounds": self.bounds,
                "store": self.store_address,
                "zones": sorted(set(zones)),
            }
            ip = f"{self.prefix}.{10 + number}"
            entry = Entry(f"front-{number}", ip, zone, self.folder, fields)
            entry.start()
            self.entries.append(entry)
        for entry in self.entries:
            await self.until_ready(entry)

    async def until_ready(self, entry: Entry) -> None:
        """Wait until an entry is ready."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await entry.is_ready():
                await asyncio.sleep(0.05)


def free_block() -> str:
    """Return the first three numbers of loopback addresses with free ports."""
    for _ in range(50):
        prefix = f"127.{random.randrange(50, 250)}.{random.randrange(1, 250)}"
        try:
            for host in range(10, 40):
                for port in PORTS:
                    with socket.socket() as sock:
                        sock.bind((f"{prefix}.{host}", port))
        except OSError:
            continue
        return prefix
    raise RuntimeError("no free addresses")


def small_bounds() -> dict[str, float]:
    """Return the bounds of a small deployment, as on the sheets."""
    return {
        "seedLagS": 3,
        "reuseAfterS": 2,
        "contactMs": 3000,
        "ackMs": 4000,
        "catchUpS": 4,
        "drainMs": 2000,
        "graceS": 8,
        "lossSlackMs": 200,
        "configMs": 2000,
        "revertSlackMs": 250,
        "outerMs": 5000,
        "retryBudgetRatio": 0.2,
        "retryWindowS": 10,
        "retrySlack": 52,
        "recoverS": 12,
        "passMs": 120,
        "retryAfterS": 9.3,
    }


def run_script(folder: Path, main: Callable[[Record, bool], Awaitable[int]]) -> None:
    """Run a script, and exit with 0 if the rule held, 1 if not, 2 if it did not run."""
    record = Record(folder / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.line(f"begins, {'with' if has_trouble else 'without'} the disruption")
    status = COULD_NOT_RUN
    try:
        if not (ROOT / "target/deps").is_dir():
            raise RuntimeError("the system is not built")
        status = asyncio.run(_limited(main, record, has_trouble))
    except (Exception, asyncio.CancelledError) as error:
        record.line(f"could not run: {type(error).__name__}: {error}")
    verdict = {HELD: "the rule held", BROKEN: "the rule was broken"}
    record.line(verdict.get(status, "the case could not run"))
    record.close()
    sys.exit(status)


async def _limited(
    main: Callable[[Record, bool], Awaitable[int]], record: Record, has_trouble: bool
) -> int:
    # A script that is told to end leaves no process behind.
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        loop.add_signal_handler(number, asyncio.current_task().cancel)
    async with asyncio.timeout(SCRIPT_TIMEOUT_S):
        return await main(record, has_trouble)
