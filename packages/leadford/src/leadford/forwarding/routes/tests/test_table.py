"""Test the lookup of routes and workspaces."""

from random import Random

import pytest
from returns.result import Failure

from leadford.common import ConfigVersion, WorkspaceId
from leadford.forwarding.routes import (
    ForwardConfig,
    LookupFault,
    Route,
    RouteId,
    RouteKind,
    RouteTable,
    Service,
    ServiceId,
    TrafficLimits,
    WeightedService,
    Workspace,
)


def make_route(name, prefix, *, services=("s",), host="a.example", **fields):
    return Route(
        route_id=RouteId(name),
        host=host,
        path_prefix=prefix,
        kind=fields.pop("kind", RouteKind.SAFE),
        services=tuple(WeightedService(ServiceId(s), 1.0) for s in services),
        timeout_ms=1_000.0,
        aim_ms=100.0,
        **fields,
    )


def make_table(routes, workspaces=()):
    config = ForwardConfig(
        version=ConfigVersion(3),
        routes=tuple(routes),
        services_by_id={ServiceId("s"): Service(ServiceId("s"), 4)},
        limits=TrafficLimits(),
        workspaces=tuple(workspaces),
    )
    return RouteTable.from_config(config)


def test_the_longest_prefix_wins():
    table = make_table([make_route("short", "/a/"), make_route("long", "/a/b/")])
    assert table.match("a.example", "/a/b/c").route_id == "long"
    assert table.match("a.example", "/a/c").route_id == "short"
    assert table.match("A.example:80", "/a/c").route_id == "short"
    assert table.match("b.example", "/a/c") is None
    assert table.match("a.example", "/ab") is None


def test_a_key_is_needed_where_there_are_workspaces():
    workspace = Workspace(WorkspaceId("w"), ("k1", "k2"), priority=0)
    public = make_route("open", "/open/", is_public=True)
    table = make_table([make_route("r", "/a/", priority=5), public], [workspace])
    found = table.lookup("a.example", "/a/x", "k2", Random(1)).unwrap()
    assert (found.workspace_id, found.priority, found.version) == ("w", 0, 3)
    for key in (None, "", "other"):
        refused = table.lookup("a.example", "/a/x", key, Random(1))
        assert refused.failure().fault is LookupFault.NO_KEY
    assert table.lookup("a.example", "/open/x", None, Random(1)).unwrap()


def test_without_workspaces_no_key_is_needed():
    table = make_table([make_route("r", "/a/")])
    assert table.lookup("a.example", "/a/", None, Random(1)).unwrap()
    missing = table.lookup("a.example", "/", None, Random(1))
    assert isinstance(missing, Failure)
    assert missing.failure().fault is LookupFault.NO_ROUTE


def test_a_split_follows_the_weights():
    parts = (
        WeightedService(ServiceId("s"), 9.0),
        WeightedService(ServiceId("t"), 1.0),
        WeightedService(ServiceId("never"), 0.0),
    )
    import msgspec

    route = msgspec.structs.replace(make_route("r", "/"), services=parts)
    table = make_table([route])
    random = Random(7)
    counts = {"s": 0, "t": 0, "never": 0}
    for _ in range(1_000):
        found = table.lookup("a.example", "/", None, random).unwrap()
        counts[found.service.service_id] += 1
    assert counts["never"] == 0
    assert 50 < counts["t"] < 150


@pytest.mark.parametrize(
    ("kind", "resumable", "expected"),
    [
        (RouteKind.SAFE, False, True),
        (RouteKind.UNSAFE, False, False),
        (RouteKind.UNSAFE, True, False),
        (RouteKind.STREAM, False, False),
        (RouteKind.STREAM, True, True),
    ],
)
def test_what_may_be_repeated(kind, resumable, expected):
    route = make_route("r", "/", kind=kind, is_resumable=resumable)
    assert route.is_repeatable is expected
