"""Plans change in safe steps; leases and fences protect against stale planners."""

import pytest
from hypothesis import given, strategies as st

from leadford.pipelines.config import ModelConfig
from leadford.pipelines.placement import (
    EngineView,
    ModelCopy,
    OrderKind,
    OrderSequence,
    PlacementPlanner,
    Plan,
    PlanningLease,
    PlanRecord,
    decode_plan,
)


def make_engines(holds=None, count=6):
    holds = holds or {}
    return [
        EngineView(f"e{n}", f"h{n % 3}", frozenset(holds.get(f"e{n}", ())))
        for n in range(count)
    ]


def model(version="1", copies=2, **options):
    return ModelConfig(pool="p", version=version, copies=copies, **options)


def apply_plan(plan, engines):
    """Return the engines after they loaded and unloaded as planned."""
    return [
        EngineView(e.endpoint_id, e.hall, plan.wanted(e.endpoint_id)) for e in engines
    ]


def run_planner(models, engines, plan=None, rounds=40):
    planner = PlacementPlanner(weight_store_mb_s=1e9)
    plan = plan or Plan()
    for step in range(rounds):
        plan = planner.next_plan(plan, models, engines, float(step))
        engines = apply_plan(plan, engines)
    return plan, engines


def holders(engines, name, version="1"):
    return [e.endpoint_id for e in engines if ModelCopy(name, version) in e.holds]


def test_copies_spread_over_halls_and_stay():
    plan, engines = run_planner({"m": model(copies=3)}, make_engines())
    held = holders(engines, "m")
    assert len({e.hall for e in engines if e.endpoint_id in held}) == 3
    again, _ = run_planner({"m": model(copies=3)}, engines, plan)
    assert again == plan


def test_pins_are_kept():
    _, engines = run_planner({"m": model(pinned=("e4",))}, make_engines())
    assert "e4" in holders(engines, "m")


def test_loads_are_paced_by_the_weight_store():
    planner = PlacementPlanner(weight_store_mb_s=100.0, burst_s=10.0)
    models = {"m": model(copies=6, load_mb=1000.0)}
    plan = Plan()
    engines = make_engines()
    started = []
    for second in range(40):
        plan = planner.next_plan(plan, models, engines, float(second))
        engines = apply_plan(plan, engines)
        started.append(len(holders(engines, "m")))
    assert started[0] == 1
    assert started[9] == 1
    assert started[-1] == 4


def test_few_engines_load_at_once():
    planner = PlacementPlanner(weight_store_mb_s=1e9)
    models = {"m": model(copies=6)}
    plan = planner.next_plan(Plan(), models, make_engines(), 0.0)
    assert len(plan.copies_by_endpoint) == 2


@given(
    st.lists(
        st.tuples(st.integers(1, 3), st.integers(1, 4), st.integers(0, 5)), max_size=20
    )
)
def test_the_last_serving_copy_is_never_unloaded(changes):
    planner = PlacementPlanner(weight_store_mb_s=1e9)
    plan, engines = run_planner({"m": model()}, make_engines())
    now = 100.0
    for version, copies, down in changes:
        models = {"m": model(str(version), copies)}
        for _ in range(6):
            now += 1.0
            seen = [
                EngineView(e.endpoint_id, e.hall, e.holds, n != down)
                for n, e in enumerate(engines)
            ]
            plan = planner.next_plan(plan, models, seen, now)
            engines = apply_plan(plan, engines)
            assert any(c.model == "m" for e in engines for c in e.holds)


def test_a_new_version_replaces_the_old_in_full_first():
    plan, engines = run_planner({"m": model("1", 2)}, make_engines())
    old = holders(engines, "m")
    plan, engines = run_planner({"m": model("2", 2)}, engines, plan)
    assert len(holders(engines, "m", "2")) == 2
    assert old
    assert not holders(engines, "m", "1")


def test_a_lease_is_taken_over_only_after_it_lapses():
    lease = PlanningLease(entry_id="b", lease_s=15.0)
    record = PlanRecord("a", 100.0, Plan())
    assert not lease.may_write(record, 99.0)
    assert lease.may_write(record, 100.1)
    own = lease.next_record(Plan(), 100.1)
    assert decode_plan(own.encode()) == own
    assert not lease.must_write(own, Plan(), 101.0)
    assert lease.must_write(own, Plan(), 107.0)
    assert lease.must_write(own, Plan({"e": (ModelCopy("m", "1"),)}), 101.0)


COPY = ModelCopy("m", "1")
OTHER = ModelCopy("n", "1")


def test_an_older_plan_is_not_obeyed():
    sequence = OrderSequence(checks_fences=True)
    assert sequence.next_order(frozenset(), 0.0) is None
    assert sequence.adopt_plan(5, frozenset({COPY}))
    assert not sequence.adopt_plan(4, frozenset())
    step = sequence.next_order(frozenset(), 0.0)
    assert (step.kind, step.copy, step.fence) == (OrderKind.LOAD, COPY, 5)


def test_loads_go_before_unloads():
    sequence = OrderSequence(checks_fences=True)
    sequence.adopt_plan(1, frozenset({COPY}))
    assert sequence.next_order(frozenset({OTHER}), 0.0).kind is OrderKind.LOAD
    assert sequence.next_order(frozenset({OTHER, COPY}), 0.0).kind is OrderKind.UNLOAD


@pytest.mark.parametrize(("checks", "held_back"), [(True, False), (False, True)])
def test_an_order_in_doubt_is_waited_out_where_fences_are_not_checked(
    checks, held_back
):
    sequence = OrderSequence(checks_fences=checks, order_lifetime_s=5.0)
    sequence.adopt_plan(1, frozenset({COPY}))
    sequence.record_lost(sequence.next_order(frozenset(), 0.0), 0.0)
    sequence.adopt_plan(2, frozenset())
    contrary = sequence.next_order(frozenset({COPY}), 1.0)
    assert (contrary is None) is held_back
    assert sequence.next_order(frozenset({COPY}), 6.0).kind is OrderKind.UNLOAD
