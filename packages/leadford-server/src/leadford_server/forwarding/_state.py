"""Hold what one entry knows for forwarding: configuration, endpoints, budgets.

Shared by all requests of an entry. Each field is written by one module: the table and
its age by `_config`, the roster by `_listing`, the count of entries, the bounds and the
begin of a stop by `_process`, reservations by admission and heartbeats; the estimates,
choosers, budgets and connections learn from requests.
"""

import asyncio
from random import Random

import msgspec

from leadford.common import Ewma, HallId
from leadford.forwarding.admission import RetryReservations
from leadford.forwarding.batching import GroupId, PlaceId, RegionMap
from leadford.forwarding.endpoints import (
    EndpointChooser,
    EndpointRecord,
    EndpointRoster,
    EngineChooser,
)
from leadford.forwarding.retries import WindowedRetryBudget
from leadford.forwarding.routes import ProcessAge, RouteTable, Service, ServiceId
from leadford_server.forwarding._contract import RequestCodec
from leadford_server.forwarding._pool import ConnectionPool
from leadford_server.logs import EventLog

# Seconds to the first byte before any is measured; commit 33a2606, not measured.
ENGINE_S = 0.15
# Part of the time that a leaving endpoint allows, for which endpoints are used that
# were removed all at once; commit 9f2b41e, not varied.
GONE_TRUSTED_PART = 0.55


class ForwardBounds(msgspec.Struct, frozen=True):
    """Hold the bounds that the deployment sets.

    Units: seconds, except that the ratio and the slack count requests.
    """

    retry_ratio: float = 0.2
    retry_slack: float = 10.0
    retry_window_s: float = 10.0
    drain_s: float = 2.0
    grace_s: float = 8.0
    # Read, so that a malformed value is reported, but nothing decides by it.
    config_s: float = 2.0


class ForwardState:
    """Hold the state that requests share."""

    def __init__(
        self,
        *,
        codec: RequestCodec,
        hall: HallId,
        bounds: ForwardBounds,
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
        self.roster_ = EndpointRoster(trusted_s=GONE_TRUSTED_PART * bounds.drain_s)
        self.chooser_ = EndpointChooser(hall=hall, random=random)
        self.engines_ = EngineChooser(hall=hall)
        self.pool_ = ConnectionPool(codec=codec, loop=loop)
        self.budgets_by_service_: dict[ServiceId, WindowedRetryBudget] = {}
        self.groups_by_service_: dict[ServiceId, tuple[int, dict[HallId, GroupId]]] = {}
        self.entry_count_ = 1
        self.reservations_ = RetryReservations()
        self.engine_s_by_service_: dict[ServiceId, Ewma] = {}
        self.config_seen_at_: float | None = None
        self.stop_began_at_: float | None = None

    def now(self) -> float:
        """Return the monotonic clock.

        Units: seconds.
        """
        return self.loop.time()

    def usable(self, service_id: ServiceId) -> list[EndpointRecord]:
        """Return the endpoints of a service that take new work now."""
        return self.roster_.usable(service_id, self.now())

    def usable_by_hall(self, service_id: ServiceId) -> dict[HallId, int]:
        """Return how many endpoints of a service take new work now in each hall."""
        return self.roster_.usable_by_hall(service_id, self.now())

    def groups(self, service_id: ServiceId) -> dict[HallId, GroupId]:
        """Return the group of each hall with listed endpoints of a batched service."""
        version = self.roster_.membership_version_
        known = self.groups_by_service_.get(service_id)
        if known is None or known[0] != version:
            listed_by_hall = self.roster_.listed_by_hall(service_id)
            known = (version, self.regions.groups(service_id, listed_by_hall))
            self.groups_by_service_[service_id] = known
        return known[1]

    def group(self, service_id: ServiceId, hall: HallId) -> GroupId:
        """Return the group of a hall; one without a listing counts to its region."""
        region = PlaceId(self.regions.region(hall))
        return self.groups(service_id).get(hall, GroupId(service_id, region))

    def usable_by_group(self, service_id: ServiceId) -> dict[GroupId, int]:
        """Return how many endpoints of a service take new work now in each group."""
        counts: dict[GroupId, int] = {}
        for hall, count in self.usable_by_hall(service_id).items():
            group = self.group(service_id, hall)
            counts[group] = counts.get(group, 0) + count
        return counts

    def service(self, service_id: ServiceId) -> Service | None:
        """Return what the configuration in force says of a service."""
        table = self.table_
        return table.config.services_by_id.get(service_id) if table else None

    def budget(self, service_id: ServiceId) -> WindowedRetryBudget:
        """Return the budget for repeats to a service."""
        budget = self.budgets_by_service_.get(service_id)
        if budget is None:
            budget = WindowedRetryBudget(
                ratio=self.bounds.retry_ratio,
                slack=self.bounds.retry_slack,
                window_s=self.bounds.retry_window_s,
            )
            budget.entry_count_ = self.entry_count_
            self.budgets_by_service_[service_id] = budget
        return budget

    def engine_s(self, service_id: ServiceId) -> Ewma:
        """Return how long a service takes to the first byte of an answer.

        Units: seconds.
        """
        estimate = self.engine_s_by_service_.get(service_id)
        if estimate is None:
            estimate = Ewma(initial=ENGINE_S)
            self.engine_s_by_service_[service_id] = estimate
        return estimate

    def record_stop(self) -> None:
        """Record that a planned stop begins now."""
        self.stop_began_at_ = self.now()

    def age(self) -> ProcessAge:
        """Return how old the configuration is, and how far a planned stop has come."""
        now = self.now()
        seen_at = self.config_seen_at_
        stop_began_at = self.stop_began_at_
        return ProcessAge(
            config_age_s=None if seen_at is None else now - seen_at,
            stopping_s=None if stop_began_at is None else now - stop_began_at,
            grace_s=self.bounds.grace_s,
        )

    def set_entry_count(self, count: int) -> None:
        """Split the fleet's bounds over so many entries."""
        self.entry_count_ = max(1, count)
        self.pool_.entry_count_ = self.entry_count_
        for budget in self.budgets_by_service_.values():
            budget.entry_count_ = self.entry_count_
