"""Priorities and targets decide whether routes of a stage compete by level."""

import pytest

from leadford.forwarding.routes import (
    Route,
    RouteId,
    RouteKind,
    ServiceId,
    StageSpec,
    contended_services,
)

SCAN = ServiceId("scan")
INDEX = ServiceId("index")


def route(priority, aim_ms, *services):
    return Route(
        route_id=RouteId(f"{priority}-{aim_ms}"),
        host="a",
        path_prefix="/",
        kind=RouteKind.STREAM,
        services=(),
        timeout_ms=6_000.0,
        aim_ms=aim_ms,
        priority=priority,
        stages=tuple(StageSpec(service_id) for service_id in services),
    )


@pytest.mark.parametrize(
    "priorities_and_aims",
    [
        [(0, 1_600.0), (1, 3_600.0), (2, 3_600.0)],
        [(0, 1_600.0), (1, 3_100.0), (2, 3_600.0)],
        [(0, 2_500.0), (1, 3_600.0), (2, 2_700.0)],
        [(1, 2_000.0)],
        [(1, 2_000.0), (1, 4_000.0)],
    ],
)
def test_targets_that_follow_priorities_need_no_levels(priorities_and_aims):
    routes = [route(priority, aim, SCAN) for priority, aim in priorities_and_aims]
    assert contended_services(routes) == frozenset()


@pytest.mark.parametrize(
    "priorities_and_aims",
    [
        [(0, 1_900.0), (1, 1_400.0)],
        [(0, 1_900.0), (2, 1_800.0)],
        [(0, 1_500.0), (1, 2_000.0), (2, 4_000.0)],
    ],
)
def test_targets_that_contradict_priorities_need_levels(priorities_and_aims):
    routes = [route(priority, aim, SCAN) for priority, aim in priorities_and_aims]
    assert contended_services(routes) == {SCAN}


def test_only_services_that_such_routes_share_are_contended():
    routes = [route(0, 1_900.0, SCAN, INDEX), route(1, 1_400.0, SCAN)]
    assert contended_services(routes) == {SCAN}


def test_routes_without_a_target_or_without_stages_compete_with_nobody():
    routes = [route(0, 1_900.0, SCAN), route(1, 0.0, SCAN), route(2, 100.0)]
    assert contended_services(routes) == frozenset()
