"""Run the agent process: its sockets, its configuration and its planned stop.

One agent runs beside each endpoint. `AgentService` is created with the first
configuration that names the endpoint; while a later one does not name it, the agent
drains.
"""

import asyncio
import random

from tornado import httpserver, web
from tornado.curl_httpclient import CurlAsyncHTTPClient

from leadford.common import PoolKind
from leadford.events import Event
from leadford.pipelines.config import FleetConfig, PoolConfig
from leadford.pipelines.placement import OrderSequence
from leadford.protocol import Message, PlanOrder, Refused, Submit
from leadford_server.clock import boot_time
from leadford_server.logs import EventLog
from leadford_server.metrics import MetricsHandler
from leadford_server.peers import Identity, PeerConnection, PeerServer
from leadford_server.pipelines.agent._models import ModelLoader
from leadford_server.pipelines.agent._service import AgentService
from leadford_server.pipelines.agent.adapters import endpoint_adapters
from leadford_server.pipelines.config import ConfigFollower
from leadford_server.pipelines.store import StoreClient
from leadford_server.settings import AgentSettings, SocketAddress
from leadford_server.stops import StopSteps

# Minimum time between the announcement of a stop and its end, in which attempts that
# are on their way are refused: an entry takes one without a reply for lost.
ANNOUNCE_S = 0.5
# Interval between checks for attempts that still run while the agent drains, and the
# maximum time that it waits for them.
DRAIN_POLL_INTERVAL_S = 0.02
DRAIN_MAX_S = 120.0
# Maximum number of concurrent calls to the endpoint and the store.
MAX_HTTP_CLIENTS = 512


class _HealthHandler(web.RequestHandler):
    """Respond that the process is alive."""

    def get(self) -> None:
        self.finish("ok\n")


class _ReadyHandler(web.RequestHandler):
    """Respond whether the agent accepts attempts."""

    def initialize(self, process: "AgentProcess") -> None:
        self.process = process

    def get(self) -> None:
        service = self.process.service_
        ready = service is not None and not service.draining_
        self.set_status(200 if ready else 503)
        self.finish({"ready": ready, "config": self.process.follower_.version})


class AgentProcess:
    """Own all parts of one agent process."""

    def __init__(
        self, *, settings: AgentSettings, rng: random.Random | None = None
    ) -> None:
        self.settings = settings
        self.rng = rng if rng is not None else random.Random()
        self.log_ = EventLog(process_id=settings.endpoint_id)
        self.http_ = CurlAsyncHTTPClient(
            force_instance=True, max_clients=MAX_HTTP_CLIENTS
        )
        self.store_ = StoreClient(url=settings.store, http=self.http_, log=self.log_)
        self.service_: AgentService | None = None
        self.model_loader_: ModelLoader | None = None
        self.peers_: set[PeerConnection] = set()
        self.stopping_ = False
        self.follower_ = ConfigFollower(
            store=self.store_,
            log=self.log_,
            random=self.rng,
            is_relay=lambda: False,
            on_change=self._apply,
        )
        self.server_ = PeerServer(
            identity=Identity(
                settings.endpoint_id, "agent", settings.hall, settings.secret
            ),
            handler=self,
            log=self.log_,
            # Nonces must be unpredictable.
            random=rng if rng is not None else random.SystemRandom(),
            config_version=lambda: self.follower_.version,
            is_draining=lambda: self.stopping_,
        )
        self.web_: httpserver.HTTPServer | None = None

    async def start(self) -> SocketAddress:
        """Start to listen and to follow the configuration; return the peer address."""
        address = await self.server_.start(self.settings.peer)
        application = web.Application(
            [
                (r"/healthz", _HealthHandler),
                (r"/readyz", _ReadyHandler, {"process": self}),
                (r"/metrics", MetricsHandler),
            ],
            log_function=lambda handler: None,
        )
        self.web_ = httpserver.HTTPServer(application)
        self.web_.listen(self.settings.metrics.port, self.settings.metrics.host)
        self.follower_.start()
        self.log_.report(Event.PROCESS_STARTED, role="agent", peer=str(address))
        return address

    def _apply(self, config: FleetConfig) -> None:
        endpoint = config.endpoints.get(self.settings.endpoint_id)
        if endpoint is None:
            if self.service_ is not None:
                self.service_.drain()
            return
        pool = config.pools[endpoint.pool]
        if self.service_ is None:
            kind = "engine" if pool.kind is PoolKind.ENGINE else "json"
            adapter = endpoint_adapters.get(kind).from_config(
                url=self.settings.endpoint_url, path=pool.path, http=self.http_
            )
            self.service_ = AgentService(
                endpoint_id=self.settings.endpoint_id,
                adapter=adapter,
                pool=pool,
                config=config,
                log=self.log_,
                clock=boot_time,
            )
            for peer in self.peers_:
                self.service_.peer_connected(peer)
            self._start_model_loader(pool)
        self.service_.apply_config(config, pool)
        if endpoint.draining or self.stopping_:
            self.service_.drain()
        elif self.service_.draining_:
            self.service_.restore()

    def _start_model_loader(self, pool: PoolConfig) -> None:
        """Start to carry out plans if the endpoint is an engine."""
        if pool.kind is not PoolKind.ENGINE:
            return
        self.model_loader_ = ModelLoader(
            url=self.settings.endpoint_url,
            http=self.http_,
            sequence=OrderSequence(checks_fences=pool.checks_fences),
            log=self.log_,
            on_change=self.service_.report_models,
        )
        self.service_.attach_models(self.model_loader_)
        self.model_loader_.start()

    def peer_connected(self, peer: PeerConnection) -> None:
        """Register the connection of an entry."""
        self.peers_.add(peer)
        self.follower_.peer_connected(peer)
        if self.service_ is not None:
            self.service_.peer_connected(peer)

    def peer_lost(self, peer: PeerConnection) -> None:
        """Remove a connection that ended."""
        self.peers_.discard(peer)
        self.follower_.peer_lost(peer)
        if self.service_ is not None:
            self.service_.peer_lost(peer)

    def peer_version(self, peer: PeerConnection, version: int) -> None:
        """Fetch the configuration of a peer if its version is newer."""
        self.follower_.peer_version(peer, version)

    def peer_message(self, peer: PeerConnection, message: Message) -> None:
        """Handle a message of an entry; refuse attempts before the service exists."""
        if self.follower_.peer_message(peer, message):
            return
        if isinstance(message, PlanOrder):
            if self.model_loader_ is not None:
                self.model_loader_.accept_plan(message)
            return
        if self.service_ is not None:
            self.service_.peer_message(peer, message)
            return
        if isinstance(message, Submit):
            peer.send(
                Refused(
                    message.request_id,
                    message.stage,
                    message.attempt,
                    "not-ready",
                    begun=False,
                )
            )

    async def drain(self) -> None:
        """Announce the stop, wait for accepted attempts to end, and close."""
        self.stopping_ = True
        self.log_.report(Event.PROCESS_DRAINING)
        steps = StopSteps(log=self.log_)
        if self.service_ is not None:
            await steps.complete(self.service_.drain)
            await steps.complete(self._wait_for_attempts)
            await steps.complete(self.service_.stop)
        for peer in list(self.peers_):
            await steps.complete(peer.close)
        if self.model_loader_ is not None:
            await steps.complete(self.model_loader_.stop)
        await steps.complete(self.follower_.stop)
        await steps.complete(self.server_.stop)
        await steps.complete(self.web_.stop)
        self.log_.report(Event.PROCESS_STOPPED)

    async def _wait_for_attempts(self) -> None:
        """Refuse attempts that are on their way, and wait until none runs."""
        deadline_at = boot_time() + DRAIN_MAX_S
        await asyncio.sleep(ANNOUNCE_S)
        while not self.service_.is_idle and boot_time() < deadline_at:
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
