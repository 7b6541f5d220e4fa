"""Plan a pool: who holds which model version, in small safe steps.

Asked by the entry that holds the planning lease of the pool (`_lease`), with what the
engines report. The plan is stored; agents turn it into orders (`_orders`). What a copy
costs to load is paid from a bucket at the rate of the weight store.
"""

import msgspec

from leadford.common import EndpointId, HallId, TokenBucket, rendezvous_weight
from leadford.pipelines.config import ModelConfig

# Part of a pool's engines that may load at once, one at least.
LOADS_AT_ONCE_FRACTION = 0.34


class ModelCopy(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Name one version of one model."""

    model: str
    version: str


class EngineView(msgspec.Struct, frozen=True):
    """Say what is known of an engine: its hall, what it holds, whether it is usable."""

    endpoint_id: EndpointId
    hall: HallId
    holds: frozenset[ModelCopy]
    usable: bool = True


class Plan(msgspec.Struct, frozen=True):
    """Say which copies each engine of a pool is to hold."""

    copies_by_endpoint: dict[str, tuple[ModelCopy, ...]] = {}

    def wanted(self, endpoint_id: str) -> frozenset[ModelCopy]:
        """Return the copies that an engine is to hold."""
        return frozenset(self.copies_by_endpoint.get(endpoint_id, ()))


class PlacementPlanner:
    """Move a plan towards what is configured.

    A copy in place stays where it is. A load is planned only while the weight store's
    rate and the share of engines that may load at once allow it. A copy is given up
    only when enough usable engines already hold what replaces it, so the last serving
    copy of a model is never unloaded.
    """

    def __init__(self, *, weight_store_mb_s: float, burst_s: float = 10.0) -> None:
        self.weight_store_mb_s = weight_store_mb_s
        self.bucket_ = TokenBucket(
            rate_per_s=weight_store_mb_s, burst=weight_store_mb_s * burst_s
        )

    def next_plan(
        self,
        plan: Plan,
        models: dict[str, ModelConfig],
        engines: list[EngineView],
        now: float,
    ) -> Plan:
        """Return the plan that follows a plan, the same one when nothing is to do."""
        wanted = {e.endpoint_id: set(plan.wanted(e.endpoint_id)) for e in engines}
        loading = sum(bool(wanted[e.endpoint_id] - e.holds) for e in engines)
        limit = max(1, int(LOADS_AT_ONCE_FRACTION * len(engines)))
        for name in sorted(models):
            target = ModelCopy(name, models[name].version)
            for engine in self._to_load(target, models[name], engines, wanted):
                if loading >= limit or not self._pay(models[name], engine, target, now):
                    break
                wanted[engine.endpoint_id].add(target)
                loading += target not in engine.holds
        self._give_up(models, engines, wanted)
        copies = {
            endpoint_id: tuple(sorted(held))
            for endpoint_id, held in wanted.items()
            if held
        }
        return plan if copies == plan.copies_by_endpoint else Plan(copies)

    def _pay(
        self, model: ModelConfig, engine: EngineView, target: ModelCopy, now: float
    ) -> bool:
        if target in engine.holds:
            return True
        # A model larger than the burst still loads once the bucket is full.
        amount = min(model.load_mb, self.bucket_.burst)
        return self.bucket_.try_take(now, amount)

    def _to_load(
        self,
        target: ModelCopy,
        model: ModelConfig,
        engines: list[EngineView],
        wanted: dict[str, set[ModelCopy]],
    ) -> list[EngineView]:
        """Return the engines that should get a copy next, the best first."""
        usable = [engine for engine in engines if engine.usable]
        have = [e for e in usable if target in wanted[e.endpoint_id]]
        missing = [
            e
            for e in usable
            if e.endpoint_id in model.pinned and target not in wanted[e.endpoint_id]
        ]
        short = model.copies - len(have) - len(missing)
        if short <= 0:
            return missing
        halls = [engine.hall for engine in have]
        others = [e for e in usable if e not in have and e not in missing]
        others.sort(
            key=lambda e: (
                target not in e.holds,
                halls.count(e.hall),
                len(wanted[e.endpoint_id]),
                -rendezvous_weight(target.model, e.endpoint_id),
            )
        )
        return missing + others[:short]

    def _give_up(
        self,
        models: dict[str, ModelConfig],
        engines: list[EngineView],
        wanted: dict[str, set[ModelCopy]],
    ) -> None:
        for engine in engines:
            for copy in sorted(wanted[engine.endpoint_id]):
                if self._may_give_up(copy, engine, models, engines, wanted):
                    wanted[engine.endpoint_id].discard(copy)

    def _may_give_up(
        self,
        copy: ModelCopy,
        engine: EngineView,
        models: dict[str, ModelConfig],
        engines: list[EngineView],
        wanted: dict[str, set[ModelCopy]],
    ) -> bool:
        model = models.get(copy.model)
        if model is None:
            return True
        target = ModelCopy(copy.model, model.version)
        serving = [
            e
            for e in engines
            if e.usable and target in e.holds and target in wanted[e.endpoint_id]
        ]
        enough = len(serving) >= max(1, model.copies)
        if copy != target:
            # An old version goes once the new one serves in full.
            return enough
        if engine.endpoint_id in model.pinned:
            return False
        if model.copies == 0:
            return True
        others = [e for e in serving if e.endpoint_id != engine.endpoint_id]
        return len(others) >= model.copies


def plan_differences(plan: Plan, engine: EngineView) -> list[ModelCopy]:
    """Return the copies that an engine holds or lacks against a plan."""
    return sorted(plan.wanted(engine.endpoint_id) ^ engine.holds)
