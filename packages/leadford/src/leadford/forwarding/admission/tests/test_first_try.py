"""Test that the time since a first try follows from the caller's remaining time."""

from leadford.forwarding.admission._first_try import FirstTryTimes
from leadford.forwarding.routes import RouteId

ROUTE = RouteId("r")


def test_the_first_try_is_the_longest_wait_that_was_announced():
    times = FirstTryTimes()
    for allowed_s in (5.99, 6.0, 5.4):
        times.record(ROUTE, allowed_s)
    assert round(times.since_first_try_s(ROUTE, 5.4), 3) == 0.6
    assert times.since_first_try_s(ROUTE, 6.0) == 0.0


def test_routes_are_told_apart_and_an_unknown_one_says_nothing():
    times = FirstTryTimes()
    times.record(ROUTE, 20.0)
    assert times.since_first_try_s(RouteId("other"), 1.0) == 0.0


def test_the_oldest_routes_are_forgotten():
    times = FirstTryTimes()
    for number in range(2_001):
        times.record(RouteId(f"r{number}"), 6.0)
    assert times.since_first_try_s(RouteId("r0"), 5.0) == 0.0
    assert times.since_first_try_s(RouteId("r2000"), 5.0) == 1.0
