"""Test that a request starts only if the configuration allows it and time remains."""

import msgspec
import pytest
from returns.result import Failure, Success

from leadford.forwarding.routes import (
    LookupFailure,
    LookupFault,
    ProcessStatus,
    Route,
    RouteId,
    RouteKind,
    RouteMatch,
    Service,
    ServiceId,
    StartDenial,
    WeightedService,
    decide_start,
)

ROUTE = Route(
    route_id=RouteId("r"),
    host="h",
    path_prefix="/",
    kind=RouteKind.SAFE,
    services=(WeightedService(ServiceId("s"), 1.0),),
    timeout_ms=4_000.0,
    aim_ms=1_600.0,
)
FOUND = RouteMatch(ROUTE, Service(ServiceId("s"), connections_max=1), None, 5, 7)
FRESH = ProcessStatus(config_age_s=1.0, stopping_s=None, grace_s=8.0)


def age(**changes):
    return msgspec.structs.replace(FRESH, **changes)


def missing(fault):
    return Failure(LookupFailure(fault, 7))


def test_what_a_configuration_allows_begins():
    assert decide_start(Success(FOUND), FRESH) == Success(FOUND)


def test_without_a_configuration_nothing_begins():
    assert decide_start(None, FRESH) == Failure(StartDenial.NO_CONFIG)


@pytest.mark.parametrize(
    "fault, denial",
    [
        (LookupFault.NO_ROUTE, StartDenial.NO_ROUTE),
        (LookupFault.NO_KEY, StartDenial.NO_KEY),
    ],
)
def test_a_missing_route_or_key_is_said_from_a_fresh_configuration_only(fault, denial):
    assert decide_start(missing(fault), age(config_age_s=5.9)) == Failure(denial)
    for config_age_s in (6.0, None):
        denied = decide_start(missing(fault), age(config_age_s=config_age_s))
        assert denied == Failure(StartDenial.CONFIG_MAY_BE_OLD)


def test_what_an_old_configuration_allows_begins():
    assert decide_start(Success(FOUND), age(config_age_s=None)) == Success(FOUND)


@pytest.mark.parametrize("found", [Success(FOUND), missing(LookupFault.NO_KEY)])
def test_nothing_is_decided_by_a_configuration_known_to_be_too_far_behind(found):
    soon = decide_start(found, age(stale_s=2.5, config_s=3.0))
    assert soon == decide_start(found, FRESH)
    late = decide_start(found, age(stale_s=2.6, config_s=3.0))
    assert late == Failure(StartDenial.CONFIG_MAY_BE_OLD)


@pytest.mark.parametrize("config_age_s", [6.6, 60.0, None])
def test_a_newer_configuration_counts_from_the_last_confirmation(config_age_s):
    """An entry that nobody told for long must not serve on once it hears of it."""
    heard_now = {"stale_s": 0.0, "config_s": 2.0, "outer_s": 5.0}
    denied = decide_start(Success(FOUND), age(config_age_s=config_age_s, **heard_now))
    assert denied == Failure(StartDenial.CONFIG_MAY_BE_OLD)
    begun = decide_start(Success(FOUND), age(config_age_s=6.4, **heard_now))
    assert begun == Success(FOUND)


@pytest.mark.parametrize("config_age_s", [6.6, 60.0, None])
def test_a_store_that_confirms_nothing_to_anybody_stops_no_request(config_age_s):
    """Requests must be served for as long as the store is unavailable to all."""
    old = age(config_age_s=config_age_s, stale_s=None, config_s=2.0, outer_s=5.0)
    assert decide_start(Success(FOUND), old) == Success(FOUND)


def test_a_stream_begins_only_in_the_first_part_of_a_planned_stop():
    route = msgspec.structs.replace(ROUTE, kind=RouteKind.STREAM)
    found = Success(msgspec.structs.replace(FOUND, route=route))
    assert decide_start(found, age(stopping_s=2.5)) == found
    denied = decide_start(found, age(stopping_s=2.6))
    assert denied == Failure(StartDenial.STOPPING)


def plain(timeout_ms):
    route = msgspec.structs.replace(ROUTE, timeout_ms=timeout_ms)
    return Success(msgspec.structs.replace(FOUND, route=route))


def test_a_plain_request_begins_until_shortly_before_the_grace_period_ends():
    found = plain(800.0)
    assert decide_start(found, age(stopping_s=5.9)) == found
    denied = decide_start(found, age(stopping_s=6.0))
    assert denied == Failure(StartDenial.STOPPING)


def test_a_plain_request_that_a_stop_may_cut_does_not_begin():
    # A request of 4 s that starts at 3.2 s ends 0.8 s before the grace period does.
    found = plain(4_000.0)
    assert decide_start(found, age(stopping_s=3.2)) == found
    denied = decide_start(found, age(stopping_s=3.3))
    assert denied == Failure(StartDenial.STOPPING)


def test_a_plain_request_needs_no_more_time_than_its_caller_gives_it():
    found = plain(4_000.0)
    assert decide_start(found, age(stopping_s=5.0), deadline_ms=600.0) == found
    denied = decide_start(found, age(stopping_s=5.0), deadline_ms=9_000.0)
    assert denied == Failure(StartDenial.STOPPING)


def test_early_in_a_stop_a_plain_request_begins_however_long_it_may_take():
    found = plain(30_000.0)
    assert decide_start(found, age(stopping_s=2.5)) == found
    denied = decide_start(found, age(stopping_s=2.6))
    assert denied == Failure(StartDenial.STOPPING)


TURNED_AWAY = {"config_age_s": 7.0, "refused_s": 6.6, "alone_s": 1.6}


def test_an_entry_alone_that_the_store_refuses_for_long_decides_nothing():
    denied = decide_start(Success(FOUND), age(**TURNED_AWAY))
    assert denied == Failure(StartDenial.CONFIG_MAY_BE_OLD)


@pytest.mark.parametrize(
    "difference",
    [
        {"config_age_s": 6.4},
        {"refused_s": 6.4},
        {"refused_s": None},
        {"alone_s": 1.4},
        {"alone_s": None},
    ],
)
def test_an_entry_whose_store_may_be_down_for_all_serves_on(difference):
    status = age(**{**TURNED_AWAY, **difference})
    assert decide_start(Success(FOUND), status) == Success(FOUND)
