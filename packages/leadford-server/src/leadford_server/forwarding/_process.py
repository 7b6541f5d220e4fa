"""Run an entry that forwards: its sockets, what it follows, and its planned stop.

Creates the owners of state, each of which has its own module, and connects them. The
program that the users' platform runs starts here.
"""

import asyncio
import math
import time
from collections.abc import Callable, Coroutine
from random import Random, SystemRandom

from returns.result import Failure, Result
from tornado import httpserver
from tornado.curl_httpclient import CurlAsyncHTTPClient

from leadford.common import EntryId
from leadford.events import Event
from leadford.forwarding.admission import ForwardAdmission
from leadford.forwarding.overload import ConnectionAdmission
from leadford.forwarding.routes import ForwardConfig
from leadford_server.clock import SuspensionWatch, boot_time
from leadford_server.forwarding._contract import RequestCodec
from leadford_server.forwarding._planned_stop import PlannedStop
from leadford_server.forwarding._ready import Readiness, ready_application
from leadford_server.forwarding._settings import ForwardSettings
from leadford_server.forwarding._state import ForwardState
from leadford_server.forwarding._status_log import StatusLog
from leadford_server.forwarding._store_contract import KnownEntry, ObjectCodec
from leadford_server.forwarding._turn_probe import TurnProbe
from leadford_server.forwarding.answers import (
    CallerExchange,
    CallerReports,
    CallerServer,
    RequestForwarder,
)
from leadford_server.forwarding.batching import StageRunner
from leadford_server.forwarding.membership import EntryLinks, EntryMembers, RoundTrips
from leadford_server.forwarding.store import (
    ENTRIES_CHANGE_BOUND_S,
    ENTRIES_PAUSE_S,
    ENTRIES_WATCH_S,
    WATCH_FRACTION,
    WATCH_MAX_S,
    CatchUp,
    ConfigHolder,
    FollowerFactory,
    HallsHolder,
    KindFollower,
    ListingHolder,
    ObjectsClient,
    SoftwareRecords,
    StreamRecords,
)
from leadford_server.logs import EventLog, error_text
from leadford_server.metrics import CALLER_CONNECTIONS, UNSENT_BYTES
from leadford_server.web import MAX_OPEN_CALLS

# Time between sweeps of connections and records.
SWEEP_INTERVAL_S = 0.5
# Time between checks whether the host was suspended.
SUSPENSION_POLL_S = 0.25
# Concurrent calls to the store, besides those that are kept open for a late answer.
MAX_STORE_CALLS = 12
# Logged where no peer tells for which part of the time it is late.
UNTOLD = -1.0


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
        self.boot_clock = boot_time
        self.is_draining_ = False
        self.tasks_: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Listen and begin to follow the store."""
        settings = self.settings
        self.state_ = ForwardState(
            codec=self.codec,
            hall=settings.hall,
            bounds=settings.bounds,
            entry_id=settings.entry_id,
            random=self.random,
            loop=asyncio.get_running_loop(),
            log=self.log_,
            regions=settings.regions,
        )
        if settings.is_first_start:
            self.state_.origin_ledger_.record_gap(-math.inf)
        self.stages_ = StageRunner(state=self.state_, entry_id=settings.entry_id)
        self.admission_ = ForwardAdmission(
            backlog=self.stages_.backlog_,
            reservations=self.state_.reservations_,
            random=self.random,
        )
        self._build_holders()
        self.connections_ = ConnectionAdmission(
            turns=self.state_.loop_turns_,
            link=self.state_.link_waits_,
            peers=self.state_.peer_delays_,
        )
        self.turn_probe_ = TurnProbe(
            turns=self.state_.loop_turns_,
            loop=self.state_.loop,
            log=self.log_,
            on_turn=self.connections_.update,
            is_late=self.connections_.is_late,
            load_fields=self._load_fields,
        )
        self.caller_server_ = CallerServer(
            codec=self.codec,
            serve=self._serve,
            is_draining=lambda: self.is_draining_,
            reports=CallerReports(log=self.log_, memory=self.state_.memory_.account_),
            memory=self.state_.memory_,
            admission=self.connections_,
        )
        self.planned_stop_ = PlannedStop(
            state=self.state_,
            callers=self.caller_server_,
            stages=self.stages_,
            leave=self._leave,
        )
        self.caller_server_.start(settings.callers.host, settings.callers.port)
        self._start_ready_server()
        await self.links_.start()
        self._follow()
        self.turn_probe_.start()
        self.log_.report(
            Event.PROCESS_STARTED, role="entry", callers=str(settings.callers)
        )

    def _build_holders(self) -> None:
        """Create the owners of what the store and other entries report."""
        settings = self.settings
        state = self.state_
        http = CurlAsyncHTTPClient(
            force_instance=True, max_clients=MAX_STORE_CALLS + MAX_OPEN_CALLS
        )
        self.client_ = ObjectsClient(
            url=settings.store_url,
            http=http,
            codec=self.objects,
            log=self.log_,
            epochs=state.epochs_,
            refusals=state.store_refusals_,
        )
        self.status_log_ = StatusLog(
            state=state, client=self.client_, readiness=lambda: self.readiness
        )
        self.config_ = ConfigHolder(
            objects=self.objects, state=state, on_change=self._on_config
        )
        self.listing_ = ListingHolder(
            objects=self.objects,
            state=state,
            on_change=self.stages_.scheduler_.dispatch_all,
        )
        self.halls_ = HallsHolder(
            objects=self.objects,
            state=state,
            on_change=self.stages_.scheduler_.dispatch_all,
            tell=lambda report: self.links_.evacuations.tell(report),
        )
        self.members_ = EntryMembers(
            own=KnownEntry(settings.entry_id, str(settings.peers), settings.hall),
            objects=self.objects,
            client=self.client_,
            random=self.random,
            on_change=self._on_members,
        )
        self.software_records_ = SoftwareRecords(
            state=state,
            client=self.client_,
            objects=self.objects,
            listing=CatchUp(client=self.client_, follower=self._listing_follower),
            is_first_start=settings.is_first_start,
            is_follower=lambda: self.links_.relays.is_follower,
        )
        state.software_records_ = self.software_records_
        self.links_ = EntryLinks(
            entry_id=settings.entry_id,
            address=settings.peers,
            secret=settings.secret,
            state=state,
            stages=self.stages_,
            random=self.random,
            on_config=self.config_.apply,
            on_listing=self.listing_.apply,
            halls=self.halls_,
            config_kind=self.objects.config_kind,
            on_entries=self.members_.learn,
            on_confirmed=self.config_.on_relayed,
        )
        self.stream_records_ = StreamRecords(
            state=state,
            client=self.client_,
            objects=self.objects,
            held_ids=lambda: self.links_.origins.told_by_id_,
            overlaps=self.software_records_.overlaps,
            entry_ids=lambda: self.links_.fleet.entries_by_id_,
            is_follower=lambda: self.links_.relays.is_follower,
        )
        state.stream_records_ = self.stream_records_
        self.stages_.connect(self.links_, self.links_.pieces)

    def _start_ready_server(self) -> None:
        address = self.settings.ready
        self.ready_server_ = httpserver.HTTPServer(
            ready_application(self.codec.ready_path, lambda: self.is_ready)
        )
        self.ready_server_.listen(address.port, address=address.host)
        metrics = self.settings.metrics
        if metrics is not None:
            self.ready_server_.listen(metrics.port, address=metrics.host)

    def _follow(self) -> None:
        """Start to follow the store, and to maintain the links to other entries."""
        self.followers_ = self._followers()
        for follower in self.followers_:
            self._spawn(follower.run())
        self._spawn(self.links_.run())
        self._spawn(self.software_records_.run())
        self._spawn(self.stream_records_.run())
        self.announce_task_ = self._spawn(self.members_.announce())
        round_trips = RoundTrips(
            state=self.state_,
            peers_by_id=self.links_.peers_by_id_,
            is_busy=lambda: self.connections_.limit_per_s_ is not None,
        )
        self._spawn(round_trips.run())
        self._spawn(self._sweep())
        self._spawn(self._watch_suspensions())

    def _followers(self) -> list[KindFollower]:
        """Return a follower for each kind of object that this entry uses."""
        objects = self.objects
        factory = FollowerFactory(
            client=self.client_,
            random=self.random,
            bounds=lambda: self.settings.bounds,
            live_peers=lambda: len(self.links_.halls_by_live_entry()),
            relays=self.links_.relays,
        )
        followers = [
            factory.make_relayed_follower(
                objects.config_kind,
                self.config_,
                bound_s=lambda: self.settings.bounds.update_limit_s(
                    self.settings.bounds.config_s
                ),
                watch_s=lambda: factory.shared_watch_timeout_s(WATCH_MAX_S),
                on_relayed=self.config_.on_relayed,
                confirms_by_version=True,
            ),
            factory.make_relayed_follower(
                objects.endpoints_kind,
                self.listing_,
                bound_s=lambda: self.settings.bounds.update_limit_s(
                    self.settings.bounds.drain_s
                ),
                watch_s=lambda: factory.shared_watch_timeout_s(WATCH_MAX_S),
                on_failed_call=self.listing_.on_failed_call,
            ),
            factory.make_relayed_follower(
                objects.entries_kind,
                self.members_,
                bound_s=lambda: ENTRIES_CHANGE_BOUND_S,
                watch_s=lambda: ENTRIES_WATCH_S,
                changes_pause_s=ENTRIES_PAUSE_S,
            ),
        ]
        evacuate_s = self.settings.bounds.evacuate_s
        if evacuate_s is not None:
            min_watch_s = WATCH_FRACTION * evacuate_s
            followers.append(
                factory.make_relayed_follower(
                    objects.evacuations_kind,
                    self.halls_,
                    bound_s=lambda: self.settings.bounds.update_limit_s(evacuate_s),
                    watch_s=lambda: factory.shared_watch_timeout_s(min_watch_s),
                )
            )
        return followers

    def _listing_follower(self) -> KindFollower | None:
        """Return the follower of the listing, None before there is one."""
        by_kind = self.links_.relays.follower_by_kind_
        return by_kind.get(self.objects.endpoints_kind)

    def _spawn(self, coroutine: Coroutine[None, None, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(coroutine)
        self.tasks_.append(task)
        return task

    def _on_config(self, config: ForwardConfig) -> None:
        """Apply a new configuration in force."""
        self.caller_server_.apply_limits(config.limits)
        self.stages_.scheduler_.dispatch_all()

    def _on_members(self, entries_by_id: dict[EntryId, KnownEntry]) -> None:
        """Divide the bounds of the fleet among the entries that exist."""
        self.state_.set_entries(set(entries_by_id) | {self.settings.entry_id})
        self.links_.fleet.set_known_entries(entries_by_id)

    @property
    def is_ready(self) -> bool:
        """Tell whether this entry takes new callers."""
        return self.readiness is Readiness.READY

    @property
    def readiness(self) -> Readiness:
        """Return whether this entry takes new callers, or why it does not."""
        if self.is_draining_:
            return Readiness.DRAINING
        if self.state_.table_ is None:
            return Readiness.NO_CONFIG
        if not self.state_.roster_.halls_.is_known_:
            return Readiness.EVACUATIONS_UNKNOWN
        if self.state_.age().is_stale:
            return Readiness.CONFIG_MAY_BE_OLD
        return Readiness.READY

    async def _serve(self, exchange: CallerExchange) -> None:
        exchange.is_served_ = True
        forwarder = RequestForwarder(
            exchange=exchange,
            state=self.state_,
            stages=self.stages_,
            admission=self.admission_,
        )
        await forwarder.serve()

    async def _sweep(self) -> None:
        """Sweep connections and records until cancelled, also after an error."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            try:
                self._sweep_once()
            except Exception as error:
                self.log_.report(Event.SWEEP_FAILED, error=error_text(error))

    def _sweep_once(self) -> None:
        """Drop what is over, and close connections that are no longer used."""
        known = self.state_.roster_.known_ids()
        self.state_.pool_.close_idle(known)
        self.state_.engines_.retain(known)
        self.state_.cold_endpoints_.retain(known)
        self.state_.endpoint_limits_.retain(known, self.state_.now())
        self.state_.retain_usual_durations()
        self.state_.endpoint_retry_after_.sweep(self.state_.now())
        self.halls_.expire()
        self.status_log_.report()
        self.caller_server_.close_idle()
        self.caller_server_.check_unsent()
        self.state_.memory_.cut_off_stalled()
        self.state_.memory_.export()
        self.turn_probe_.export()
        CALLER_CONNECTIONS.set(self.caller_server_.connection_count)
        UNSENT_BYTES.set(self._unsent_bytes)

    @property
    def _unsent_bytes(self) -> int:
        """Return how many bytes wait to be sent to callers and endpoints."""
        return self.caller_server_.unsent_bytes + self.state_.pool_.unsent_bytes

    def _load_fields(self) -> dict[str, int | float | str]:
        """Return the log fields that tell what the entry holds."""
        now = self.state_.now()
        least = self.state_.peer_delays_.least(now)
        return {
            "least_late_part": UNTOLD if least is None else round(least, 2),
            "cause": self.connections_.cause_.value,
            "link_wait_ms": round(self.state_.link_waits_.wait_s(now) * 1_000.0),
            "shed": self.connections_.shed_count_,
            "admitted_per_s": round(self.connections_.limit_per_s_ or 0.0),
            "requests": len(self.caller_server_.exchanges_),
            "connections": self.caller_server_.connection_count,
            "endpoint_connections": self.state_.pool_.open_count,
            "unsent_bytes": self._unsent_bytes,
        }

    async def _watch_suspensions(self) -> None:
        """Check for suspensions of the host, and handle each when it is over."""
        watch = SuspensionWatch(boot=lambda: self.boot_clock(), steady=time.monotonic)
        while True:
            slept_s = watch.measure_suspension_s()
            if slept_s > 0.0:
                self._on_host_resumed(slept_s)
            await asyncio.sleep(SUSPENSION_POLL_S)

    def _on_host_resumed(self, slept_s: float) -> None:
        """End requests past their deadlines, and ask the store for changes."""
        self.log_.report(Event.PROCESS_WOKEN, slept_ms=round(slept_s * 1_000.0))
        self.state_.deadlines_.reschedule_all()
        self.state_.origin_ledger_.record_gap(self.state_.now())
        for follower in self.followers_:
            follower.mark_unconfirmed()

    def reload_settings(self) -> None:
        """Read the settings again; keep the current ones if that fails."""
        read = self.reload()
        if isinstance(read, Failure):
            self.log_.report(Event.SETTINGS_INVALID, fault=str(read.failure())[:300])
            return
        self.settings = read.unwrap()
        self.state_.bounds = self.settings.bounds
        self.state_.memory_.set_limit(self.settings.bounds.memory_bytes)
        self.log_.report(Event.SETTINGS_RELOADED, entry=self.settings.entry_id)

    async def drain(self) -> None:
        """Take no new callers, end requests, and stop within the grace period."""
        self.is_draining_ = True
        self.links_.is_draining_ = True
        self.state_.record_stop()
        await self.planned_stop_.run()
        self.stop()

    async def _leave(self) -> None:
        """Take the record of this entry out of the store."""
        # The task could announce the entry again after its removal.
        self.announce_task_.cancel()
        await self.members_.retract()

    def stop(self) -> None:
        """Stop at once, even if requests are under way."""
        self.turn_probe_.stop()
        self.caller_server_.stop()
        self.ready_server_.stop()
        for task in self.tasks_:
            task.cancel()
        self.links_.stop()
