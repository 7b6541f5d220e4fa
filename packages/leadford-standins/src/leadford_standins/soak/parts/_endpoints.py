"""Run endpoints behind links that can be impaired, and drain, end or replace them.

Owns all live endpoints and all former ones; each has a proxy of its own.
Relies on the stand-ins of `leadford_standins.wire`.
"""

import asyncio
from functools import partial

from tornado import iostream
from tornado.httputil import HTTPServerRequest

from leadford_standins.soak._base import FaultKind, SoakBounds
from leadford_standins.soak._ledger import Departure, Ledger, ListedEngine, Ran, Silence
from leadford_standins.soak.parts._proxy import Address, FaultProxy, LinkState
from leadford_standins.wire import (
    EngineStandIn,
    PlainStandIn,
    StageStandIn,
    StoreStandIn,
)
from leadford_standins.wire._handler import EndpointHandler

# Header with the time in milliseconds that the work on a request is to take.
WORK_HEADER = "X-Work-Ms"
SERVICES = ("plain", "other", "stage", "engine")
OLDER_SOFTWARE, NEWER_SOFTWARE = "v1", "v2"
NEVER_ENDS_S = float("inf")
# Time after which an endpoint that a request ended is replaced by a new one.
REPLACEMENT_DELAY_S = 1.5


def work_s(request: HTTPServerRequest) -> float:
    """Return how long the work on a request is to take, in seconds."""
    return float(request.headers.get(WORK_HEADER, "5")) / 1_000.0


class TimedPlainStandIn(PlainStandIn):
    """Work on each request for the time that its caller asks for."""

    async def serve(self, handler: EndpointHandler) -> None:
        """Run one request."""
        request = handler.request
        handler.record_run()
        await asyncio.sleep(work_s(request))
        await self.speaks_.wait()
        body = f"{self.endpoint_id} {request.path}".encode()
        handler.finish(body + b" " + request.body)


class RequestNamingEngine(EngineStandIn):
    """Name the request and the software in each event, to detect mixed up streams.

    A stream takes as long as its caller asks for, if that is longer than its pauses.
    """

    async def serve(self, handler: EndpointHandler) -> None:
        """Serve one stream until it ends or its caller leaves."""
        try:
            await super().serve(handler)
        except iostream.StreamClosedError:
            # The caller has left; the record of the run stays.
            return

    def pause_before_event_s(self, request: HTTPServerRequest) -> float:
        """Return the part of the work that one event takes, in seconds."""
        return max(self.pause_s, work_s(request) / self.events)

    def event(self, number: int, request: HTTPServerRequest) -> str:
        """Return one event of a stream."""
        request_id = request.headers.get("X-Attempt-Id", "")
        return (
            f"id: {number}\ndata: token {number} of {request_id} by {self.software}\n\n"
        )


class RunningEndpoint:
    """Hold one endpoint, its proxy and the link to it."""

    def __init__(self, *, endpoint: PlainStandIn) -> None:
        self.endpoint = endpoint
        self.link_ = LinkState()
        self.is_leaving_ = False

    async def start(self) -> None:
        """Start the endpoint and its proxy, whose address is listed."""
        self.target_ = self.endpoint.start()
        self.proxy_ = FaultProxy(target=self.target_, link_of=self._link)
        self.endpoint.address_ = await self.proxy_.start()

    async def _link(self, near: Address, far: Address) -> LinkState:
        return self.link_


class EndpointPool:
    """Hold the endpoints of a soak."""

    def __init__(
        self,
        *,
        store: StoreStandIn,
        ledger: Ledger,
        halls: list[str],
        bounds: SoakBounds,
        has_two_versions: bool = False,
    ) -> None:
        self.store = store
        self.ledger = ledger
        self.halls = halls
        self.bounds = bounds
        self.has_two_versions = has_two_versions
        self.tasks_: set[asyncio.Task[None]] = set()
        self.live_: list[RunningEndpoint] = []
        self.all_: list[RunningEndpoint] = []
        self.makers_: list[StageStandIn] = []

    async def start(self) -> None:
        """Start endpoints of each service in each hall, one of each version."""
        for service in SERVICES:
            for hall in self.halls:
                await self.add(service, hall)
                if service == "engine" and self.has_two_versions:
                    await self.add(service, hall, NEWER_SOFTWARE)

    def _make_endpoint(self, service: str, hall: str) -> PlainStandIn:
        if service == "stage":
            stage = StageStandIn(
                service=service, hall=hall, result_holders=self.makers_
            )
            self.makers_.append(stage)
            return stage
        if service == "engine":
            engine = RequestNamingEngine(
                service=service, hall=hall, result_holders=self.makers_
            )
            engine.pause_s = 0.05
            return engine
        return TimedPlainStandIn(service=service, hall=hall)

    async def add(
        self, service: str, hall: str, software: str = OLDER_SOFTWARE
    ) -> RunningEndpoint:
        """Start an endpoint and list it."""
        running = RunningEndpoint(endpoint=self._make_endpoint(service, hall))
        running.endpoint.software = software
        # A shared set, so that endpoints started later end on the same requests.
        running.endpoint.crash_bodies_ = self.ledger.ending_bodies_
        if isinstance(running.endpoint, EngineStandIn):
            running.endpoint.crash_parts_ = self.ledger.ending_parts_
        running.endpoint.on_crash_ = partial(self._on_end, running)
        await running.start()
        self.live_.append(running)
        self.all_.append(running)
        endpoint = running.endpoint
        self.store.put("servers", endpoint.endpoint_id, endpoint.spec())
        self.ledger.endpoints_.add(endpoint.endpoint_id)
        if service == "engine":
            now = asyncio.get_running_loop().time()
            self.ledger.engines_.append(
                ListedEngine(endpoint.endpoint_id, software, now)
            )
        return running

    def _on_end(self, running: RunningEndpoint) -> None:
        """Replace an endpoint that a request ended, in the background."""
        task = asyncio.create_task(self._replace_ended(running))
        self.tasks_.add(task)
        task.add_done_callback(self.tasks_.discard)

    async def _replace_ended(self, running: RunningEndpoint) -> None:
        """Remove an endpoint that a request ended, and start another in its place."""
        endpoint = running.endpoint
        await self.end(running, FaultKind.REQUEST_ENDS_ENDPOINTS)
        await asyncio.sleep(REPLACEMENT_DELAY_S)
        self.store.delete("servers", endpoint.endpoint_id)
        await self.add(endpoint.service, endpoint.hall, endpoint.software)

    def next_software(self) -> str:
        """Return the name of a version that no engine has had yet."""
        versions = {engine.software for engine in self.ledger.engines_}
        return f"v{len(versions) + 1}"

    def pick(self, target: int) -> RunningEndpoint | None:
        """Return an endpoint that is not leaving and is not the last of its service."""
        candidates = [e for e in self.live_ if not e.is_leaving_]
        if not candidates:
            return None
        chosen = candidates[target % len(candidates)]
        service = chosen.endpoint.service
        same_service = [e for e in candidates if e.endpoint.service == service]
        return chosen if len(same_service) > 1 else None

    def silence(self, endpoints: list[RunningEndpoint], duration_s: float) -> None:
        """Let sound endpoints send nothing for a time; this is no disturbance."""
        now = asyncio.get_running_loop().time()
        for running in endpoints:
            endpoint = running.endpoint
            endpoint.fall_silent(duration_s)
            self.ledger.silences_.append(
                Silence(endpoint.endpoint_id, endpoint.service, now, now + duration_s)
            )

    def announce_leaving(self, running: RunningEndpoint, *, listed: bool) -> None:
        """Mark an endpoint as draining in the store, or remove it there."""
        running.is_leaving_ = True
        endpoint = running.endpoint
        if listed:
            spec = endpoint.spec("draining")
            self.store.put("servers", endpoint.endpoint_id, spec)
        else:
            self.store.delete("servers", endpoint.endpoint_id)
        now = asyncio.get_running_loop().time()
        self.ledger.departures_.append(Departure(endpoint.endpoint_id, now))

    async def end(self, running: RunningEndpoint, kind: FaultKind) -> None:
        """End an endpoint at once and reset its connections."""
        running.is_leaving_ = True
        if running in self.live_:
            self.live_.remove(running)
        now = asyncio.get_running_loop().time()
        self.ledger.disturb(running.endpoint.endpoint_id, kind, now, NEVER_ENDS_S)
        await running.endpoint.stop()
        if isinstance(running.endpoint, StageStandIn):
            running.endpoint.results_.clear()
        running.link_.reset()

    async def stop(self) -> None:
        """Stop every endpoint, and write its records into the ledger."""
        for running in self.all_:
            self._collect(running.endpoint)
            running.proxy_.stop()
            if running in self.live_:
                await running.endpoint.stop()

    def _collect(self, endpoint: PlainStandIn) -> None:
        name, service = endpoint.endpoint_id, endpoint.service
        if isinstance(endpoint, StageStandIn):
            for item in endpoint.items_:
                self.ledger.items_.append((name, item))
            return
        for run in endpoint.runs_:
            ran = Ran(run.request_id, name, service, run.at_s)
            self.ledger.runs_by_id_.setdefault(run.request_id, []).append(ran)
            self.ledger.run_records_.append((name, run))
        for arrival in endpoint.arrived_:
            self.ledger.arrivals_.append(
                Ran(
                    arrival.request_id,
                    name,
                    service,
                    arrival.at_s,
                    arrival.is_refused,
                )
            )
        for request_id, misbehaviour in endpoint.misbehaved_by_request_.items():
            self.ledger.misbehaved_by_run_[request_id, name] = misbehaviour.value
