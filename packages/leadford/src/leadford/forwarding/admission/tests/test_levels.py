"""Test single decisions at contended services, and those elsewhere beside them."""

from random import Random

import pytest

from leadford.common import WorkspaceId
from leadford.forwarding.admission import (
    ForwardAdmission,
    RetryReservations,
    StageCapacity,
    Verdict,
)
from leadford.forwarding.admission._levels import (
    MIN_LEVEL_SLACK_FRACTION,
    level_slack_fraction,
)
from leadford.forwarding.admission._limits import DEADLINE_FRACTION
from leadford.forwarding.admission.tests.conftest import (
    piece_limits,
    request_for,
    staged_route,
)
from leadford.forwarding.batching import (
    RESERVED_FRACTION,
    AdmittedBacklog,
    BacklogKey,
    ThroughputRate,
)
from leadford.forwarding.routes import ServiceId, StageSpec

FULL, FREE = ServiceId("full"), ServiceId("free")
LIMITS = piece_limits(room_bytes=10**9)
CAPACITIES = {name: StageCapacity(LIMITS, 2) for name in (FULL, FREE)}
# Pieces that the endpoints of a stage compute in a second.
PER_S = 2 * LIMITS.batch / LIMITS.full_call_s


class Decisions:
    def __init__(self):
        self.backlog = AdmittedBacklog()
        self.admission = ForwardAdmission(
            backlog=self.backlog, reservations=RetryReservations(), random=Random(1)
        )

    def hold(self, service, level, seconds):
        self.backlog.add(BacklogKey(service, level), round(seconds * PER_S))

    def decide(self, level, stages=(FULL,), counts=None, aim_s=2.0, **fields):
        specs = [StageSpec(service, (), 1_000) for service in stages]
        route = staged_route(*specs, priority=level, aim_ms=aim_s * 1_000.0)
        fields = {"contended_ids": frozenset({FULL}), "priority": level, **fields}
        counts = counts or (1,) * len(stages)
        return self.admission.decide(request_for(route, counts, CAPACITIES, **fields))

    def admits(self, level, **fields):
        return self.decide(level, **fields).verdict is Verdict.ADMIT


def test_the_more_urgent_of_two_lower_levels_is_admitted_first():
    fixture = Decisions()
    fixture.hold(FULL, 2, 5.0)
    assert fixture.admits(0)
    assert fixture.admits(1)
    refused = fixture.decide(2)
    assert (refused.verdict, refused.level) == (Verdict.REFUSE, 2)
    assert refused.short_service_id == FULL


def test_less_of_the_slack_is_left_to_each_lower_level():
    fractions = [level_slack_fraction(level, level) for level in range(10)]
    assert fractions == sorted(fractions, reverse=True)
    assert min(fractions) == MIN_LEVEL_SLACK_FRACTION
    # A workspace ranks within a level: it never reaches that of another one.
    assert level_slack_fraction(0, 9) > level_slack_fraction(1, 0)
    assert level_slack_fraction(1, 0) == level_slack_fraction(1, 1)
    assert level_slack_fraction(1, 2) < level_slack_fraction(1, 1)


def test_a_workspace_does_not_lift_a_request_over_the_level_of_its_route():
    fixture = Decisions()
    fixture.hold(FULL, 1, 5.0)
    assert fixture.admits(0, priority=9)
    assert not fixture.admits(1, priority=0)


def test_a_request_that_does_not_need_the_full_stage_is_admitted():
    fixture = Decisions()
    fixture.hold(FULL, 0, 5.0)
    fixture.hold(FULL, 3, 5.0 * RESERVED_FRACTION)
    assert not fixture.admits(3, stages=(FULL, FREE))
    assert fixture.admits(3, stages=(FREE,))
    # The route has the stage, and this request has no pieces for it.
    assert fixture.admits(3, stages=(FULL, FREE), counts=(0, 1))


def test_each_stage_is_judged_by_the_rule_of_its_service():
    """A route below the highest priority may use half the slack at the other stage."""
    contended, other = Decisions(), Decisions()
    contended.hold(FULL, 1, 0.6 * 1.6)
    other.hold(FREE, 1, 0.6 * 1.6)
    assert contended.admits(1, stages=(FULL, FREE))
    assert other.decide(1, stages=(FULL, FREE)).short_service_id == FREE


def test_what_is_computed_until_a_request_reaches_a_stage_does_not_delay_it():
    fixture = Decisions()
    route = staged_route(
        StageSpec(FREE, (), 1_000), StageSpec(FULL, (0,), 1_000), aim_ms=700.0
    )
    fixture.hold(FULL, 0, 0.21)
    request = request_for(
        route, (1, 1), CAPACITIES, contended_ids=frozenset({FULL}), first_byte_s=0.05
    )
    # Those of the pieces that are there when it arrives share its call.
    full_call_s = LIMITS.full_call_s
    pieces = round(0.21 * PER_S) * full_call_s / (0.21 + full_call_s) / 2
    expected_s = fixture.admission.decide(request).expected_s
    assert expected_s == pytest.approx(0.47 + 0.01 * pieces)


def test_more_urgent_requests_that_keep_coming_count():
    fixture = Decisions()
    fixture.hold(FULL, 1, 0.5)
    assert fixture.admits(1)
    fixture.backlog.record_flow(FULL, {0: 0.8 * PER_S}, 0.0)
    assert not fixture.admits(1)


def test_the_reserved_part_of_the_capacity_counts_for_the_least_urgent():
    fixture = Decisions()
    fixture.hold(FULL, 0, 9.0)
    fixture.hold(FULL, 2, 0.3 * RESERVED_FRACTION)
    assert fixture.admits(2)
    fixture.hold(FULL, 2, 1.0 * RESERVED_FRACTION)
    assert not fixture.admits(2)


def test_the_reserved_part_is_one_of_what_a_slow_stage_computes():
    fixture = Decisions()
    fixture.hold(FULL, 0, 9.0)
    fixture.hold(FULL, 2, 0.3 * RESERVED_FRACTION)
    fixture.backlog.record_rate(FULL, ThroughputRate(0.1 * PER_S, 0.0), 0.0)
    assert not fixture.admits(2)
    fixture.backlog.record_rate(FULL, ThroughputRate(0.0, 0.0), 0.0)
    assert not fixture.admits(0)


def test_without_an_endpoint_nothing_is_admitted():
    fixture = Decisions()
    route = staged_route(StageSpec(FULL, (), 1_000), priority=2)
    gone = {FULL: StageCapacity(LIMITS, 0)}
    for is_booked in (False, True):
        request = request_for(
            route, (1,), gone, contended_ids=frozenset({FULL}), is_booked=is_booked
        )
        assert fixture.admission.decide(request).verdict is Verdict.REFUSE


def test_a_promise_is_kept_unless_it_is_too_late_with_nothing_before_the_request():
    fixture = Decisions()
    fixture.hold(FULL, 0, 9.0)
    assert not fixture.admits(0)
    assert fixture.admits(0, is_booked=True)
    timeout_s = 8.0
    needs_s = LIMITS.duration_ms(1) / 1_000.0 + 0.1
    left_s = DEADLINE_FRACTION * timeout_s - needs_s
    assert fixture.admits(0, is_booked=True, elapsed_s=left_s - 0.01)
    assert not fixture.admits(0, is_booked=True, elapsed_s=left_s + 0.01)


def test_a_small_workspace_is_not_refused_for_the_pieces_of_a_large_one():
    large, small = WorkspaceId("large"), WorkspaceId("small")
    fixture = Decisions()
    for _ in range(20):
        fixture.decide(1, workspace_id=large)
    fixture.decide(1, workspace_id=small)
    fixture.hold(FULL, 1, 2.0)
    assert not fixture.admits(1, workspace_id=large)
    assert not fixture.admits(1)
    assert fixture.admits(1, workspace_id=small)
