"""The store's record names every version at which a lost stream may have begun."""

import msgspec
import pytest

from leadford.forwarding.endpoints import SoftwareVersion
from leadford.forwarding.history import StoreEpoch
from leadford.forwarding.routes import (
    ForwardConfig,
    Route,
    RouteId,
    RouteKind,
    ServiceId,
    TrafficLimits,
    WeightedService,
)
from leadford.forwarding.streams import (
    MAX_ORIGIN_AGE_S,
    MIN_SOLE_S,
    RecordedSoftware,
    SeenSoftware,
    extended_record,
    longest_timeout_s,
    recorded_wait_s,
    stream_routes_key,
)

SERVICE, OTHER = ServiceId("s"), ServiceId("other")
V1, V2, V3 = map(SoftwareVersion, ("v1", "v2", "v3"))
SEEN = SeenSoftware(SERVICE, frozenset({V1}), 30.0, "routes", 5, StoreEpoch(1))
RECORD = RecordedSoftware(
    SERVICE,
    frozenset({V1}),
    frozenset(),
    30.0,
    "routes",
    5,
    StoreEpoch(1),
    is_complete=True,
)


def changed(value, **fields):
    return msgspec.structs.replace(value, **fields)


@pytest.mark.parametrize(
    "record",
    [
        changed(RECORD, is_complete=False),
        changed(RECORD, epoch=StoreEpoch(0)),
        changed(RECORD, routes_key="other"),
        changed(RECORD, listed=frozenset({V2})),
        changed(RECORD, listed=frozenset({V1, V2})),
        changed(RECORD, gone=frozenset({V2})),
        changed(RECORD, listed=frozenset()).without_listed(frozenset({V2})),
    ],
)
def test_a_version_is_not_the_only_one_where_another_may_have_begun_a_stream(record):
    assert RECORD.sole(SEEN) == V1
    assert record.sole(SEEN) is None


@pytest.mark.parametrize(
    ("seen", "is_covered"),
    [
        (SEEN, True),
        (changed(SEEN, versions=frozenset({V1, V2})), False),
        (changed(SEEN, wait_s=60.0), False),
        (changed(SEEN, wait_s=1.0), True),
        (changed(SEEN, epoch=StoreEpoch(2)), False),
        (changed(SEEN, routes_key="other", config_version=6), False),
        # Others have a newer configuration.
        (changed(SEEN, routes_key="other", config_version=4), True),
    ],
)
def test_what_an_entry_sees_beyond_a_record_is_added(seen, is_covered):
    assert RECORD.covers(seen) == is_covered
    extended = extended_record(RECORD, seen, known=RECORD, is_first=False)
    assert extended.covers(seen)
    assert extended.versions >= RECORD.versions | seen.versions
    assert (extended == RECORD) == is_covered


def test_a_version_that_is_listed_again_is_recorded_before_it_is_used():
    record = RECORD.without_listed(frozenset({V1}))
    assert not record.covers(SEEN)
    assert extended_record(record, SEEN, known=None, is_first=False).covers(SEEN)


@pytest.mark.parametrize(
    ("found", "known", "is_first", "is_complete"),
    [
        # Nothing was ever recorded.
        (None, None, True, True),
        (None, None, False, False),
        # The store came back from a copy that lacks the record, or its last changes.
        (None, changed(RECORD, epoch=StoreEpoch(0)), False, True),
        (changed(RECORD, epoch=StoreEpoch(0)), None, True, False),
        (changed(RECORD, epoch=StoreEpoch(0)), RECORD, False, True),
        (changed(RECORD, is_complete=False), RECORD, True, False),
        # Streams may have begun at the service that the routes led to before.
        (changed(RECORD, routes_key="other", config_version=4), None, False, False),
    ],
)
def test_a_record_is_complete_only_if_no_stream_can_be_missing(
    found, known, is_first, is_complete
):
    record = extended_record(found, SEEN, known=known, is_first=is_first)
    assert record.is_complete == is_complete
    assert record.covers(SEEN)


def test_what_an_ended_history_held_is_kept():
    found = changed(RECORD, epoch=StoreEpoch(0), listed=frozenset({V3}), wait_s=240.0)
    known = RECORD.without_listed(frozenset({V1}))
    record = extended_record(
        found, changed(SEEN, versions=frozenset({V2})), known=known, is_first=False
    )
    assert record.listed == {V2, V3}
    assert record.gone == {V1}
    assert record.wait_s == 240.0


def test_an_entry_with_an_older_configuration_leaves_the_routes_as_they_are():
    seen = changed(SEEN, versions=frozenset({V2}), routes_key="old", config_version=4)
    record = extended_record(RECORD, seen, known=None, is_first=False)
    assert (record.routes_key, record.config_version) == ("routes", 5)
    assert record.is_complete


def test_what_is_gone_for_long_is_removed():
    record = RECORD.without_listed(frozenset({V1}))
    assert (record.listed, record.gone) == (frozenset(), {V1})
    assert record.without_gone(frozenset({V1})).versions == frozenset()


def test_waits_are_recorded_in_few_steps():
    assert recorded_wait_s(0.0) == recorded_wait_s(20.0) == MIN_SOLE_S
    assert recorded_wait_s(100.0) == 120.0
    assert recorded_wait_s(1e9) == MAX_ORIGIN_AGE_S
    steps = {recorded_wait_s(float(wait_s)) for wait_s in range(1_000)}
    assert len(steps) <= 6


def route(name, *service_ids, kind=RouteKind.STREAM, timeout_ms=1_000.0):
    services = tuple(WeightedService(service_id, 1.0) for service_id in service_ids)
    return Route(RouteId(name), "h", f"/{name}/", kind, services, timeout_ms, 0.0)


def config(*routes):
    return ForwardConfig(1, routes, {}, TrafficLimits())


def test_the_key_of_routes_changes_with_the_paths_and_services_of_streams():
    key = stream_routes_key(config(route("a", SERVICE)), SERVICE)
    same = config(
        route("a", SERVICE, timeout_ms=9.0),
        route("b", SERVICE, kind=RouteKind.SAFE),
        route("c", OTHER),
    )
    assert stream_routes_key(same, SERVICE) == key
    for routes in (
        [route("b", SERVICE)],
        [route("a", SERVICE), route("b", SERVICE)],
        [route("a", SERVICE, OTHER)],
        [],
    ):
        assert stream_routes_key(config(*routes), SERVICE) != key


def test_the_longest_timeout_is_that_of_a_stream():
    routes = [
        route("a", SERVICE, timeout_ms=9_000.0),
        route("b", SERVICE, kind=RouteKind.SAFE, timeout_ms=60_000.0),
    ]
    assert longest_timeout_s(config(*routes)) == 9.0
    assert longest_timeout_s(config()) == 0.0
