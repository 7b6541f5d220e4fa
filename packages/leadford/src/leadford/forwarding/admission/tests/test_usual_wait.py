"""Test that a caller retry is recognized by the timeout that its caller states."""

from random import Random

import pytest

from leadford.forwarding.admission import (
    ForwardAdmission,
    RetryReservations,
    StageCapacity,
)
from leadford.forwarding.admission._usual_wait import CommonTimeouts
from leadford.forwarding.admission.tests.conftest import (
    piece_limits,
    request_for,
    staged_route,
)
from leadford.forwarding.batching import AdmittedBacklog
from leadford.forwarding.routes import (
    RouteId,
    ServiceId,
    StageSpec,
)

ROUTE_ID = RouteId("r")
SERVICE = ServiceId("stage")


def recorded_timeouts(first_tries, returns=()):
    timeouts = CommonTimeouts()
    for allowed_s in [*first_tries, *returns]:
        timeouts.record(ROUTE_ID, allowed_s)
    return timeouts


def test_a_caller_that_waits_less_than_most_came_before():
    timeouts = recorded_timeouts([6.0] * 10)
    assert timeouts.since_first_try_s(ROUTE_ID, 4.5) == pytest.approx(1.5)
    assert timeouts.since_first_try_s(ROUTE_ID, 6.0) is None


def test_a_patient_caller_is_no_return_and_makes_nobody_one():
    timeouts = recorded_timeouts([6.0] * 10 + [9.0])
    assert timeouts.since_first_try_s(ROUTE_ID, 9.0) is None
    assert timeouts.since_first_try_s(ROUTE_ID, 6.0) is None


def test_many_returns_do_not_hide_what_first_tries_say():
    random = Random(1)
    timeouts = recorded_timeouts(
        [6.0] * 60, [random.uniform(3.0, 5.8) for _ in range(120)]
    )
    assert timeouts.since_first_try_s(ROUTE_ID, 5.0) == pytest.approx(1.0)


def test_where_callers_wait_differently_nothing_is_known():
    random = Random(1)
    timeouts = recorded_timeouts([random.uniform(2.0, 9.0) for _ in range(200)])
    assert timeouts.since_first_try_s(ROUTE_ID, 2.5) is None
    assert recorded_timeouts([6.0] * 5).since_first_try_s(ROUTE_ID, 4.0) is None


def test_a_changed_wait_is_learned():
    timeouts = recorded_timeouts([6.0] * 300, [4.0] * 900)
    assert timeouts.since_first_try_s(ROUTE_ID, 4.0) is None
    assert timeouts.since_first_try_s(ROUTE_ID, 3.0) == pytest.approx(1.0)


def test_a_return_that_another_entry_refused_is_known_here():
    route = staged_route(
        StageSpec(SERVICE, (), 1_000), route_id=ROUTE_ID, timeout_ms=6_000.0
    )
    admission = ForwardAdmission(
        backlog=AdmittedBacklog(), reservations=RetryReservations(), random=Random(1)
    )

    def decide(caller_timeout_s):
        return admission.decide(
            request_for(
                route,
                (4,),
                {SERVICE: StageCapacity(piece_limits(), 1)},
                fingerprint=f"f{caller_timeout_s}",
                timeout_s=caller_timeout_s,
                caller_timeout_s=caller_timeout_s,
            )
        )

    for _ in range(10):
        assert not decide(6.0).is_caller_retry
    retry = decide(5.0)
    assert (retry.is_caller_retry, retry.is_late) == (True, False)
    assert retry.since_first_try_s == pytest.approx(1.0)
    assert decide(3.5).is_late
