"""Test the response to a caller that gets no endpoint's answer."""

import pytest

from leadford.forwarding.answers import (
    EndReason,
    FinalAnswer,
    RequestOutcome,
    final_answer,
    may_pass_on,
)
from leadford.forwarding.routes import StartDenial

NOT_RUN = frozenset({408, 421, 429, 503})
REFUSED = RequestOutcome.REFUSED
FAILED = RequestOutcome.FAILED
OWN_REASONS = [
    reason
    for reason in EndReason
    if reason not in (EndReason.ANSWERED, EndReason.CALLER_GONE, EndReason.FAULT)
]


@pytest.mark.parametrize(
    "reason, outcome, status",
    [
        (EndReason.MALFORMED, RequestOutcome.DENIED, 400),
        (EndReason.NO_KEY, RequestOutcome.DENIED, 401),
        (EndReason.NO_ROUTE, RequestOutcome.DENIED, 404),
        (EndReason.NO_CONFIG, REFUSED, 503),
        (EndReason.CONFIG_MAY_BE_OLD, REFUSED, 503),
        (EndReason.STOPPING, REFUSED, 503),
        (EndReason.NOT_ADMITTED, REFUSED, 503),
        (EndReason.STAGES_FAILED, REFUSED, 503),
        (EndReason.ATTEMPTS_FAILED, REFUSED, 503),
        (EndReason.HELD_BACK, REFUSED, 503),
        (EndReason.MEMORY, REFUSED, 503),
        (EndReason.MISLEADING_STATUS, FAILED, 502),
        (EndReason.OUT_OF_TIME, RequestOutcome.LATE, 504),
    ],
)
def test_what_did_not_run_is_answered_by_its_reason(reason, outcome, status):
    answer = final_answer(reason, may_have_run=False, has_begun=False)
    assert (answer.outcome, answer.status) == (outcome, status)


def test_every_reason_of_our_own_has_an_answer():
    for reason in OWN_REASONS:
        assert final_answer(reason, may_have_run=False, has_begun=False).status >= 400


@pytest.mark.parametrize(
    "reason", [EndReason.ATTEMPTS_FAILED, EndReason.HELD_BACK, EndReason.STAGES_FAILED]
)
def test_what_may_have_run_is_never_refused(reason):
    answer = final_answer(reason, may_have_run=True, has_begun=False)
    assert answer == FinalAnswer(FAILED, 502)


@pytest.mark.parametrize("reason", OWN_REASONS)
@pytest.mark.parametrize("may_have_run", [False, True])
def test_an_answer_that_has_begun_is_broken_off(reason, may_have_run):
    answer = final_answer(reason, may_have_run=may_have_run, has_begun=True)
    assert answer == FinalAnswer(RequestOutcome.BROKEN_OFF, 0)


def test_only_a_refusal_tells_when_to_come_back():
    for reason in OWN_REASONS:
        answer = final_answer(
            reason, may_have_run=False, has_begun=False, retry_after_s=0.7
        )
        expected = 0.7 if answer.outcome is REFUSED else None
        assert answer.retry_after_s == expected, reason


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_a_status_that_claims_nothing_ran_is_not_passed_on(status):
    assert not may_pass_on(status, NOT_RUN)


@pytest.mark.parametrize("status", [200, 404, 409, 500, 502, 504])
def test_other_statuses_are_passed_on(status):
    assert may_pass_on(status, NOT_RUN)


def test_every_denial_of_a_start_is_a_reason():
    for denial in StartDenial:
        assert EndReason(denial.value).value == denial.value
