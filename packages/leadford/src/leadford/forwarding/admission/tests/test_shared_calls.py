"""Test that forecasts of several stages are true while calls are shared."""

from statistics import fmean

import pytest

from leadford.forwarding.admission.tests.level_fleet import (
    CAPACITY_PER_S,
    SERVICES,
    LevelFleet,
    kind,
    replay,
    steady,
)

URGENT = kind("urgent", 0, 3.0)
SHORT = kind("short", 1, 2.0, SERVICES[:1])
LONG = kind("long", 2, 2.4)
KINDS = (URGENT, SHORT, LONG)
# A tenth of the slack of the kind with the least.
MAX_ERROR_S = 0.07
SETTLED_S = 2.0
DURATION_S = 12.0


def errors_s(load, route):
    """Return by how much the forecasts of a kind were too short."""
    per_s = load * CAPACITY_PER_S / 2.0
    loads = [(URGENT, steady(per_s), None), (LONG, steady(per_s), None)]
    loads.append((SHORT, steady(per_s / 4.0), None))
    fleet = replay(LevelFleet(), loads, duration_s=DURATION_S)
    return [
        request.answered_at - request.came_at - request.expected_s
        for request in fleet.requests
        if request.route.route_id == route.route_id
        and request.answered_at is not None
        and request.came_at >= SETTLED_S
    ]


@pytest.mark.parametrize("load", [0.4, 0.6, 0.75, 0.85])
@pytest.mark.parametrize("route", KINDS, ids=lambda route: route.route_id)
def test_the_way_through_several_stages_is_not_expected_too_short(load, route):
    assert fmean(errors_s(load, route)) < MAX_ERROR_S
