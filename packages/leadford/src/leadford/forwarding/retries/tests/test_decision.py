"""A request is retried only if that is safe, in time and within the budget."""

import msgspec
import pytest

from leadford.forwarding.retries import (
    AttemptEnd,
    FailedAttempt,
    RetryReason,
    WindowedRetryBudget,
    decide_retry,
)

FAILED = FailedAttempt(
    end=AttemptEnd.NOT_RUN,
    may_have_run=False,
    is_repeatable=True,
    can_remake_inputs=True,
    attempts=1,
    attempts_max=3,
    input_remakes=0,
    now=1.0,
    deadline=5.0,
)


def decide(*, others=True, slack=10.0, **changes):
    budget = WindowedRetryBudget(ratio=0.0, slack=slack, window_s=10.0)
    failed = msgspec.structs.replace(FAILED, **changes)
    decision = decide_retry(failed, has_other_endpoint=lambda: others, budget=budget)
    return decision, len(budget.retries_)


@pytest.mark.parametrize("end", [AttemptEnd.NOT_RUN, AttemptEnd.MAY_HAVE_RUN])
def test_a_repeatable_request_is_tried_again_and_spends_the_budget(end):
    decision, spent = decide(end=end, may_have_run=end is AttemptEnd.MAY_HAVE_RUN)
    assert decision.retry and decision.reason is RetryReason.ALLOWED
    assert spent == 1


def test_one_that_may_not_be_repeated_is_tried_again_only_if_nothing_ran():
    decision, _ = decide(is_repeatable=False)
    assert decision.retry
    decision, spent = decide(
        end=AttemptEnd.MAY_HAVE_RUN, may_have_run=True, is_repeatable=False
    )
    assert not decision.retry and decision.reason is RetryReason.NOT_REPEATABLE
    assert spent == 0


def test_an_earlier_attempt_that_may_have_run_counts():
    decision, _ = decide(may_have_run=True, is_repeatable=False)
    assert decision.reason is RetryReason.NOT_REPEATABLE


def test_gone_inputs_do_not_permit_another_run_after_one_that_may_have_run():
    """A request that may run once could be sent again with new inputs."""
    decision, spent = decide(
        end=AttemptEnd.INPUTS_GONE, may_have_run=True, is_repeatable=False
    )
    assert decision.reason is RetryReason.NOT_REPEATABLE
    assert spent == 0


def test_an_error_status_of_one_that_may_not_be_repeated_is_final():
    decision, _ = decide(end=AttemptEnd.ERROR_STATUS, is_repeatable=False)
    assert decision.reason is RetryReason.NOT_REPEATABLE
    decision, _ = decide(end=AttemptEnd.ERROR_STATUS)
    assert decision.retry


@pytest.mark.parametrize(
    "changes, reason",
    [
        ({"attempts": 3}, RetryReason.ATTEMPTS_USED),
        ({"now": 5.0}, RetryReason.OUT_OF_TIME),
        ({"others": False}, RetryReason.NO_OTHER_ENDPOINT),
        ({"slack": 0.0}, RetryReason.BUDGET_SPENT),
        ({"attempts": 3, "now": 5.0, "others": False}, RetryReason.ATTEMPTS_USED),
        ({"now": 5.0, "others": False, "slack": 0.0}, RetryReason.OUT_OF_TIME),
        ({"others": False, "slack": 0.0}, RetryReason.NO_OTHER_ENDPOINT),
    ],
)
def test_the_first_bound_that_is_reached_is_the_reason(changes, reason):
    decision, spent = decide(**changes)
    assert not decision.retry and decision.reason is reason
    assert spent == 0


def test_endpoints_are_looked_at_only_once_route_and_time_allow_an_attempt():
    def fail():
        raise AssertionError("asked too early")

    budget = WindowedRetryBudget(ratio=0.0, slack=10.0, window_s=10.0)
    for changes in ({"attempts": 3}, {"now": 5.0}):
        failed = msgspec.structs.replace(FAILED, **changes)
        assert not decide_retry(failed, has_other_endpoint=fail, budget=budget).retry


def test_inputs_that_are_gone_are_made_again_twice_and_cost_no_attempt():
    for remakes in (0, 1):
        decision, spent = decide(
            end=AttemptEnd.INPUTS_GONE, input_remakes=remakes, attempts=3, slack=0.0
        )
        assert decision.retry and decision.may_reuse_endpoint
        assert spent == 0
    decision, spent = decide(end=AttemptEnd.INPUTS_GONE, input_remakes=2)
    assert decision.reason is RetryReason.ALLOWED and not decision.may_reuse_endpoint
    assert spent == 1


def test_a_request_without_inputs_to_remake_is_tried_elsewhere():
    decision, _ = decide(end=AttemptEnd.INPUTS_GONE, can_remake_inputs=False)
    assert decision.reason is RetryReason.ALLOWED


def test_a_silent_attempt_is_given_up_only_for_one_that_is_allowed():
    silent = {"end": AttemptEnd.SILENT}
    decision, spent = decide(**silent)
    assert decision.retry and spent == 1
    decision, spent = decide(**silent, slack=0.0)
    assert decision.reason is RetryReason.BUDGET_SPENT
    decision, spent = decide(**silent, others=False)
    assert decision.reason is RetryReason.NO_OTHER_ENDPOINT and spent == 0
    decision, spent = decide(**silent, is_repeatable=False)
    assert decision.reason is RetryReason.NOT_REPEATABLE and spent == 0


def test_a_silent_attempt_is_not_given_up_when_another_one_would_be_late():
    decision, spent = decide(end=AttemptEnd.SILENT, now=4.5, needed_s=0.6)
    assert decision.reason is RetryReason.OUT_OF_TIME and spent == 0
    decision, _ = decide(end=AttemptEnd.SILENT, now=4.5, needed_s=0.4)
    assert decision.retry


def test_a_reserved_retry_is_spent_once():
    decision, spent = decide(end=AttemptEnd.SILENT, has_reserved_retry=True, slack=0.0)
    assert decision.retry and spent == 0
