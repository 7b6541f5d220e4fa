"""Streams that were not resumable when they began are known to nobody."""

import pytest

from leadford.common import ConfigVersion
from leadford.forwarding.routes import (
    ForwardConfig,
    Route,
    RouteId,
    RouteKind,
    RouteTable,
    ServiceId,
    TrafficLimits,
    WeightedService,
    makes_resumable,
)


def route(prefix, kind=RouteKind.STREAM, *, resumable=True, host="h"):
    return Route(
        route_id=RouteId(prefix),
        host=host,
        path_prefix=prefix,
        kind=kind,
        services=(WeightedService(ServiceId("s"), 1.0),),
        timeout_ms=1.0,
        aim_ms=1.0,
        is_resumable=resumable,
    )


def table(*routes):
    config = ForwardConfig(ConfigVersion(1), routes, {}, TrafficLimits())
    return RouteTable.from_config(config)


RESUMED = route("/a/")
ONCE = route("/a/", resumable=False)
PLAIN = route("/a/", RouteKind.SAFE)


@pytest.mark.parametrize(
    ("before", "after", "found"),
    [
        ([RESUMED], [RESUMED], False),
        ([RESUMED], [ONCE], False),
        ([], [RESUMED], False),
        ([ONCE], [RESUMED], True),
        ([PLAIN], [RESUMED], True),
        # A longer prefix, new or removed.
        ([ONCE], [ONCE, route("/a/b/")], True),
        ([RESUMED], [RESUMED, route("/a/b/")], False),
        ([RESUMED, route("/a/b/", resumable=False)], [RESUMED], True),
        ([RESUMED, route("/c/", resumable=False)], [RESUMED], False),
        ([RESUMED, route("/a/b/", resumable=False, host="other")], [RESUMED], False),
    ],
)
def test_paths_that_become_resumable_are_noticed(before, after, found):
    assert makes_resumable(table(*before), table(*after)) == found
