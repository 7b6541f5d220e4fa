"""Test the levels by which requests are ranked, on both sides of the switch."""

import pytest

from leadford.forwarding.admission.tests.conftest import staged_route
from leadford.forwarding.routes import RouteLevels, ServiceId, StageSpec

SHARED, OWN = ServiceId("shared"), ServiceId("own")


def levels(priority, contended):
    route = staged_route(StageSpec(SHARED), StageSpec(OWN), priority=priority)
    return RouteLevels.from_route(route, contended)


@pytest.mark.parametrize("priority, level", [(0, 0), (1, 1), (2, 1), (9, 1)])
def test_elsewhere_there_are_two_levels(priority, level):
    found = levels(priority, ())
    assert (found.level(SHARED), found.contended_level(SHARED)) == (level, None)


@pytest.mark.parametrize("priority, level", [(0, 0), (2, 2), (9, 9), (12, 9), (-1, 0)])
def test_at_a_contended_service_the_level_is_the_priority_of_the_route(priority, level):
    found = levels(priority, {SHARED, ServiceId("of another route")})
    assert (found.level(SHARED), found.contended_level(SHARED)) == (level, level)
    assert found.level(OWN) == (0 if priority == 0 else 1)
    assert found.contended_level(OWN) is None
