"""Run an entry that forwards: its sockets, what it follows, and its planned stop."""

import asyncio
from collections.abc import Callable
from random import Random, SystemRandom

import msgspec
from returns.result import Failure, Result
from tornado import httpserver, web
from tornado.curl_httpclient import CurlAsyncHTTPClient

from leadford.common import EntryId, HallId
from leadford.events import Event
from leadford.forwarding.admission import ForwardAdmission
from leadford.forwarding.answers import RequestOutcome
from leadford.forwarding.batching import RegionMap
from leadford.forwarding.endpoints import ListedEndpoint
from leadford.forwarding.routes import ForwardConfig, RouteTable
from leadford_server.forwarding._callers import CallerExchange, CallerServer
from leadford_server.forwarding._contract import (
    KnownEntry,
    ObjectCodec,
    ObjectEvent,
    RequestCodec,
)
from leadford_server.forwarding._follow import (
    STATUS_CONFLICT,
    KindFollower,
    Listing,
    ObjectsClient,
)
from leadford_server.forwarding._links import EntryLinks
from leadford_server.forwarding._request import RequestForwarder
from leadford_server.forwarding._stages import StageRunner
from leadford_server.forwarding._state import ForwardBounds, ForwardState
from leadford_server.logs import EventLog
from leadford_server.metrics import MetricsHandler
from leadford_server.settings import SocketAddress

# Seconds that a planned stop takes at least; not measured.
DRAIN_MIN_S = 3.2
# Seconds between looks whether requests are left; not measured.
DRAIN_POLL_S = 0.05
# Seconds before the end of the grace period at which a stop ends; not measured.
DRAIN_MARGIN_S = 0.6
# Seconds between sweeps of connections and records; not measured.
SWEEP_S = 0.5
# Seconds between tries to announce this entry in the store; not measured.
ANNOUNCE_WAIT_S = 0.5
# Calls to the store at a time; not measured.
STORE_CLIENTS = 12


class ForwardSettings(msgspec.Struct, frozen=True):
    """Hold the settings of an entry that forwards."""

    entry_id: EntryId
    hall: HallId
    callers: SocketAddress
    ready: SocketAddress
    peers: SocketAddress
    store_url: str
    secret: bytes
    bounds: ForwardBounds
    metrics: SocketAddress | None = None
    regions: RegionMap = RegionMap()


class _ReadyHandler(web.RequestHandler):
    """Say whether this entry takes new callers."""

    def initialize(self, process: "ForwardProcess") -> None:
        self.process = process

    def get(self) -> None:
        self.set_status(200 if self.process.is_ready else 503)
        self.finish()


class ForwardProcess:
    """Hold everything that one forwarding entry runs."""

    def __init__(
        self,
        *,
        settings: ForwardSettings,
        codec: RequestCodec,
        objects: ObjectCodec,
        reload: Callable[[], Result[ForwardSettings, str]],
        random: Random | None = None,
    ) -> None:
        self.settings = settings
        self.codec = codec
        self.objects = objects
        self.reload = reload
        self.random = random or SystemRandom()
        self.log_ = EventLog(process_id=settings.entry_id)
        self.is_draining_ = False
        self.tasks_: list[asyncio.Task[None]] = []
        self.entries_by_id_: dict[EntryId, KnownEntry] = {}
        self.has_listed_entries_ = False

    async def start(self) -> None:
        """Listen and begin to follow the store."""
        settings = self.settings
        self.state_ = ForwardState(
            codec=self.codec,
            hall=settings.hall,
            bounds=settings.bounds,
            random=self.random,
            loop=asyncio.get_running_loop(),
            log=self.log_,
            regions=settings.regions,
        )
        self.stages_ = StageRunner(state=self.state_, entry_id=settings.entry_id)
        self.admission_ = ForwardAdmission(
            backlog=self.stages_.backlog_,
            reservations=self.state_.reservations_,
            random=self.random,
        )
        self.links_ = EntryLinks(
            entry_id=settings.entry_id,
            secret=settings.secret,
            state=self.state_,
            stages=self.stages_,
            random=self.random,
            on_config=self._apply_config,
            on_listing=self._apply_listing,
            on_entries=self._learn_entries,
        )
        self.stages_.connect(self.links_)
        self.caller_server_ = CallerServer(
            codec=self.codec,
            serve=self._serve,
            is_draining=lambda: self.is_draining_,
            on_fault=self._on_fault,
            on_denied=self._on_denied,
        )
        self.caller_server_.start(settings.callers.host, settings.callers.port)
        self._listen_ready()
        await self.links_.start(settings.peers)
        http = CurlAsyncHTTPClient(force_instance=True, max_clients=STORE_CLIENTS)
        self.client_ = ObjectsClient(
            url=settings.store_url, http=http, codec=self.objects, log=self.log_
        )
        self._follow()
        self.log_.report(
            Event.PROCESS_STARTED, role="entry", callers=str(settings.callers)
        )

    def _listen_ready(self) -> None:
        application = web.Application(
            [
                (self.codec.ready_path, _ReadyHandler, {"process": self}),
                ("/metrics", MetricsHandler),
            ],
            log_function=lambda handler: None,
        )
        address = self.settings.ready
        self.ready_server_ = httpserver.HTTPServer(application)
        self.ready_server_.listen(address.port, address=address.host)
        metrics = self.settings.metrics
        if metrics is not None:
            self.ready_server_.listen(metrics.port, address=metrics.host)

    def _follow(self) -> None:
        handlers = {
            self.objects.config_kind: (
                self._on_configs,
                self._on_config_event,
                self._on_config_confirmed,
            ),
            self.objects.endpoints_kind: (
                self._on_endpoints,
                self._on_endpoint_event,
                lambda revision: None,
            ),
            self.objects.entries_kind: (
                self._on_entries,
                self._on_entry_event,
                lambda revision: None,
            ),
        }
        for kind, (on_list, on_event, on_confirmed) in handlers.items():
            follower = KindFollower(
                kind=kind,
                client=self.client_,
                random=self.random,
                on_list=on_list,
                on_event=on_event,
                on_confirmed=on_confirmed,
            )
            self.tasks_.append(asyncio.create_task(follower.run()))
        self.tasks_.append(asyncio.create_task(self.links_.run()))
        self.tasks_.append(asyncio.create_task(self._announce()))
        self.tasks_.append(asyncio.create_task(self._sweep()))

    @property
    def is_ready(self) -> bool:
        """Tell whether new callers may come."""
        has_config = self.state_.table_ is not None
        return has_config and not self.is_draining_

    async def _serve(self, exchange: CallerExchange) -> None:
        forwarder = RequestForwarder(
            exchange=exchange,
            state=self.state_,
            stages=self.stages_,
            admission=self.admission_,
        )
        await forwarder.serve()

    def _on_fault(self, exchange: CallerExchange, error: BaseException) -> None:
        request = exchange.request_
        self.log_.report(
            Event.REQUEST_UNKNOWN,
            request=request.request_id if request else "",
            error=f"{type(error).__name__}: {error}"[:300],
        )

    def _on_denied(self, exchange: CallerExchange, status: int) -> None:
        self.log_.report(
            Event.FORWARD_ENDED,
            request=exchange.request_.request_id,
            status=status,
            outcome=RequestOutcome.DENIED.value,
            detail="beyond the limits of the configuration",
        )

    def _on_configs(self, listing: Listing) -> None:
        for item in listing.items:
            self._on_config(item)

    def _on_config_event(self, event: ObjectEvent) -> None:
        if not event.is_gone:
            self._on_config(event.item)

    def _on_config(self, item: dict) -> None:
        if self.objects.object_name(item) != self.objects.config_name:
            return
        read = self.objects.read_config(item)
        if isinstance(read, Failure):
            self.log_.report(Event.CONFIG_UNREADABLE, error=str(read.failure())[:300])
            return
        self._apply_config(read.unwrap())

    def _apply_config(self, config: ForwardConfig) -> None:
        """Put a configuration in force unless it is older than the one in force."""
        table = self.state_.table_
        if table is not None and config.version <= table.config.version:
            return
        self.state_.table_ = RouteTable.from_config(config)
        self.caller_server_.apply_limits(config.limits)
        self.log_.report(
            Event.CONFIG_IN_FORCE,
            version=config.version,
            before=table.config.version if table else 0,
            routes=len(config.routes),
        )
        self.stages_.scheduler_.wake()

    def _on_config_confirmed(self, revision: int) -> None:
        if self.state_.table_ is not None:
            self.state_.config_seen_at_ = self.state_.now()

    def _on_endpoints(self, listing: Listing) -> None:
        endpoints = []
        for item in listing.items:
            read = self.objects.read_endpoint(item)
            if isinstance(read, Failure):
                self.log_.report(Event.CONFIG_UNREADABLE, error=read.failure()[:300])
                continue
            endpoints.append(read.unwrap())
        self._apply_listing(endpoints, listing.revision)

    def _apply_listing(self, endpoints: list[ListedEndpoint], revision: int) -> None:
        self._log_changes(
            self.state_.roster_.replace(endpoints, revision, self.state_.now())
        )

    def _on_endpoint_event(self, event: ObjectEvent) -> None:
        roster = self.state_.roster_
        if event.is_gone:
            name = self.objects.object_name(event.item)
            revision = self.objects.object_revision(event.item)
            changes = roster.remove(
                name,
                revision,
                self.state_.now(),
                seen_revision=event.seen_revision,
            )
            self._log_changes(changes)
            return
        read = self.objects.read_endpoint(event.item)
        if isinstance(read, Failure):
            self.log_.report(Event.CONFIG_UNREADABLE, error=read.failure()[:300])
            return
        self._log_changes(roster.put(read.unwrap()))

    def _log_changes(self, changes: list) -> None:
        for change in changes:
            self.log_.report(
                Event.ENDPOINT_LISTED,
                endpoint=change.endpoint_id,
                service=change.service_id,
                before=change.before,
                after=change.after,
                revision=self.state_.roster_.changed_revision_,
            )
        if changes:
            self.stages_.scheduler_.wake()

    def _on_entries(self, listing: Listing) -> None:
        self.has_listed_entries_ = True
        self.entries_by_id_.clear()
        for item in listing.items:
            self._on_entry(item)
        self._count_entries()

    def _on_entry_event(self, event: ObjectEvent) -> None:
        if event.is_gone:
            self.entries_by_id_.pop(self.objects.object_name(event.item), None)
        else:
            self._on_entry(event.item)
        self._count_entries()

    def _on_entry(self, item: dict) -> None:
        read = self.objects.read_entry(item)
        if isinstance(read, Failure):
            return
        entry = read.unwrap()
        self.entries_by_id_[entry.entry_id] = entry

    def _learn_entries(self, entries: list[KnownEntry]) -> None:
        """Believe a peer until the store has told which entries exist."""
        if self.has_listed_entries_:
            return
        for entry in entries:
            self.entries_by_id_.setdefault(entry.entry_id, entry)
        self._count_entries()

    def _count_entries(self) -> None:
        known = set(self.entries_by_id_) | {self.settings.entry_id}
        self.state_.set_entry_count(len(known))
        self.links_.set_known_entries(self.entries_by_id_)

    async def _announce(self) -> None:
        """Write down in the store that this entry exists."""
        settings = self.settings
        kind = self.objects.entries_kind
        body = self.objects.entry_object(
            KnownEntry(settings.entry_id, str(settings.peers), settings.hall)
        )
        while True:
            path = self.objects.object_path(kind, "")
            made = await self.client_.call(path, method="POST", body=body)
            if not isinstance(made, Failure) or made.failure() == STATUS_CONFLICT:
                return
            await asyncio.sleep(ANNOUNCE_WAIT_S * self.random.uniform(0.8, 1.6))

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_S)
            known = self.state_.roster_.known_ids()
            self.state_.pool_.sweep(known)
            self.state_.engines_.retain(known)

    def settings_changed(self) -> None:
        """Read the settings again; what cannot be read changes nothing."""
        read = self.reload()
        if isinstance(read, Failure):
            self.log_.report(Event.SETTINGS_INVALID, fault=str(read.failure())[:300])
            return
        self.settings = read.unwrap()
        self.state_.bounds = self.settings.bounds
        self.log_.report(Event.SETTINGS_RELOADED, entry=self.settings.entry_id)

    async def drain(self) -> None:
        """Take no new callers, end what runs, and stop within the grace period."""
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        self.is_draining_ = True
        self.links_.is_draining_ = True
        self.state_.record_stop()
        self.log_.report(
            Event.PROCESS_DRAINING, live=len(self.caller_server_.exchanges_)
        )
        ends_at = began_at + self.settings.bounds.grace_s - DRAIN_MARGIN_S
        while loop.time() < ends_at:
            await asyncio.sleep(DRAIN_POLL_S)
            waited = loop.time() - began_at >= DRAIN_MIN_S
            if waited and not self.caller_server_.exchanges_:
                break
        await self._retract()
        self.log_.report(
            Event.PROCESS_STOPPED, live=len(self.caller_server_.exchanges_)
        )
        await self.stop()

    async def stop(self) -> None:
        """Stop at once, whatever runs."""
        self.caller_server_.stop_listening()
        self.ready_server_.stop()
        for task in self.tasks_:
            task.cancel()
        self.links_.stop()

    async def _retract(self) -> None:
        path = self.objects.object_path(
            self.objects.entries_kind, self.settings.entry_id
        )
        try:
            async with asyncio.timeout(0.3):
                await self.client_.call(path, method="DELETE")
        except TimeoutError:
            return
