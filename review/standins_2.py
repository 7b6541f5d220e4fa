"""Small stand-ins for the scripts of the second review: store, worker, client, entry.

They speak the users' protocol as its pages say, on loopback addresses and the real
clock, with the standard library only. Every process that is started here is ended here,
by its id.
"""

import asyncio
import json
import os
import signal
import socket
import struct
import subprocess
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST = "front.example"
KEY = "k-review"
TENANT = "tenant-1"
ZONES = ("hall-a", "hall-b", "hall-c")


class Record:
    """Write what was sent, answered and run, with the time since the start."""

    def __init__(self, path: Path) -> None:
        self.began_at = time.monotonic()
        self.file = path.open("w")

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.began_at

    def write(self, text: str) -> None:
        """Write one line."""
        self.file.write(f"{self.now():8.3f} s  {text}\n")
        self.file.flush()


class Request:
    """Hold one request that a stand-in received."""

    def __init__(self, method: str, target: str, headers: list[tuple[str, str]]):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = b""

    def header(self, name: str, default: str = "") -> str:
        """Return the first header of a name."""
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default


async def read_head(reader: asyncio.StreamReader) -> tuple[str, list[tuple[str, str]]]:
    """Return the first line and the headers of a message."""
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers.append((name.strip(), value.strip()))
    return lines[0], headers


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Return the next request of a connection, with its body."""
    line, headers = await read_head(reader)
    method, target, _ = line.split(" ", 2)
    request = Request(method, target, headers)
    if request.header("Transfer-Encoding").lower() == "chunked":
        parts = []
        while True:
            size = int((await reader.readuntil(b"\n")).split(b";")[0], 16)
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
            if size == 0:
                break
        request.body = b"".join(parts)
    else:
        request.body = await reader.readexactly(
            int(request.header("Content-Length", "0"))
        )
    return request


def answer_bytes(
    status: int, headers: list[tuple[str, str]], body: bytes = b"", reason: str = "X"
) -> bytes:
    """Return a whole answer with a length."""
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection, so that its other side does not see an orderly end."""
    sock = writer.transport.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Server:
    """Serve requests on one loopback port; `handle` writes the answer."""

    def __init__(self) -> None:
        self.server_: asyncio.Server | None = None
        self.writers_: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def start(self) -> None:
        """Listen at a free port."""
        self.server_ = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server_.sockets[0].getsockname()[1]

    @property
    def address(self) -> str:
        """Return the address that others connect to."""
        return f"127.0.0.1:{self.port}"

    def stop_listening(self) -> None:
        """Take no further connections."""
        self.server_.close()

    def reset_all(self) -> None:
        """Reset every open connection, as the end of a process may."""
        for writer in list(self.writers_):
            reset(writer)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers_.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if not await self.handle(request, reader, writer):
                    return
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            return
        finally:
            self.writers_.discard(writer)
            writer.close()

    async def handle(
        self,
        request: Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer one request; return whether the connection goes on."""
        raise NotImplementedError


class Store(Server):
    """Hold objects by kind and name, with lists, watches and writes."""

    def __init__(self) -> None:
        super().__init__()
        self.revision_ = 100
        self.objects_: dict[str, dict[str, dict]] = {}
        self.history_: list[tuple[int, str, bool, dict]] = []
        self.changed_ = asyncio.Event()
        # Whether each call is answered with 503, watches that wait too; the operator
        # writes with `put`.
        self.refuses = False

    def put(self, kind: str, name: str, spec: object) -> dict:
        """Write an object."""
        self.revision_ += 1
        metadata = {
            "name": name,
            "revision": self.revision_,
            "made": self.revision_,
            "finalizers": [],
            "deleting": False,
        }
        item = {"metadata": metadata, "spec": spec, "status": None}
        self.objects_.setdefault(kind, {})[name] = item
        self._changed(kind, False, item)
        return item

    def delete(self, kind: str, name: str) -> bool:
        """Remove an object; return whether it was there."""
        item = self.objects_.get(kind, {}).pop(name, None)
        if item is None:
            return False
        self.revision_ += 1
        self._changed(kind, True, item)
        return True

    def _changed(self, kind: str, gone: bool, item: dict) -> None:
        self.history_.append((self.revision_, kind, gone, item))
        self.changed_.set()
        self.changed_ = asyncio.Event()

    async def handle(self, request, reader, writer) -> bool:
        """Answer one call."""
        status, body = (503, {}) if self.refuses else await self._answer(request)
        if self.refuses:
            status, body = 503, {}
        data = json.dumps(body).encode()
        head = [("Content-Type", "application/json")]
        writer.write(answer_bytes(status, head, data))
        await writer.drain()
        return True

    async def _answer(self, request: Request) -> tuple[int, dict]:
        parts = urlsplit(request.target)
        query = parse_qs(parts.query)
        names = [unquote(part) for part in parts.path.split("/") if part][2:]
        kind = names[0] if names else ""
        name = names[1] if len(names) > 1 else None
        objects = self.objects_.get(kind, {})
        if request.method == "GET" and name is not None:
            return (200, objects[name]) if name in objects else (404, {})
        if request.method == "GET" and "watch" in query:
            wait_s = int(query.get("waitMs", ["0"])[0]) / 1_000.0
            return 200, await self._watch(kind, int(query["watch"][0]), wait_s)
        if request.method == "GET":
            items = [objects[key] for key in sorted(objects)]
            return 200, {"items": items, "more": False, "at": self.revision_}
        if request.method == "DELETE":
            return (200, {}) if self.delete(kind, name) else (404, {})
        item = json.loads(request.body)
        wanted = name or item["metadata"]["name"]
        if request.method == "POST" and wanted in objects:
            return 409, objects[wanted]
        return 200, self.put(kind, wanted, item["spec"])

    async def _watch(self, kind: str, revision: int, wait_s: float) -> dict:
        until = time.monotonic() + wait_s
        while True:
            changed = self.changed_
            events = [
                {"gone": gone, "object": item}
                for at, of_kind, gone, item in self.history_
                if at > revision and of_kind == kind
            ]
            left_s = until - time.monotonic()
            if events or left_s <= 0.0:
                return {"events": events, "at": self.revision_}
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                continue


def endpoint_spec(
    service: str, address: str, zone: str, *, slots: int, state: str = "ready"
) -> dict:
    """Return what a worker writes about itself in the store."""
    return {
        "service": service,
        "address": address,
        "zone": zone,
        "version": "v1",
        "slots": slots,
        "state": state,
        "coldLeftMs": 0,
        "sequence": 1,
    }


def free_port(ip: str) -> int:
    """Return a port that is free now, outside of the ephemeral range."""
    for port in range(13_000 + os.getpid() % 9_000, 32_000):
        with socket.socket() as sock:
            try:
                sock.bind((ip, port))
            except OSError:
                continue
            return port
    raise RuntimeError("no free port")


SETTINGS = """\
nodeName = "{name}"
role = "entry"
machineClass = "front"
serves = ["front"]
ip = "{ip}"
zone = "{zone}"
region = "region"
internalPorts = [{peers}, {peers_last}]
seeds = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
[zones]
{zones}
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
[limits]
cpuShare = 0.817
cores = 1
memoryMb = 300
maxFds = 4100
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configMs = 2000
revertSlackMs = 250
outerMs = 5000
retryBudgetRatio = 0.2
retryWindowS = 10
retrySlack = 52
recoverS = 12
passMs = 120
retryAfterS = 9.3
[platform]
address = "{store}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
value_bytes = 1048576
"""


class Entry:
    """Run one entry of the project, with the command of the deploy file."""

    def __init__(self, *, number: int, store: str, folder: Path) -> None:
        # Entries listen at the same ports of different loopback addresses.
        self.ip = f"127.{64 + os.getpid() % 120}.{os.getpid() // 120 % 250}.{number}"
        self.name = f"front-{number}"
        self.folder = folder
        self.front = free_port(self.ip)
        self.ready = self.front + 1
        self.peers = self.front + 2
        self.process_: subprocess.Popen | None = None
        self.settings = folder / f"{self.name}.toml"
        self.settings.write_text(
            SETTINGS.format(
                name=self.name,
                ip=self.ip,
                zone=ZONES[(number - 1) % len(ZONES)],
                zones="\n".join(f'{zone} = "region"' for zone in ZONES),
                front=self.front,
                ready=self.ready,
                peers=self.peers,
                peers_last=self.peers + 15,
                store=store,
            )
        )

    def start(self) -> None:
        """Start the process."""
        log = (self.folder / f"{self.name}.log").open("ab")
        variables = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        self.process_ = subprocess.Popen(
            ["python3", "platform/run.py"],
            cwd=ROOT,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            env={**variables, "LEADFORD_SETTINGS": str(self.settings)},
        )
        log.close()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process that was started here, if it runs."""
        if self.process_ is not None and self.process_.poll() is None:
            self.process_.send_signal(number)

    def end(self) -> None:
        """End the process, and wait for it."""
        if self.process_ is None:
            return
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self.process_.wait()

    async def is_ready(self) -> bool:
        """Return whether the entry says that it takes new callers."""
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ready)
        except OSError:
            return False
        writer.write(b"GET /leadford/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
        try:
            line, _ = await read_head(reader)
        except (asyncio.IncompleteReadError, ConnectionError):
            return False
        finally:
            writer.close()
        return " 200 " in line + " "

    async def wait_ready(self, timeout_s: float = 20.0) -> None:
        """Wait until the entry takes new callers."""
        until = time.monotonic() + timeout_s
        while not await self.is_ready():
            if time.monotonic() > until or self.process_.poll() is not None:
                raise CannotRun(f"{self.name} does not become ready")
            await asyncio.sleep(0.05)


class CannotRun(Exception):
    """Signal that a case could not run."""


class Answer:
    """Hold what a client got."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: list[tuple[str, str]] = []
        self.body = b""
        self.is_complete = False


class Client:
    """Send requests over one kept connection, as a sound client does."""

    def __init__(self, entry: Entry, *, key: str = KEY) -> None:
        self.entry = entry
        self.key = key
        self.reader_: asyncio.StreamReader | None = None
        self.writer_: asyncio.StreamWriter | None = None

    async def open(self) -> None:
        """Open the connection."""
        self.reader_, self.writer_ = await asyncio.open_connection(
            self.entry.ip, self.entry.front
        )

    def close(self) -> None:
        """Close the connection."""
        if self.writer_ is not None:
            self.writer_.close()

    async def send(
        self,
        method: str,
        path: str,
        attempt_id: str,
        *,
        headers: list[tuple[str, str]] = (),
        body: bytes = b"",
        deadline_ms: int = 6_000,
        on_head: Callable[[Answer], None] = lambda answer: None,
    ) -> Answer:
        """Send a request and return its answer, however far it came."""
        if self.writer_ is None:
            await self.open()
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Attempt-Id: {attempt_id}",
            f"X-Deadline-Ms: {deadline_ms}",
            f"Authorization: Token {self.key}",
            *(f"{name}: {value}" for name, value in headers),
        ]
        if method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        self.writer_.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        answer = Answer()
        try:
            async with asyncio.timeout(deadline_ms / 1_000.0 + 1.0):
                await self._read(answer, on_head)
        except (asyncio.IncompleteReadError, ConnectionError, TimeoutError):
            self.close()
            self.writer_ = None
        return answer

    async def _read(self, answer: Answer, on_head: Callable[[Answer], None]) -> None:
        line, answer.headers = await read_head(self.reader_)
        answer.status = int(line.split(" ")[1])
        on_head(answer)
        known = {name.lower(): value for name, value in answer.headers}
        if known.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int(await self.reader_.readuntil(b"\n"), 16)
                answer.body += await self.reader_.readexactly(size)
                await self.reader_.readexactly(2)
                if size == 0:
                    break
        else:
            length = int(known.get("content-length", "0"))
            answer.body = await self.reader_.readexactly(length)
        answer.is_complete = True
        if known.get("connection", "").lower() == "close":
            self.close()
            self.writer_ = None


def run_case(
    folder: Path,
    play: Callable[[Record, Path, bool], Awaitable[bool]],
    *,
    has_trouble: bool,
) -> int:
    """Play a case; return 1 if the rule was broken, 0 if it held, 2 if it can't run."""
    record = Record(folder / "record.txt")
    record.write(f"trouble: {'yes' if has_trouble else 'no'}")
    with tempfile.TemporaryDirectory(prefix="review-") as scratch:
        try:
            is_broken = asyncio.run(
                asyncio.wait_for(play(record, Path(scratch), has_trouble), 110.0)
            )
        except (CannotRun, OSError, TimeoutError) as error:
            record.write(f"could not run: {type(error).__name__}: {error}")
            return 2
    record.write("the rule was broken" if is_broken else "the rule held")
    return 1 if is_broken else 0
