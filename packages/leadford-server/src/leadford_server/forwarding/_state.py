"""Hold what one entry knows for forwarding: configuration, endpoints, budgets.

Shared by all requests of an entry. Each field owns its state, or is written by one
module: the route table and its age by `_config`, the versions heard of by `_news`, the
refusals of the store by `_client`, the time without peers by `_links`, the roster by
`_listing`, the number of entries, the bounds and the start of a stop by
`_process`.
"""

import asyncio
from collections.abc import Collection
from random import Random

import msgspec

from leadford.common import EntryId, HallId
from leadford.forwarding.admission import RetryReservations
from leadford.forwarding.batching import GroupMap, RegionMap
from leadford.forwarding.endpoints import (
    ColdEndpoints,
    EndpointChooser,
    EndpointLimits,
    EndpointRecord,
    EndpointRetryAfter,
    EndpointRoster,
    EngineChooser,
    EvacuatedHalls,
    FirstByteTimes,
    PaceMeter,
)
from leadford.forwarding.history import StoreEpochs
from leadford.forwarding.membership import (
    LoadShares,
    PeerVersions,
    RequestRate,
    StoreRefusals,
)
from leadford.forwarding.overload import LinkWaits, LoopTurns, PeerDelays
from leadford.forwarding.retries import RetryBudgets, WindowedRetryBudget
from leadford.forwarding.routes import ProcessStatus, RouteTable, Service, ServiceId
from leadford.forwarding.streams import OriginLedger, SoftwareHistory, StreamOrigin
from leadford.quarantine import PromptKeys, QuarantineVerdict, strictest
from leadford_server.forwarding._contract import RequestCodec
from leadford_server.forwarding._deadlines import RequestDeadlines
from leadford_server.forwarding._links_contract import (
    PromptPlacement,
    ReturnBookings,
    SoftwareKnowledge,
    StreamKnowledge,
    StreamOrigins,
)
from leadford_server.forwarding._memory import HeldMemory
from leadford_server.forwarding.endpoints import ConnectionPool
from leadford_server.logs import EventLog
from leadford_server.quarantine import PromptQuarantine, RequestQuarantine


class ForwardBounds(msgspec.Struct, frozen=True):
    """Hold the bounds that the deployment sets.

    `evacuate_s` is None if the operator evacuates no halls; then evacuations are not
    followed. `outer_s` is added to `config_s` while the store serves only a part of the
    entries. `resync_s` is the time after a failure of the store within which an entry
    must know what the store accepted meanwhile. `heartbeat_s` is the time between two
    records of an endpoint. `memory_bytes` is the limit of the process. If it is None,
    no request is refused for lack of memory, and no slow caller is cut off.

    Units: seconds, except that the ratio and the slack count requests, that
    `store_writes_per_s` counts the writing calls of all entries in a second, and that
    `memory_bytes` counts bytes.
    """

    retry_ratio: float = 0.2
    retry_slack: float = 10.0
    retry_window_s: float = 10.0
    drain_s: float = 2.0
    grace_s: float = 8.0
    config_s: float = 2.0
    outer_s: float = 5.0
    resync_s: float = 3.0
    evacuate_s: float | None = None
    heartbeat_s: float = 1.2
    store_writes_per_s: float = 400.0
    memory_bytes: int | None = None

    def update_limit_s(self, bound_s: float) -> float:
        """Return the time within which a change whose effect has a bound is known.

        Units: seconds.
        """
        return min(bound_s, self.resync_s)


class ForwardState:
    """Hold the state that requests share."""

    def __init__(
        self,
        *,
        codec: RequestCodec,
        hall: HallId,
        bounds: ForwardBounds,
        entry_id: EntryId,
        random: Random,
        loop: asyncio.AbstractEventLoop,
        log: EventLog,
        regions: RegionMap | None = None,
    ) -> None:
        self.codec = codec
        self.regions = regions or RegionMap()
        self.hall = hall
        self.bounds = bounds
        self.random = random
        self.loop = loop
        self.log = log
        self.table_: RouteTable | None = None
        self.entry_id = entry_id
        self.loop_turns_ = LoopTurns()
        self.link_waits_ = LinkWaits()
        self.peer_delays_ = PeerDelays()
        self.epochs_ = StoreEpochs()
        halls = EvacuatedHalls(is_known=bounds.evacuate_s is None)
        self.roster_ = EndpointRoster.from_drain_period(
            bounds.drain_s,
            bounds.heartbeat_s,
            halls,
            outage_effect_s=bounds.resync_s,
        )
        self.cold_endpoints_ = ColdEndpoints(entry_id=entry_id)
        self.endpoint_retry_after_ = EndpointRetryAfter()
        self.endpoint_limits_ = EndpointLimits(entry_id=entry_id)
        self.chooser_ = EndpointChooser(hall=hall, random=random)
        self.engines_ = EngineChooser(hall=hall)
        self.memory_ = HeldMemory(
            limit_bytes=bounds.memory_bytes, now=self.now, log=log
        )
        self.request_rate_ = RequestRate()
        self.load_shares_ = LoadShares(entry_id=entry_id)
        self.entry_count_ = 1
        self.pool_ = ConnectionPool(
            codec=codec,
            loop=loop,
            memory=self.memory_,
            share=self.share,
            turns=self.loop_turns_,
        )
        self.deadlines_ = RequestDeadlines()
        self.retry_budgets_ = RetryBudgets(make=self._new_budget)
        self.group_map_ = GroupMap(regions=self.regions, roster=self.roster_)
        self.quarantine_ = RequestQuarantine(now=self.now, random=random, log=log)
        self.prompt_quarantine_ = PromptQuarantine(now=self.now, random=random, log=log)
        self.pace_meter_ = PaceMeter()
        self.first_byte_ = FirstByteTimes()
        self.reservations_ = RetryReservations()
        self.origin_ledger_ = OriginLedger()
        self.software_history_ = SoftwareHistory()
        # When the store last confirmed the configuration, to any entry and to this one.
        self.config_seen_at_: float | None = None
        self.config_confirmed_at_: float | None = None
        self.heard_versions_ = PeerVersions()
        self.store_refusals_ = StoreRefusals()
        # Since when no peer is alive; set by the links with each heartbeat.
        self.alone_since_: float | None = None
        self.stop_began_at_: float | None = None
        # Set by the links when they are created.
        self.placing_: PromptPlacement | None = None
        # Whether the build of every live entry knows priority levels; set with each
        # heartbeat.
        self.has_priority_levels_ = False
        self.bookings_: ReturnBookings | None = None
        self.stream_origins_: StreamOrigins | None = None
        # Set by the process when it begins to follow the store.
        self.software_records_: SoftwareKnowledge | None = None
        self.stream_records_: StreamKnowledge | None = None

    def now(self) -> float:
        """Return the monotonic clock.

        Units: seconds.
        """
        return self.loop.time()

    def quarantine_verdict(self, keys: PromptKeys) -> QuarantineVerdict:
        """Return how a request may run, given the crashes under it and its prompt."""
        return strictest(
            self.quarantine_.verdict(keys.digest), self.prompt_quarantine_.verdict(keys)
        )

    def usable(self, service_id: ServiceId) -> list[EndpointRecord]:
        """Return the endpoints of a service that take new work now."""
        return self.roster_.usable(service_id, self.now())

    def is_usable(self, record: EndpointRecord) -> bool:
        """Tell whether an endpoint that was chosen before still takes new work."""
        return self.roster_.is_usable(record, self.now())

    def send_delay_s(self, record: EndpointRecord) -> float:
        """Return in how many seconds this entry may send an endpoint another request.

        0 if it may send one now. Call `record_sent` for each request that is sent.
        """
        if not self._is_any_throttled:
            return 0.0
        listed = record.listed
        now = self.now()
        limit_s = self.endpoint_limits_.wait_s(
            listed.endpoint_id,
            now,
            is_sole_sender=self._is_called_by_one_entry(listed.service_id),
        )
        return max(limit_s, self.endpoint_retry_after_.wait_s(listed.endpoint_id, now))

    def service_send_delay_s(
        self, service_id: ServiceId, origin: StreamOrigin | None = None
    ) -> float:
        """Return in how many seconds any endpoint of a service may get a request.

        0 if one may get a request now, or if none is usable. With an origin, only the
        endpoints count at which its stream may go on.
        """
        if not self._is_any_throttled:
            return 0.0
        records = self.usable(service_id)
        if origin is not None:
            records = [record for record in records if origin.accepts(record.listed)]
        return min(map(self.send_delay_s, records), default=0.0)

    def record_sent(self, record: EndpointRecord) -> None:
        """Count a request or a call that goes to an endpoint now."""
        listed = record.listed
        record.sent_since_report_ += 1
        self.endpoint_limits_.record_sent(
            listed.endpoint_id,
            self.now(),
            is_sole_sender=self._is_called_by_one_entry(listed.service_id),
        )

    @property
    def _is_any_throttled(self) -> bool:
        """Tell whether any endpoint asked for fewer requests.

        Saves the check of many endpoints for each request.
        """
        return bool(
            self.endpoint_limits_.known_by_id_
            or self.endpoint_retry_after_.until_by_id_
        )

    def _is_called_by_one_entry(self, service_id: ServiceId) -> bool:
        """Tell whether one entry makes all calls of a service: a batched stage."""
        service = self.service(service_id)
        return service is not None and service.pieces is not None

    def service(self, service_id: ServiceId) -> Service | None:
        """Return a service of the configuration in force; None if it is not there."""
        table = self.table_
        return table.config.services_by_id.get(service_id) if table else None

    def is_contended(self, service_id: ServiceId) -> bool:
        """Tell whether routes of several priorities compete for a service."""
        table = self.table_
        return table is not None and service_id in table.contended_service_ids

    def level_service_ids(self) -> frozenset[ServiceId]:
        """Return the services whose requests are admitted by priority level.

        These are the contended services; there are none while the build of a live entry
        does not know levels.
        """
        if self.table_ is None or not self.has_priority_levels_:
            return frozenset()
        return self.table_.contended_service_ids

    def config_version(self) -> int:
        """Return the version of the configuration in force, 0 without one."""
        return self.table_.config.version if self.table_ is not None else 0

    def retain_usual_durations(self) -> None:
        """Forget the durations of services that the configuration no longer has."""
        if self.table_ is not None:
            self.pace_meter_.retain(self.table_.config.services_by_id)

    def record_stop(self) -> None:
        """Record that a planned stop begins now."""
        self.stop_began_at_ = self.now()

    def age(self) -> ProcessStatus:
        """Return the age of the configuration, and how long a planned stop has run."""
        now = self.now()
        seen_at = self.config_seen_at_
        stop_began_at = self.stop_began_at_
        alone_since = self.alone_since_
        return ProcessStatus(
            config_age_s=None if seen_at is None else now - seen_at,
            stopping_s=None if stop_began_at is None else now - stop_began_at,
            grace_s=self.bounds.grace_s,
            stale_s=self.heard_versions_.stale_s(self.config_version(), now),
            config_s=self.bounds.config_s,
            outer_s=self.bounds.outer_s,
            refused_s=self.store_refusals_.refused_s(now),
            alone_s=None if alone_since is None else now - alone_since,
        )

    def record_live_peers(self, count: int) -> None:
        """Record how many peers are alive now."""
        if count:
            self.alone_since_ = None
        elif self.alone_since_ is None:
            self.alone_since_ = self.now()

    def set_entries(self, entry_ids: Collection[EntryId]) -> None:
        """Divide the bounds of the fleet among the entries that exist."""
        count = max(1, len(entry_ids))
        self.entry_count_ = count
        self.chooser_.entry_count_ = count
        self.retry_budgets_.set_entry_count(count)
        self.cold_endpoints_.set_entries(entry_ids)
        self.endpoint_limits_.set_entries(entry_ids)

    def share(self) -> float:
        """Return the fraction of the fleet's limits that this entry may use now."""
        return self.load_shares_.share(self.entry_count_, self.now())

    def apply_shares(self) -> None:
        """Apply which entry is the busiest to the limits that are divided by entry."""
        busiest = self.load_shares_.busiest(self.now())
        self.cold_endpoints_.set_busiest(busiest)
        self.endpoint_limits_.set_busiest(busiest)
        self.pool_.apply_share()

    def _new_budget(self) -> WindowedRetryBudget:
        return WindowedRetryBudget(
            ratio=self.bounds.retry_ratio,
            slack=self.bounds.retry_slack,
            window_s=self.bounds.retry_window_s,
        )
