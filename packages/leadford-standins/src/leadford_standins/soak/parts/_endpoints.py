"""Run endpoints behind links that can be harmed, and end them in every way.

Owns the endpoints that are listed and all that ever were; each has a proxy of its own.
Relies on the stand-ins of `leadford_standins.wire`.
"""

import asyncio
from functools import partial

from tornado import iostream
from tornado.httputil import HTTPServerRequest

from leadford_standins.soak._base import FaultKind, SoakBounds
from leadford_standins.soak._ledger import Departure, Ledger, Ran
from leadford_standins.soak.parts._proxy import Address, FaultProxy, LinkState
from leadford_standins.wire import (
    EngineStandIn,
    PlainStandIn,
    StageStandIn,
    StoreStandIn,
)
from leadford_standins.wire._endpoints import EndpointHandler

# Names the milliseconds that a caller wants the work on its request to take.
WORK_HEADER = "X-Work-Ms"
SERVICES = ("plain", "other", "stage", "engine")
ENDS_LATER = float("inf")
# Seconds until an endpoint that ended under a request is back, as another start.
BACK_S = 1.5


class WorkingPlain(PlainStandIn):
    """Work on each request for as long as its caller says."""

    async def serve(self, handler: EndpointHandler) -> None:
        """Run one request."""
        request = handler.request
        handler.record_run()
        await asyncio.sleep(float(request.headers.get(WORK_HEADER, "5")) / 1_000.0)
        body = f"{self.endpoint_id} {request.path}".encode()
        handler.finish(body + b" " + request.body)


class NamingEngine(EngineStandIn):
    """Name the request in each event, so that joined streams can be told apart."""

    async def serve(self, handler: EndpointHandler) -> None:
        """Run one stream, until its caller leaves."""
        try:
            await super().serve(handler)
        except iostream.StreamClosedError:
            # Whoever asked has left; the record of the run stays.
            return

    def event(self, number: int, request: HTTPServerRequest) -> str:
        """Return one event of a stream."""
        request_id = request.headers.get("X-Attempt-Id", "")
        return f"id: {number}\ndata: token {number} of {request_id}\n\n"


class RunningEndpoint:
    """Hold one endpoint, its proxy and the link between."""

    def __init__(self, *, endpoint: PlainStandIn) -> None:
        self.endpoint = endpoint
        self.link_ = LinkState()
        self.is_leaving_ = False

    async def start(self) -> None:
        """Listen; the address that is listed is that of the proxy."""
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
    ) -> None:
        self.store = store
        self.ledger = ledger
        self.halls = halls
        self.bounds = bounds
        self.tasks_: set[asyncio.Task[None]] = set()
        self.live_: list[RunningEndpoint] = []
        self.all_: list[RunningEndpoint] = []
        self.makers_: list[StageStandIn] = []

    async def start(self) -> None:
        """Start one endpoint of each service in each hall."""
        for service in SERVICES:
            for hall in self.halls:
                await self.add(service, hall)

    def _make(self, service: str, hall: str) -> PlainStandIn:
        if service == "stage":
            stage = StageStandIn(service=service, hall=hall, makers=self.makers_)
            self.makers_.append(stage)
            return stage
        if service == "engine":
            engine = NamingEngine(service=service, hall=hall, makers=self.makers_)
            engine.pause_s = 0.05
            return engine
        return WorkingPlain(service=service, hall=hall)

    async def add(self, service: str, hall: str) -> RunningEndpoint:
        """Start an endpoint and list it."""
        running = RunningEndpoint(endpoint=self._make(service, hall))
        # Shared, so that endpoints that start later end on the same requests.
        running.endpoint.ends_on_ = self.ledger.ending_bodies_
        running.endpoint.on_end_ = partial(self._on_end, running)
        await running.start()
        self.live_.append(running)
        self.all_.append(running)
        endpoint = running.endpoint
        self.store.put("servers", endpoint.endpoint_id, endpoint.spec())
        self.ledger.endpoints_.add(endpoint.endpoint_id)
        return running

    def _on_end(self, running: RunningEndpoint) -> None:
        """Follow an endpoint that ended under a request."""
        task = asyncio.create_task(self._start_again(running))
        self.tasks_.add(task)
        task.add_done_callback(self.tasks_.discard)

    async def _start_again(self, running: RunningEndpoint) -> None:
        """Start another endpoint in place of one that ended by itself."""
        endpoint = running.endpoint
        await self.end(running, FaultKind.REQUEST_ENDS_ENDPOINTS)
        await asyncio.sleep(BACK_S)
        self.store.delete("servers", endpoint.endpoint_id)
        await self.add(endpoint.service, endpoint.hall)

    def pick(self, target: int) -> RunningEndpoint | None:
        """Return an endpoint that is not leaving and is not the last of its service."""
        here = [e for e in self.live_ if not e.is_leaving_]
        if not here:
            return None
        chosen = here[target % len(here)]
        service = chosen.endpoint.service
        left = [e for e in here if e.endpoint.service == service]
        return chosen if len(left) > 1 else None

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
        """End an endpoint at once; its connections break."""
        running.is_leaving_ = True
        if running in self.live_:
            self.live_.remove(running)
        now = asyncio.get_running_loop().time()
        self.ledger.disturb(running.endpoint.endpoint_id, kind, now, ENDS_LATER)
        await running.endpoint.stop()
        if isinstance(running.endpoint, StageStandIn):
            running.endpoint.results_.clear()
        running.link_.reset()

    async def stop(self) -> None:
        """Stop every endpoint, and write what they saw into the ledger."""
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
        for request_id, how in endpoint.misbehaved_by_request_.items():
            self.ledger.misbehaved_by_run_[request_id, name] = how.value
