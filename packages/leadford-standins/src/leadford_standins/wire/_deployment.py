"""Run a small deployment of the platform on loopback: store, endpoints, entries.

All in one event loop, entries included; tests of `leadford_standins.wire` and the
demonstration use it.
"""

import asyncio
import socket
from functools import partial
from random import Random, SystemRandom

from returns.result import Success
from tornado.httpclient import AsyncHTTPClient, HTTPRequest, HTTPResponse

from leadford.common import EntryId, HallId
from leadford.forwarding.batching import PlaceId, RegionMap
from leadford_platform import PlatformObjects, PlatformRequests
from leadford_server.forwarding import ForwardBounds, ForwardProcess, ForwardSettings
from leadford_server.settings import SocketAddress
from leadford_server.web import fetch
from leadford_standins.wire._endpoints import PlainStandIn, StageStandIn
from leadford_standins.wire._engines import EngineStandIn
from leadford_standins.wire._store import StoreStandIn

HOST = "rooms.example"
KEY = "key-1"
# Seconds for the entries to be ready, and between looks; choices of the tests.
READY_S = 5.0
STEP_S = 0.02

REFUSALS = (429, 503)
# Below the ports from which the kernel lets connections leave.
PORT_LEAST, PORT_MOST = 12_000, 32_000
# Runs beside each other must not draw the same ports.
_PORTS = SystemRandom()


def free_port() -> int:
    """Return a port that nobody listens on now, and that no connection leaves from.

    An entry that a test starts again binds its port once more. One in the range of the
    kernel's own choices was taken by a connection of another process meanwhile.
    """
    while True:
        port = _PORTS.randrange(PORT_LEAST, PORT_MOST)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port


def default_config() -> dict:
    """Return a configuration with one route of each kind."""

    def route(name: str, kind: str, service: str, **fields: object) -> dict:
        return {
            "name": name,
            "host": HOST,
            "pathPrefix": f"/{name}/",
            "routeKind": kind,
            "service": service,
            "timeoutMs": 4_000,
            "goalMs": 1_000,
            "maxAttempts": 2,
            "priority": 1,
            "public": False,
            **fields,
        }

    stages = [
        {"service": "stage", "afterRev": [], "sizeBytes": 1_000},
        {"service": "stage", "afterRev": [0], "sizeBytes": 1_000},
    ]
    pieces = {
        "slots": 1,
        "queue": 2,
        "batch": 4,
        "callMs": 20.0,
        "itemMs": 1.0,
        "headroomMb": 1.0,
        "kvHandleS": 4.0,
    }
    return {
        "version": 1,
        "routes": [
            route("safe", "safe", "plain"),
            route("unsafe", "unsafe", "plain", maxAttempts=1),
            route("resumed", "stream", "engine", resumable=True, stages=stages),
            route("once", "stream", "engine", maxAttempts=1, stages=stages),
        ],
        "services": [
            {"name": "plain", "maxConns": 64},
            {"name": "stage", "maxConns": 64, "pieces": pieces},
            {
                "name": "engine",
                "maxConns": 64,
                "engine": {"slots": 16, "kvCapacity": 100_000},
            },
        ],
        "limits": {},
        "tenants": [{"name": "workspace-1", "apiKeys": [KEY]}],
    }


class Deployment:
    """Hold the parts; use it with `async with`."""

    def __init__(
        self,
        *,
        entries: int = 1,
        endpoints: int = 2,
        seed: int = 1,
        evacuate_s: float | None = None,
    ) -> None:
        self.entries = entries
        self.evacuate_s = evacuate_s
        self.endpoints = endpoints
        self.random = Random(seed)
        self.config = default_config()
        self.store = StoreStandIn()
        self.entries_: list[ForwardProcess] = []
        # Every endpoint that ended under a request.
        self.ended_: list[PlainStandIn] = []

    async def __aenter__(self) -> "Deployment":
        self.store_address_ = self.store.start()
        halls = [f"hall-{number}" for number in range(self.endpoints)]
        self.plain = [PlainStandIn(service="plain", hall=hall) for hall in halls]
        self.stage = []
        for hall in halls:
            stage = StageStandIn(service="stage", hall=hall, makers=self.stage)
            self.stage.append(stage)
        self.engines = [
            EngineStandIn(service="engine", hall=hall, makers=self.stage)
            for hall in halls
        ]
        for endpoint in self.all_endpoints():
            endpoint.start()
            self.store.put("servers", endpoint.endpoint_id, endpoint.spec())
        self.put_config()
        for number in range(self.entries):
            await self.start_entry(number)
        return self

    async def __aexit__(self, *error: object) -> None:
        for entry in self.entries_:
            entry.stop()
        for endpoint in self.all_endpoints():
            await endpoint.stop()
        self.store.stop()

    def end_on(self, body: bytes, *, back_s: float) -> None:
        """Let each endpoint end as soon as it runs a request with a body.

        It is back after some seconds, as another start with another id.
        """
        for endpoint in [*self.plain, *self.engines]:
            endpoint.ends_on_.add(body)
            endpoint.on_end_ = partial(self._start_again, endpoint, back_s)

    def end_stages_on(self, request_key: str, *, back_s: float) -> None:
        """Let each endpoint of stages end as soon as it makes a piece with a key."""
        for endpoint in self.stage:
            endpoint.ends_on_keys_.add(request_key)
            endpoint.on_end_ = partial(self._start_again, endpoint, back_s)

    def _start_again(self, ended: PlainStandIn, back_s: float) -> None:
        """Record that an endpoint ended, and start another in its place."""
        self.ended_.append(ended)
        loop = asyncio.get_running_loop()
        loop.call_later(back_s, self._replace, ended, back_s)

    def _replace(self, ended: PlainStandIn, back_s: float) -> None:
        groups = (self.plain, self.stage, self.engines)
        group = next(group for group in groups if ended in group)
        again = ended.another_start()
        again.on_end_ = partial(self._start_again, again, back_s)
        group[group.index(ended)] = again
        again.start()
        self.store.delete("servers", ended.endpoint_id)
        self.store.put("servers", again.endpoint_id, again.spec())

    def all_endpoints(self) -> list[PlainStandIn]:
        """Return every endpoint."""
        return [*self.plain, *self.stage, *self.engines]

    def regions(self) -> RegionMap:
        """Return the one region that holds all halls."""
        halls = [HallId(f"hall-{number}") for number in range(self.endpoints)]
        return RegionMap(dict.fromkeys(halls, PlaceId("region")))

    def put_config(self) -> None:
        """Write the configuration to the store."""
        self.store.put("config", "main", self.config)

    async def declare_call_ms(self, call_ms: float) -> None:
        """Put a configuration in force that says how long calls of the stage take.

        Calls that last much longer than that are given up.
        """
        for service in self.config["services"]:
            if "pieces" in service:
                service["pieces"]["callMs"] = call_ms
        self.config["version"] += 1
        self.put_config()
        version = self.config["version"]
        await self.until(
            lambda: all(e.state_.config_version() == version for e in self.entries_)
        )

    async def start_entry(self, number: int, *, wait: bool = True) -> ForwardProcess:
        """Start an entry, and wait until it serves."""
        settings = ForwardSettings(
            entry_id=EntryId(f"entry-{number}"),
            hall=HallId(f"hall-{number % self.endpoints}"),
            callers=SocketAddress("127.0.0.1", free_port()),
            ready=SocketAddress("127.0.0.1", free_port()),
            peers=SocketAddress("127.0.0.1", free_port()),
            store_url=f"http://{self.store_address_}",
            secret=b"0123456789abcdef",
            bounds=ForwardBounds(grace_s=8.0, evacuate_s=self.evacuate_s),
            regions=self.regions(),
        )
        entry = await self._start(settings)
        self.entries_.append(entry)
        if wait:
            await self.until(lambda: entry.is_ready and self.knows_all(entry))
        return entry

    async def _start(self, settings: ForwardSettings) -> ForwardProcess:
        entry = ForwardProcess(
            settings=settings,
            codec=PlatformRequests(),
            objects=PlatformObjects(),
            reload=lambda: Success(settings),
            random=Random(self.random.random()),
        )
        await entry.start()
        return entry

    async def restart_entry(self, number: int) -> ForwardProcess:
        """Stop an entry at once and start another process in its place."""
        before = self.entries_[number]
        before.stop()
        entry = await self._start(before.settings)
        self.entries_[number] = entry
        return entry

    def knows_all(self, entry: ForwardProcess) -> bool:
        """Tell whether an entry has listed every endpoint."""
        known = entry.state_.roster_.records_by_id_
        return all(endpoint.endpoint_id in known for endpoint in self.all_endpoints())

    async def until(self, condition, timeout_s: float = READY_S) -> None:
        """Wait for a condition."""
        async with asyncio.timeout(timeout_s):
            while not condition():
                await asyncio.sleep(STEP_S)

    async def until_linked(self) -> None:
        """Wait until each entry of a small fleet holds a link to every other one."""
        others = len(self.entries_) - 1
        await self.until(
            lambda: all(len(e.links_.peers_by_id_) >= others for e in self.entries_)
        )

    async def send_with_retries(
        self, path: str, *, request_id: str, tries: int = 3, **fields
    ) -> HTTPResponse:
        """Send a request as a caller that comes back when a refusal tells it to.

        Each try has an id of its own.
        """
        for number in range(tries):
            answer = await self.send(
                path, request_id=f"{request_id}.{number}", **fields
            )
            if answer.code not in REFUSALS:
                break
            await asyncio.sleep(float(answer.headers.get("Retry-After", "0")))
        return answer

    async def send(
        self,
        path: str,
        *,
        request_id: str,
        entry: int = 0,
        method: str = "POST",
        key: str | None = KEY,
        body: bytes = b"payload",
        headers: dict[str, str] | None = None,
        deadline_ms: int = 3_000,
    ) -> HTTPResponse:
        """Send a request as a caller; status 599 means no whole answer came."""
        lines = {
            "Host": HOST,
            "X-Attempt-Id": request_id,
            "X-Deadline-Ms": str(deadline_ms),
            "X-Pieces": "2,1",
            "X-Piece-Key": f"pk-{request_id}",
            "X-Model": "m",
            "X-Token-Counts": "100,10",
            "X-Prefix-Hash": "aa:50,bb:20",
            **(headers or {}),
        }
        if key is not None:
            lines["Authorization"] = f"Token {key}"
        address = self.entries_[entry].settings.callers
        request = HTTPRequest(
            f"http://{address}{path}",
            method=method,
            headers=lines,
            body=body if method != "GET" else None,
            request_timeout=deadline_ms / 1_000.0 + 1.0,
        )
        return await fetch(AsyncHTTPClient(), request)
