"""Test that requests with stages are admitted while they can be answered in time."""

from random import Random

import msgspec
import pytest

from leadford.forwarding.admission import (
    ForwardAdmission,
    RetryReservation,
    RetryReservations,
    StageCapacity,
    Verdict,
)
from leadford.forwarding.admission.tests.conftest import (
    piece_limits,
    request_for,
    staged_route,
)
from leadford.forwarding.batching import AdmittedBacklog, BacklogKey
from leadford.forwarding.routes import (
    ServiceId,
    StageSpec,
)

SERVICE = ServiceId("stage")
LIMITS = piece_limits()
ROUTE = staged_route(StageSpec(SERVICE, (), 1_000))


class Fixture:
    def __init__(self):
        self.backlog = AdmittedBacklog()
        self.reservations = RetryReservations()
        self.admission = ForwardAdmission(
            backlog=self.backlog, reservations=self.reservations, random=Random(1)
        )

    def decide(
        self,
        *,
        endpoints=1,
        fingerprint="f",
        now=0.0,
        elapsed_s=0.0,
        priority=0,
        route=ROUTE,
        caller_timeout_s=None,
        endpoint_wait_s=0.0,
    ):
        return self.admission.decide(
            request_for(
                route,
                (4,),
                {SERVICE: StageCapacity(LIMITS, endpoints)},
                priority=priority,
                fingerprint=fingerprint,
                elapsed_s=elapsed_s,
                timeout_s=8.0,
                now=now,
                caller_timeout_s=caller_timeout_s,
                endpoint_wait_s=endpoint_wait_s,
            )
        )

    def admit_pieces(self, pieces, level=0):
        self.backlog.add(BacklogKey(SERVICE, level), pieces)


def test_an_idle_fleet_lets_in():
    decision = Fixture().decide()
    assert decision.verdict is Verdict.ADMIT
    assert decision.expected_s == pytest.approx(0.34)


def test_a_decision_tells_the_longest_delay_apart_from_the_path():
    fixture = Fixture()
    fixture.admit_pieces(40)
    decision = fixture.decide()
    assert decision.verdict is Verdict.ADMIT
    assert decision.delay.service_id == SERVICE
    idle_s = Fixture().decide().expected_s
    assert decision.delay.delay_s == pytest.approx(40 * 0.03 - 0.06)
    assert decision.expected_s == pytest.approx(idle_s + 40 * 0.03)


def test_a_long_path_is_not_refused_for_its_own_length():
    fixture = Fixture()
    # The critical path takes most of the target; a small backlog fits into the rest.
    fixture.admit_pieces(10)
    decision = fixture.decide(elapsed_s=1.0)
    assert 0.7 * 2.0 < decision.expected_s < 2.0
    assert decision.verdict is Verdict.ADMIT


def test_urgent_requests_are_let_in_further():
    verdicts = []
    for priority in (0, 5):
        fixture = Fixture()
        fixture.admit_pieces(45)
        verdicts.append(fixture.decide(priority=priority).verdict)
    assert verdicts == [Verdict.ADMIT, Verdict.REFUSE]


def test_work_of_less_urgent_requests_hardly_counts():
    verdicts = []
    for priority in (0, 1, 2):
        fixture = Fixture()
        fixture.admit_pieces(100, level=1)
        route = msgspec.structs.replace(ROUTE, priority=priority)
        verdicts.append(fixture.decide(route=route).verdict)
    assert verdicts == [Verdict.ADMIT, Verdict.REFUSE, Verdict.REFUSE]


def test_a_backlog_refuses_with_a_time_that_grows_with_it():
    fixture = Fixture()
    fixture.admit_pieces(100)
    first = fixture.decide(fingerprint="a")
    assert first.verdict is Verdict.REFUSE
    assert 0.25 <= first.retry_after_s <= 8.0 / 3.0
    fixture.admit_pieces(40)
    assert fixture.decide(fingerprint="b").expected_s > first.expected_s


def test_who_was_told_to_come_back_is_let_in():
    fixture = Fixture()
    fixture.admit_pieces(52)
    assert fixture.decide().verdict is Verdict.REFUSE
    assert fixture.decide(now=2.0).verdict is Verdict.ADMIT
    assert fixture.decide(fingerprint="other", now=2.0).verdict is Verdict.REFUSE


def test_hopeless_requests_are_refused_even_when_they_return():
    fixture = Fixture()
    fixture.admit_pieces(1_000)
    assert fixture.decide().verdict is Verdict.REFUSE
    assert fixture.decide(now=2.0).verdict is Verdict.REFUSE
    assert Fixture().decide(endpoints=0).verdict is Verdict.REFUSE


def test_work_that_is_yet_to_return_holds_no_newcomer_back():
    """Guard against refusing every request once, and answering it late, after a burst.

    Refused requests counted as ahead of first tries, so these were refused as well,
    were retried and counted as ahead of the next ones, long after the burst was over.
    """
    fixture = Fixture()
    reservation = RetryReservation("p", 1.0, True, {SERVICE: 200}, 0.0)
    fixture.reservations.record(reservation, is_own=False)
    assert fixture.decide().verdict is Verdict.ADMIT


def test_other_entries_are_told_once_who_was_refused():
    fixture = Fixture()
    fixture.admit_pieces(1_000)
    assert fixture.decide().verdict is Verdict.REFUSE
    assert [item.fingerprint for item in fixture.reservations.take_unsent()] == ["f"]
    assert fixture.reservations.take_unsent() == []


def test_a_return_is_late_by_the_time_since_its_first_try():
    fixture = Fixture()
    fixture.admit_pieces(52)
    assert fixture.decide(caller_timeout_s=8.0).verdict is Verdict.REFUSE
    fixture.admit_pieces(-52)
    soon = fixture.decide(now=0.3, caller_timeout_s=7.7)
    assert (soon.verdict, soon.is_late) == (Verdict.ADMIT, False)
    assert soon.since_first_try_s == pytest.approx(0.3)
    later = fixture.decide(now=1.8, caller_timeout_s=6.2)
    assert (later.verdict, later.is_late) == (Verdict.ADMIT, True)
    # A first try with a shorter timeout than others is no retry.
    first_try = fixture.decide(fingerprint="new", now=1.8, caller_timeout_s=6.2)
    assert (first_try.since_first_try_s, first_try.is_late) == (0.0, False)


def test_a_caller_that_waits_longer_than_others_makes_no_return_late():
    fixture = Fixture()
    assert (
        fixture.decide(fingerprint="patient", caller_timeout_s=60.0).since_first_try_s
        == 0.0
    )
    fixture.admit_pieces(52)
    assert fixture.decide(caller_timeout_s=8.0).verdict is Verdict.REFUSE
    fixture.admit_pieces(-52)
    soon = fixture.decide(now=0.3, caller_timeout_s=7.7)
    assert (soon.verdict, soon.is_late) == (Verdict.ADMIT, False)
    assert soon.since_first_try_s == pytest.approx(0.3 + 0.5)


def test_a_request_that_was_refused_twice_is_known_from_the_first_time():
    fixture = Fixture()
    fixture.admit_pieces(1_000)
    for now, caller_timeout_s in ((0.0, 8.0), (2.0, 6.0)):
        assert (
            fixture.decide(now=now, caller_timeout_s=caller_timeout_s).verdict
            is Verdict.REFUSE
        )
    fixture.admit_pieces(-1_000)
    assert fixture.decide(
        now=3.0, caller_timeout_s=5.0
    ).since_first_try_s == pytest.approx(3.0)


def test_a_late_return_is_let_in_only_while_the_queues_are_short():
    verdicts = []
    for pieces in (5, 40):
        fixture = Fixture()
        fixture.admit_pieces(52)
        assert fixture.decide(caller_timeout_s=8.0).verdict is Verdict.REFUSE
        fixture.admit_pieces(pieces - 52)
        verdicts.append(fixture.decide(now=1.9, caller_timeout_s=6.1).verdict)
    assert verdicts == [Verdict.ADMIT, Verdict.REFUSE]


def test_who_cannot_be_in_time_is_told_to_come_back_as_late_as_it_may():
    fixture = Fixture()
    fixture.admit_pieces(1_000)
    assert fixture.decide().retry_after_s == pytest.approx(8.0 / 3.0)


def test_room_binds_as_well_as_time():
    capacity = StageCapacity(LIMITS, 2)
    by_time = capacity.backlog_s(100, 0, 1.0)
    by_room = capacity.backlog_s(100, 100_000, 1.0)
    assert by_time == pytest.approx(1.5)
    assert by_room == pytest.approx(5.0)


def test_the_forecast_error_is_learned_and_bounded():
    fixture = Fixture()
    for _ in range(50):
        fixture.admission.record_response_time(ROUTE, 0.5, 60.0, 0.0)
    assert fixture.decide().expected_s <= 0.34 + 0.6 * 2.0 + 0.01


def test_answers_that_are_late_together_do_not_raise_the_error_above_their_delay():
    # Each answer was measured against an error that grew after its forecast was made.
    fixture = Fixture()
    decisions = [fixture.decide(fingerprint=f"f{number}") for number in range(30)]
    for decision in decisions:
        uncorrected_s = decision.expected_s - decision.error_s
        fixture.admission.record_response_time(
            ROUTE, uncorrected_s, decision.expected_s + 0.2, 0.0
        )
    assert fixture.decide(fingerprint="next").error_s <= 0.2


def test_a_forecast_error_that_refuses_all_requests_fades():
    # Nothing is admitted meanwhile, so nothing would show that answers are fast again.
    fixture = Fixture()
    route = msgspec.structs.replace(ROUTE, priority=2)
    for _ in range(50):
        fixture.admission.record_response_time(route, 0.5, 60.0, 0.0)
    assert fixture.decide(route=route, now=0.5).verdict is Verdict.REFUSE
    assert (
        fixture.decide(route=route, fingerprint="g", now=4.0).verdict is Verdict.ADMIT
    )


@pytest.mark.parametrize(
    ("pieces", "verdict"), [(0, Verdict.ADMIT), (20, Verdict.REFUSE)]
)
def test_late_answers_refuse_nothing_while_nothing_waits(pieces, verdict):
    # Entries that were late for a second refused all for two more beside idle stages.
    fixture = Fixture()
    route = msgspec.structs.replace(ROUTE, priority=2)
    for _ in range(30):
        fixture.admission.record_response_time(route, 0.34, 1.5, 0.0)
    fixture.admit_pieces(pieces)
    assert fixture.decide(route=route, now=0.5).verdict is verdict


def test_requests_that_wait_in_vain_are_refused_though_no_piece_waits():
    # Their callers left, so no answer raised the error of forecasts any further.
    fixture = Fixture()
    route = msgspec.structs.replace(ROUTE, priority=2)
    for _ in range(30):
        fixture.admission.record_response_time(route, 0.34, 1.5, 0.0)
    for _ in range(30):
        fixture.admission.record_own_delay(route, 0.34, 4.0, 0.0)
    assert fixture.decide(route=route, now=0.5).verdict is Verdict.REFUSE


def test_a_service_that_takes_nothing_for_long_is_waited_for_by_callers():
    fixture = Fixture()
    assert fixture.decide(endpoint_wait_s=0.05).verdict is Verdict.ADMIT
    held = fixture.decide(fingerprint="g", endpoint_wait_s=6.0)
    assert held.verdict is Verdict.REFUSE
    assert held.retry_after_s > 0.5
