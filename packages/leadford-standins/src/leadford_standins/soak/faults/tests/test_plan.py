"""The seed of a soak determines its plan, and every kind of fault has an injector."""

from random import Random

import pytest

from leadford_standins.soak import SoakOptions, UpgradeWay
from leadford_standins.soak._base import FaultKind
from leadford_standins.soak.faults._base import injectors_by_kind
from leadford_standins.soak.faults._plan import (
    BUSY_SPANS,
    CHANGE_SPANS,
    ENDING_SPANS,
    FAULT_SPANS,
    LOSS_SPANS,
    QUIET_START_S,
    RESTORE_SPANS,
    SILENT_SPANS,
    UNEVEN_SPANS,
    draw_plan,
)


def plan_of(seed, **fields):
    options = SoakOptions(seed=seed, seconds=60.0, **fields)
    return draw_plan(options, Random(seed))


def test_a_seed_always_draws_the_same_plan():
    assert plan_of(7) == plan_of(7)
    assert plan_of(7).faults != plan_of(8).faults


def test_faults_come_in_order_after_a_quiet_start():
    times = [fault.at_s for fault in plan_of(3).faults]
    assert times == sorted(times)
    assert times[0] >= QUIET_START_S
    assert times[-1] < 60.0


def test_faults_overlap_and_come_in_series():
    faults = plan_of(5, faults_per_s=1.5).faults
    follows = [
        later
        for earlier, later in zip(faults, faults[1:], strict=False)
        if later.at_s < earlier.at_s + earlier.duration_s
    ]
    assert len(follows) > 5


def test_only_the_kinds_that_are_asked_for_are_drawn():
    faults = plan_of(5, only=("entry-stopped", "route-added")).faults
    kinds = {fault.kind for fault in faults}
    assert kinds == {FaultKind.ENTRY_STOPPED, FaultKind.ROUTE_ADDED}


@pytest.mark.parametrize("kind", FaultKind)
def test_every_kind_is_drawn_and_has_an_injector(kind):
    planned = {FaultKind.ENTRY_UPGRADED}
    assert kind in {
        *FAULT_SPANS,
        *CHANGE_SPANS,
        *ENDING_SPANS,
        *RESTORE_SPANS,
        *UNEVEN_SPANS,
        *BUSY_SPANS,
        *SILENT_SPANS,
        *LOSS_SPANS,
        *planned,
    }
    assert kind in injectors_by_kind


def test_requests_that_end_endpoints_leave_the_other_draws_as_they_were():
    others = [
        fault
        for fault in plan_of(5, ending_per_s=0.5).faults
        if fault.kind not in ENDING_SPANS
    ]
    assert tuple(others) == plan_of(5).faults


def test_restorations_of_the_store_leave_the_other_draws_as_they_were():
    others = [
        fault
        for fault in plan_of(5, restores_per_s=0.5).faults
        if fault.kind not in RESTORE_SPANS
    ]
    assert tuple(others) == plan_of(5).faults


def upgrades(**fields):
    faults = plan_of(5, older="a commit", entries=4, **fields).faults
    return [fault for fault in faults if fault.kind is FaultKind.ENTRY_UPGRADED]


def test_each_entry_is_replaced_in_turn():
    steps = upgrades()
    assert [step.target for step in steps] == [0, 1, 2, 3]
    assert {step.amount for step in steps} == {1.0}
    assert [step.at_s for step in steps] == sorted(step.at_s for step in steps)


def test_an_upgrade_that_is_taken_back_puts_every_entry_back():
    steps = upgrades(upgrade=UpgradeWay.AND_BACK)
    assert [step.target for step in steps] == [0, 1, 2, 3, 0, 1, 2, 3]
    assert [step.amount for step in steps] == [1.0] * 4 + [0.0] * 4


def test_two_builds_for_good_replace_nobody():
    assert upgrades(upgrade=UpgradeWay.HALF) == []


def test_an_older_build_leaves_the_other_draws_as_they_were():
    faults = plan_of(5, older="a commit").faults
    others = [fault for fault in faults if fault.kind is not FaultKind.ENTRY_UPGRADED]
    assert tuple(others) == plan_of(5).faults


def test_uneven_traffic_leaves_the_other_faults_of_a_seed_as_they_are():
    uneven = plan_of(5, uneven_per_s=0.5).faults
    drawn = [fault for fault in uneven if fault.kind in UNEVEN_SPANS]
    assert {fault.kind for fault in drawn} == set(UNEVEN_SPANS)
    others = [fault for fault in uneven if fault.kind not in UNEVEN_SPANS]
    assert others == list(plan_of(5).faults)


def test_silent_endpoints_leave_the_other_faults_of_a_seed_as_they_are():
    silent = plan_of(5, silent_per_s=0.5).faults
    drawn = [fault for fault in silent if fault.kind in SILENT_SPANS]
    assert {fault.kind for fault in drawn} == set(SILENT_SPANS)
    assert all(0.8 <= fault.duration_s <= 1.5 for fault in drawn)
    others = [fault for fault in silent if fault.kind not in SILENT_SPANS]
    assert others == list(plan_of(5).faults)


def test_losses_leave_the_other_faults_of_a_seed_as_they_are():
    losses = plan_of(5, losses_per_s=0.5).faults
    drawn = [fault for fault in losses if fault.kind in LOSS_SPANS]
    assert {fault.kind for fault in drawn} == set(LOSS_SPANS)
    others = [fault for fault in losses if fault.kind not in LOSS_SPANS]
    assert others == list(plan_of(5).faults)
