"""Plan in small safe steps which engine of a pool holds which model versions.

Used by the entry that holds the planning lease of the pool (`_lease`), with the reports
of the engines. The plan is stored; agents turn it into orders (`_orders`). A token
bucket limits loads to the rate of the weight store.
"""

import msgspec

from leadford.common import EndpointId, HallId, TokenBucket, rendezvous_weight
from leadford.pipelines.config import ModelConfig

# Maximum fraction of a pool's engines that load at the same time; at least one may.
LOADS_AT_ONCE_FRACTION = 0.34


class ModelCopy(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Name one version of one model."""

    model: str
    version: str


class EngineView(msgspec.Struct, frozen=True):
    """Hold the known state of an engine: its hall, model copies and usability."""

    endpoint_id: EndpointId
    hall: HallId
    holds: frozenset[ModelCopy]
    usable: bool = True


class Plan(msgspec.Struct, frozen=True):
    """Hold the model copies that each engine of a pool should have."""

    copies_by_endpoint: dict[str, tuple[ModelCopy, ...]] = {}

    def wanted(self, endpoint_id: str) -> frozenset[ModelCopy]:
        """Return the copies that an engine should hold."""
        return frozenset(self.copies_by_endpoint.get(endpoint_id, ()))


class PlacementPlanner:
    """Change a plan step by step towards the configuration.

    Existing copies are not moved. A load is planned only if the rate of the weight
    store and the maximum fraction of loading engines allow it. A copy is dropped only
    when enough usable engines already hold its replacement, so the last serving copy of
    a model is never unloaded.
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
        """Return the next plan, or the given one if nothing changes."""
        wanted = {e.endpoint_id: set(plan.wanted(e.endpoint_id)) for e in engines}
        loading = sum(bool(wanted[e.endpoint_id] - e.holds) for e in engines)
        limit = max(1, int(LOADS_AT_ONCE_FRACTION * len(engines)))
        for name in sorted(models):
            target = ModelCopy(name, models[name].version)
            for engine in self._engines_to_load(target, models[name], engines, wanted):
                if loading >= limit or not self._reserve_load(
                    models[name], engine, target, now
                ):
                    break
                wanted[engine.endpoint_id].add(target)
                loading += target not in engine.holds
        self._drop_surplus(models, engines, wanted)
        copies = {
            endpoint_id: tuple(sorted(held))
            for endpoint_id, held in wanted.items()
            if held
        }
        return plan if copies == plan.copies_by_endpoint else Plan(copies)

    def _reserve_load(
        self, model: ModelConfig, engine: EngineView, target: ModelCopy, now: float
    ) -> bool:
        if target in engine.holds:
            return True
        # A model larger than the burst can be loaded when the bucket is full.
        amount_mb = min(model.load_mb, self.bucket_.burst)
        return self.bucket_.try_take(now, amount_mb)

    def _engines_to_load(
        self,
        target: ModelCopy,
        model: ModelConfig,
        engines: list[EngineView],
        wanted: dict[str, set[ModelCopy]],
    ) -> list[EngineView]:
        """Return the engines that should get a copy next, in order of preference."""
        usable = [engine for engine in engines if engine.usable]
        planned = [e for e in usable if target in wanted[e.endpoint_id]]
        unplaced_pins = [
            e
            for e in usable
            if e.endpoint_id in model.pinned and target not in wanted[e.endpoint_id]
        ]
        needed_count = model.copies - len(planned) - len(unplaced_pins)
        if needed_count <= 0:
            return unplaced_pins
        halls = [engine.hall for engine in planned]
        others = [e for e in usable if e not in planned and e not in unplaced_pins]
        others.sort(
            key=lambda e: (
                target not in e.holds,
                halls.count(e.hall),
                len(wanted[e.endpoint_id]),
                -rendezvous_weight(target.model, e.endpoint_id),
            )
        )
        return unplaced_pins + others[:needed_count]

    def _drop_surplus(
        self,
        models: dict[str, ModelConfig],
        engines: list[EngineView],
        wanted: dict[str, set[ModelCopy]],
    ) -> None:
        for engine in engines:
            for copy in sorted(wanted[engine.endpoint_id]):
                if self._may_drop(copy, engine, models, engines, wanted):
                    wanted[engine.endpoint_id].discard(copy)

    def _may_drop(
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
            # Drop the old version once all copies of the new one serve.
            return enough
        if engine.endpoint_id in model.pinned:
            return False
        if model.copies == 0:
            return True
        others = [e for e in serving if e.endpoint_id != engine.endpoint_id]
        return len(others) >= model.copies


def plan_differences(plan: Plan, engine: EngineView) -> list[ModelCopy]:
    """Return the copies by which an engine differs from a plan."""
    return sorted(plan.wanted(engine.endpoint_id) ^ engine.holds)
