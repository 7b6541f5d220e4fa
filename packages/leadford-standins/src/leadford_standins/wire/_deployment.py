"""Run a small deployment of the platform on loopback: store, endpoints and entries.

All of them, including the entries, run in one event loop. The tests of
`leadford_standins.wire` and the demonstration use this deployment.
"""

import asyncio
from functools import partial
from random import Random

import msgspec
from returns.result import Success
from tornado.httpclient import AsyncHTTPClient, HTTPRequest, HTTPResponse

from leadford.common import EntryId, HallId
from leadford.forwarding.batching import PlaceId, RegionMap
from leadford.forwarding.overload import LinkWaits, LoopTurns
from leadford_platform import PlatformObjects, PlatformRequests
from leadford_server.forwarding import ForwardBounds, ForwardProcess, ForwardSettings
from leadford_server.settings import SocketAddress
from leadford_server.web import fetch
from leadford_standins.wire._default_config import HOST, KEY, default_config
from leadford_standins.wire._endpoints import PlainStandIn
from leadford_standins.wire._engines import EngineStandIn
from leadford_standins.wire._ports import free_port, is_free
from leadford_standins.wire._stages import StageStandIn
from leadford_standins.wire._store import StoreStandIn

READY_TIMEOUT_S = 5.0
POLL_INTERVAL_S = 0.02

REFUSAL_STATUSES = (429, 503)


class Deployment:
    """Run a store, endpoints and entries; use it with `async with`.

    Units: evacuate_s in seconds.
    """

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
        # Every endpoint that crashed while it ran a request.
        self.crashed_endpoints_: list[PlainStandIn] = []

    async def __aenter__(self) -> "Deployment":
        self.store_address_ = self.store.start()
        halls = [f"hall-{number}" for number in range(self.endpoints)]
        self.plain = [PlainStandIn(service="plain", hall=hall) for hall in halls]
        self.stage = []
        for hall in halls:
            stage = StageStandIn(service="stage", hall=hall, result_holders=self.stage)
            self.stage.append(stage)
        self.engines = [
            EngineStandIn(service="engine", hall=hall, result_holders=self.stage)
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

    def crash_on_body(self, body: bytes, *, restart_delay_s: float) -> None:
        """Make each endpoint crash as soon as it runs a request with this body.

        An endpoint with a new id replaces it after `restart_delay_s` seconds.
        """
        for endpoint in [*self.plain, *self.engines]:
            endpoint.crash_bodies_.add(body)
            endpoint.on_crash_ = partial(
                self._schedule_replacement, endpoint, restart_delay_s
            )

    def crash_on_part(
        self,
        part: str,
        *,
        restart_delay_s: float,
        events_before_crash: int = 0,
        keeps_id: bool = False,
    ) -> None:
        """Make each engine crash as it answers a prompt with this part.

        An engine replaces it after `restart_delay_s` seconds, with a new id unless
        `keeps_id` is set.
        """
        for engine in self.engines:
            engine.crash_parts_.add(part)
            engine.events_before_crash = events_before_crash
            engine.keeps_id = keeps_id
            engine.on_crash_ = partial(
                self._schedule_replacement, engine, restart_delay_s
            )

    def crash_stages_on_key(self, request_key: str, *, restart_delay_s: float) -> None:
        """Make each stage endpoint crash as soon as it makes a piece with this key."""
        for endpoint in self.stage:
            endpoint.crash_keys_.add(request_key)
            endpoint.on_crash_ = partial(
                self._schedule_replacement, endpoint, restart_delay_s
            )

    def crash_engine(self, engine: EngineStandIn, *, restart_delay_s: float) -> None:
        """Crash an engine now; another one with a new id replaces it."""
        engine.on_crash_ = partial(self._schedule_replacement, engine, restart_delay_s)
        engine.crash()

    def _schedule_replacement(
        self, crashed: PlainStandIn, restart_delay_s: float
    ) -> None:
        """Record that an endpoint crashed, and schedule its replacement."""
        self.crashed_endpoints_.append(crashed)
        loop = asyncio.get_running_loop()
        loop.call_later(restart_delay_s, self._replace, crashed, restart_delay_s)

    def _replace(self, crashed: PlainStandIn, restart_delay_s: float) -> None:
        groups = (self.plain, self.stage, self.engines)
        group = next(group for group in groups if crashed in group)
        replacement = crashed.make_replacement()
        replacement.on_crash_ = partial(
            self._schedule_replacement, replacement, restart_delay_s
        )
        group[group.index(crashed)] = replacement
        if replacement.endpoint_id == crashed.endpoint_id:
            # The platform does not notice the crash; the listing stays as it is.
            replacement.start(int(crashed.address_.rpartition(":")[2]))
            return
        replacement.start()
        self.store.delete("servers", crashed.endpoint_id)
        self.store.put("servers", replacement.endpoint_id, replacement.spec())

    def all_endpoints(self) -> list[PlainStandIn]:
        """Return every endpoint."""
        return [*self.plain, *self.stage, *self.engines]

    def regions(self) -> RegionMap:
        """Return the region map, with all halls in one region."""
        halls = [HallId(f"hall-{number}") for number in range(self.endpoints)]
        return RegionMap(dict.fromkeys(halls, PlaceId("region")))

    def put_config(self) -> None:
        """Write the configuration to the store."""
        self.store.put("config", "main", self.config)

    async def apply_config(self) -> None:
        """Write the configuration as a new version; wait until all entries apply it."""
        self.config["version"] += 1
        self.put_config()
        version = self.config["version"]
        await self.until(
            lambda: all(e.state_.config_version() == version for e in self.entries_)
        )

    async def configure_call_ms(self, call_ms: float) -> None:
        """Apply a configuration with this duration of stage calls, on all entries.

        Entries abandon calls that last much longer than that.
        """
        for service in self.config["services"]:
            if "pieces" in service:
                service["pieces"]["callMs"] = call_ms
        await self.apply_config()

    async def start_entry(self, number: int, *, wait: bool = True) -> ForwardProcess:
        """Start an entry; by default wait until it is ready and knows all endpoints."""
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
            is_first_start=len(self.entries_) < self.entries,
        )
        entry = await self._start(settings)
        self.entries_.append(entry)
        if wait:
            await self.until(lambda: entry.is_ready and self.knows_all_endpoints(entry))
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
        # All share one event loop with callers and endpoints, whose delay is not that
        # of the entry. `leadford_standins.soak` runs entries as processes of their own.
        entry.connections_.turns = LoopTurns()
        entry.connections_.link = LinkWaits()
        return entry

    async def restart_entry(self, number: int) -> ForwardProcess:
        """Stop an entry without draining, and start another one in its place."""
        old_entry = self.entries_[number]
        old_entry.stop()
        settings = msgspec.structs.replace(old_entry.settings, is_first_start=False)
        # The server for peers closes its socket some turns later.
        ports = [settings.callers.port, settings.ready.port, settings.peers.port]
        await self.until(lambda: all(is_free(port) for port in ports))
        entry = await self._start(settings)
        self.entries_[number] = entry
        return entry

    async def restart_all_entries(self) -> None:
        """Stop all entries without draining, and start others in their places."""
        for entry in self.entries_:
            entry.stop()
        for number in range(len(self.entries_)):
            await self.restart_entry(number)
        await self.until(
            lambda: all(
                entry.is_ready and self.knows_all_endpoints(entry)
                for entry in self.entries_
            )
        )
        await self.until_linked()

    def knows_all_endpoints(self, entry: ForwardProcess) -> bool:
        """Return whether an entry knows every endpoint."""
        known = entry.state_.roster_.records_by_id_
        return all(endpoint.endpoint_id in known for endpoint in self.all_endpoints())

    def new_engine(self, software: str, *, hall: str) -> EngineStandIn:
        """Return an engine of a software version that listens; it isn't listed yet."""
        engine = EngineStandIn(service="engine", hall=hall, result_holders=self.stage)
        engine.software = software
        engine.start()
        return engine

    def add_engine(self, software: str) -> EngineStandIn:
        """List another engine of a software version, in the hall of the first one."""
        engine = self.new_engine(software, hall=self.engines[0].hall)
        self.engines.append(engine)
        self.store.put("servers", engine.endpoint_id, engine.spec())
        return engine

    async def set_software(self, endpoint: PlainStandIn, software: str) -> None:
        """List an endpoint with another software version, and wait for all entries."""
        endpoint.software = software
        self.store.put("servers", endpoint.endpoint_id, endpoint.spec())
        await self.until(
            lambda: all(
                entry.state_.roster_.record(endpoint.endpoint_id).listed.software
                == software
                for entry in self.entries_
            )
        )

    async def until(self, condition, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Wait until a condition holds."""
        async with asyncio.timeout(timeout_s):
            while not condition():
                await asyncio.sleep(POLL_INTERVAL_S)

    async def until_linked(self) -> None:
        """Wait until each entry of a small fleet has a link to every other entry."""
        others = len(self.entries_) - 1
        await self.until(
            lambda: all(len(e.links_.peers_by_id_) >= others for e in self.entries_)
        )

    async def send_with_retries(
        self, path: str, *, request_id: str, max_attempts: int = 3, **fields
    ) -> HTTPResponse:
        """Send a request; after a refusal retry it once its Retry-After has passed.

        Each attempt has its own request id.
        """
        for number in range(max_attempts):
            answer = await self.send(
                path, request_id=f"{request_id}.{number}", **fields
            )
            if answer.code not in REFUSAL_STATUSES:
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
        """Send a request as a caller; status 599 stands for an incomplete answer.

        Units: deadline_ms in milliseconds.
        """
        header_values = {
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
            header_values["Authorization"] = f"Token {key}"
        address = self.entries_[entry].settings.callers
        request = HTTPRequest(
            f"http://{address}{path}",
            method=method,
            headers=header_values,
            body=body if method != "GET" else None,
            request_timeout=deadline_ms / 1_000.0 + 1.0,
        )
        return await fetch(AsyncHTTPClient(), request)
