"""Refused callers book a useful return time, and are admitted as they return."""

from random import Random

import msgspec
import pytest

from leadford.forwarding.admission import (
    ForwardAdmission,
    RetryReservations,
    StageCapacity,
    Verdict,
    admit_booked,
    booking_query,
)
from leadford.forwarding.admission.tests.conftest import (
    piece_limits,
    request_for,
    staged_route,
)
from leadford.forwarding.batching import AdmittedBacklog, BacklogKey
from leadford.forwarding.routes import PRIORITY_LOWEST, ServiceId, StageSpec

SERVICE = ServiceId("stage")
# Ten pieces in 0.1 s.
LIMITS = piece_limits(call_ms=50.0, piece_ms=5.0)
ROUTE = staged_route(StageSpec(SERVICE, (), 1_000), priority=1)
KEY = BacklogKey(SERVICE, 1)


def new_admission(pieces):
    """Return an admission with a backlog of pieces at the stage."""
    backlog = AdmittedBacklog()
    backlog.add(KEY, pieces)
    return ForwardAdmission(
        backlog=backlog, reservations=RetryReservations(), random=Random(1)
    )


def admission_request(endpoints=1, **fields):
    capacity = {SERVICE: StageCapacity(LIMITS, endpoints)}
    return request_for(ROUTE, (4,), capacity, **fields)


def test_a_booked_request_is_admitted_whatever_waits_and_any_other_is_not():
    asked = admission_request()
    assert new_admission(900).decide(asked).verdict is Verdict.REFUSE
    booked = msgspec.structs.replace(asked, is_booked=True)
    decision = new_admission(900).decide(booked)
    assert decision.verdict is Verdict.ADMIT
    assert not decision.is_late


@pytest.mark.parametrize("fields", [{"timeout_s": 0.15}, {"endpoints": 0}])
def test_a_booked_request_that_cannot_be_answered_is_refused(fields):
    asked = admission_request(is_booked=True, **fields)
    assert new_admission(900).decide(asked).verdict is Verdict.REFUSE


@pytest.mark.parametrize(
    ("fields", "verdict"),
    [
        ({}, Verdict.ADMIT),
        ({"timeout_s": 0.15}, Verdict.REFUSE),
        ({"endpoints": 0}, Verdict.REFUSE),
    ],
)
def test_a_booking_found_after_the_decision_admits_what_can_be_answered(
    fields, verdict
):
    asked = admission_request(**fields)
    decision = new_admission(900).decide(asked)
    assert decision.verdict is Verdict.REFUSE
    late = msgspec.structs.replace(decision, is_late=True, since_first_try_s=3.0)
    admitted = admit_booked(asked, late)
    assert admitted.verdict is verdict
    if verdict is Verdict.ADMIT:
        assert (admitted.is_late, admitted.since_first_try_s) == (True, 3.0)


def test_a_return_is_known_by_its_refusal_or_its_shorter_timeout():
    admission = new_admission(900)
    assert not admission.is_return(admission_request(fingerprint="f"))
    admission.decide(admission_request(fingerprint="f"))
    assert admission.is_return(admission_request(fingerprint="f"))
    for number in range(20):
        admission.decide(
            admission_request(fingerprint=f"first-{number}", caller_timeout_s=8.0)
        )
    counts = dict(admission.common_timeouts_.counts_by_route_[ROUTE.route_id])
    shorter = admission_request(fingerprint="elsewhere", caller_timeout_s=6.5)
    assert admission.is_return(shorter)
    assert not admission.is_return(
        admission_request(fingerprint="new", caller_timeout_s=8.0)
    )
    assert admission.common_timeouts_.counts_by_route_[ROUTE.route_id] == counts


@pytest.mark.parametrize(
    ("timeout_s", "tried_s", "latest_s", "level"),
    [
        # Within the target: 2 s less 0.17 s for the answer.
        (9.0, 0.0, 1.83, 1),
        (9.0, 1.0, 0.83, 1),
        # Within a third of the rest.
        (3.0, 0.0, 1.0, 1),
        # Early enough for an answer by the deadline.
        (0.46, 0.0, 0.46 / 3, None),
        # The target cannot be met: less may be booked.
        (9.0, 1.7, 3.0, PRIORITY_LOWEST),
        (9.0, 5.0, 3.0, PRIORITY_LOWEST),
    ],
)
def test_a_return_is_useful_after_the_forecast_and_within_target_and_deadline(
    timeout_s, tried_s, latest_s, level
):
    asked = admission_request(timeout_s=timeout_s)
    decision = msgspec.structs.replace(
        new_admission(150).decide(asked), since_first_try_s=tried_s
    )
    found = booking_query(asked, decision)
    if level is None:
        assert found is None
        return
    assert found.earliest_s == min(decision.retry_after_s, found.latest_s)
    assert found.latest_s == pytest.approx(latest_s)
    assert (found.pieces, found.level) == (4, level)


def test_a_late_return_with_a_booking_goes_before_no_request_that_is_in_time():
    """Guard against bookings that invert the order of priorities.

    Pieces are ordered by when they are due. A request that returned after seconds was
    due before any urgent one that had just come; as a late one it waits behind them.
    """
    for timeout_s, is_in_time in ((7.0, True), (4.0, False)):
        admission = new_admission(900)
        for number in range(20):
            admission.decide(
                admission_request(
                    fingerprint=f"f-{number}", timeout_s=8.0, caller_timeout_s=8.0
                )
            )
        booked = admission_request(
            fingerprint="f-3",
            timeout_s=timeout_s,
            caller_timeout_s=timeout_s,
            now=8.0 - timeout_s,
            is_booked=True,
        )
        decision = admission.decide(booked)
        assert decision.verdict is Verdict.ADMIT
        assert decision.is_late != is_in_time
        assert decision.since_first_try_s > 0.0


@pytest.mark.parametrize("timeout_s", [0.2, 0.4])
def test_nothing_is_booked_for_a_request_that_has_no_time_for_a_return(timeout_s):
    asked = admission_request(timeout_s=timeout_s)
    decision = new_admission(900).decide(asked)
    assert decision.verdict is Verdict.REFUSE
    assert booking_query(asked, decision) is None


def test_the_time_of_a_booking_replaces_that_of_the_refusal_at_other_entries():
    admission = new_admission(900)
    admission.decide(admission_request(now=1.0))
    for _ in range(2):
        admission.reservations.record_return_time("f", 3.5)
        (told,) = admission.reservations.take_unsent()
        assert (told.return_at, told.known_at) == (3.5, 1.0)
    admission.reservations.record_return_time("unknown", 3.5)
    assert admission.reservations.take_unsent() == []
