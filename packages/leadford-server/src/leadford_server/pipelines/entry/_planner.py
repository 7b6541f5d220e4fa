"""Plan the models of each engine pool, in one entry at a time.

Plan and lease are decided in `leadford.pipelines.placement`; here the plan object is
read and written, and the agents are sent what it says. Without the store nothing is
planned, and engines keep what they hold.
"""

import asyncio
import time
from itertools import islice
from random import Random

import msgspec
from returns.result import Failure

from leadford.common import (
    EndpointId,
    EntryId,
    HallId,
    PoolId,
)
from leadford.events import Event
from leadford.pipelines.config import FleetConfig, ModelConfig
from leadford.pipelines.placement import (
    EngineView,
    ModelCopy,
    PlacementPlanner,
    Plan,
    PlanningLease,
    PlanRecord,
    decode_plan,
)
from leadford.protocol import HeldModel, PlanOrder
from leadford_server.clock import boot_time
from leadford_server.logs import EventLog
from leadford_server.pipelines.entry._directory import EndpointDirectory
from leadford_server.pipelines.entry._entries import EntryPeers
from leadford_server.pipelines.store import StoreClient, StoreErrorKind

# Interval between rounds of planning, before a random change by up to a quarter.
ROUND_INTERVAL_S = 1.0
# Age after which a plan that another entry wrote is read again.
PLAN_MAX_AGE_S = 5.0
# Number of entries that may plan a pool: the first ones in its order.
PLANNER_CANDIDATE_COUNT = 2


class _PoolPlan:
    """Hold what this entry knows of one pool's plan."""

    def __init__(self, *, planner: PlacementPlanner) -> None:
        self.planner = planner
        self.record_: PlanRecord | None = None
        self.version_ = 0
        self.read_at_ = float("-inf")


class PlannerService:
    """Hold the planning lease of pools, or watch over whoever does."""

    def __init__(
        self,
        *,
        entry_id: EntryId,
        store: StoreClient,
        directory: EndpointDirectory,
        entries: EntryPeers,
        log: EventLog,
        random: Random,
    ) -> None:
        self.entry_id = entry_id
        self.store = store
        self.directory = directory
        self.entries = entries
        self.log = log
        self.random = random
        self.lease_ = PlanningLease(entry_id=entry_id)
        self.plans_by_pool_: dict[PoolId, _PoolPlan] = {}
        self.config_ = FleetConfig()
        self.task_: asyncio.Task[None] | None = None

    def apply_config(self, config: FleetConfig) -> None:
        """Record which models are wanted."""
        self.config_ = config

    def start(self) -> None:
        """Begin to plan."""
        self.task_ = asyncio.create_task(self._run())

    def stop(self) -> None:
        """Stop planning; the lease lapses by itself."""
        self.task_.cancel()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(ROUND_INTERVAL_S * self.random.uniform(0.75, 1.25))
            for pool_id, models in self._models_by_pool().items():
                if self._is_candidate(pool_id):
                    await self._round(pool_id, models)

    def _models_by_pool(self) -> dict[PoolId, dict[str, ModelConfig]]:
        pools: dict[PoolId, dict[str, ModelConfig]] = {}
        for name, model in self.config_.models.items():
            pools.setdefault(PoolId(model.pool), {})[name] = model
        # A pool without models is planned until its engines hold none.
        for pool_id in self.plans_by_pool_:
            pools.setdefault(pool_id, {})
        return pools

    def _is_candidate(self, pool_id: PoolId) -> bool:
        order = self.entries.live_order(f"plan/{pool_id}")
        return self.entry_id in islice(order, PLANNER_CANDIDATE_COUNT)

    async def _round(self, pool_id: PoolId, models: dict[str, ModelConfig]) -> None:
        state = self.plans_by_pool_.get(pool_id)
        if state is None:
            rate = self.config_.tuning.weight_store_mb_s
            state = _PoolPlan(planner=PlacementPlanner(weight_store_mb_s=rate))
            self.plans_by_pool_[pool_id] = state
        if not await self._refresh(pool_id, state):
            return
        now_s = time.time()
        if not self.lease_.may_write(state.record_, now_s):
            return
        engines = self._engines(pool_id)
        plan = state.record_.plan if state.record_ is not None else Plan()
        planned = state.planner.next_plan(plan, models, engines, boot_time())
        if self.lease_.must_write(state.record_, planned, now_s):
            await self._write(pool_id, state, planned, now_s)
        self._order(pool_id, state, engines)

    async def _refresh(self, pool_id: PoolId, state: _PoolPlan) -> bool:
        """Read the plan object unless this entry wrote it last and lately."""
        holder = state.record_.holder if state.record_ is not None else ""
        fresh = boot_time() - state.read_at_ < PLAN_MAX_AGE_S
        if holder == self.entry_id or fresh:
            return state.version_ > 0 or fresh
        read = await self.store.get(f"plans/{pool_id}")
        if isinstance(read, Failure):
            if read.failure().kind is not StoreErrorKind.NOT_FOUND:
                return False
            state.record_, state.version_ = None, 0
        else:
            value = read.unwrap()
            state.record_, state.version_ = decode_plan(value.data), value.version
        state.read_at_ = boot_time()
        return True

    def _engines(self, pool_id: PoolId) -> list[EngineView]:
        engines: list[EngineView] = []
        for name, config in self.config_.endpoints.items():
            if config.pool != pool_id:
                continue
            link = self.directory.link(EndpointId(name))
            held = frozenset(ModelCopy(*pair) for pair in link.view.held_models_)
            usable = self.directory.state_text(link) == "active"
            engine = EngineView(EndpointId(name), HallId(config.hall), held, usable)
            engines.append(engine)
        return engines

    async def _write(
        self, pool_id: PoolId, state: _PoolPlan, plan: Plan, now_s: float
    ) -> None:
        previous = state.record_
        record = self.lease_.next_record(plan, now_s)
        name = f"plans/{pool_id}"
        put = await self.store.put(name, record.encode(), state.version_)
        if isinstance(put, Failure):
            # Another planner wrote, or it is not known who did: read before acting.
            state.record_ = None
            state.version_ = 0
            state.read_at_ = float("-inf")
            return
        state.record_, state.version_ = record, put.unwrap()
        if previous is None or previous.holder != self.entry_id:
            self.log.report(Event.PLANNER_CHANGED, pool=pool_id, holder=self.entry_id)
        if previous is None or previous.plan != plan:
            copies = msgspec.json.encode(plan.copies_by_endpoint).decode()
            self.log.report(Event.PLAN_CHANGED, pool=pool_id, plan=copies[:400])

    def _order(
        self, pool_id: PoolId, state: _PoolPlan, engines: list[EngineView]
    ) -> None:
        """Tell the agents whose engines differ from the plan."""
        if state.record_ is None or state.version_ == 0:
            return
        for engine in engines:
            wanted = state.record_.plan.wanted(engine.endpoint_id)
            peer = self.directory.link(engine.endpoint_id).peer
            if wanted == engine.holds or peer is None:
                continue
            models = [HeldModel(copy.model, copy.version) for copy in sorted(wanted)]
            peer.send(PlanOrder(pool_id, state.version_, models))
