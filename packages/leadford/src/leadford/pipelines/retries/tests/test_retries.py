"""Retries happen only when safe, within the budget, with backoff and in time."""

from random import Random

import pytest
from hypothesis import given, strategies as st

from leadford.common import RefusalReason
from leadford.pipelines.retries import (
    AttemptFailure,
    Backoff,
    FailureKind,
    HedgePolicy,
    RescuePolicy,
    RetryBudget,
    RetryPolicy,
)


def make_policy(**terms):
    return RetryPolicy(
        budget=RetryBudget(**terms), backoff=Backoff(random=Random(1), base_ms=10.0)
    )


def decide(policy, kind, **changes):
    failure = AttemptFailure(kind, RefusalReason.ENDPOINT_ERROR, "e")
    terms = {
        "repeatable": True,
        "attempt": 1,
        "others": 2,
        "remaining_ms": 500.0,
        "needed_ms": 20.0,
    }
    return policy.decide(failure, **{**terms, **changes})


@pytest.mark.parametrize("kind", list(FailureKind))
def test_a_repeatable_attempt_is_retried(kind):
    assert decide(make_policy(), kind).retry


@pytest.mark.parametrize(
    ("kind", "retried"),
    [
        (FailureKind.NOT_SENT, True),
        (FailureKind.REFUSED, True),
        (FailureKind.FAILED, False),
        (FailureKind.LOST, False),
    ],
)
def test_what_may_have_begun_is_not_repeated(kind, retried):
    assert decide(make_policy(), kind, repeatable=False).retry is retried


@pytest.mark.parametrize(
    ("changes", "reason"),
    [
        ({"others": 0}, RefusalReason.ENDPOINT_ERROR),
        ({"attempt": 4}, RefusalReason.ENDPOINT_ERROR),
        ({"remaining_ms": 10.0}, RefusalReason.DEADLINE),
    ],
)
def test_hopeless_retries_are_not_made(changes, reason):
    decision = decide(make_policy(), FailureKind.FAILED, **changes)
    assert not decision.retry
    assert decision.reason is reason


@given(st.integers(0, 400), st.floats(0.0, 1.0), st.floats(0.0, 20.0))
def test_retries_never_exceed_the_budget(fresh, ratio, burst):
    budget = RetryBudget(ratio=ratio, burst=burst)
    spent = 0
    for _ in range(fresh):
        budget.record_fresh()
        spent += budget.try_spend()
        spent += budget.try_spend()
    assert spent <= fresh * ratio + burst + 1e-6


def test_an_empty_budget_says_so():
    policy = make_policy(ratio=0.0, burst=0.0)
    decision = decide(policy, FailureKind.FAILED)
    assert decision.reason is RefusalReason.RETRY_BUDGET
    assert decide(policy, FailureKind.REFUSED).retry
    second = decide(policy, FailureKind.REFUSED, attempt=2)
    assert second.reason is RefusalReason.RETRY_BUDGET


@given(st.integers(1, 5000), st.randoms(use_true_random=False))
def test_backoff_stays_within_its_cap(attempt, random):
    wait_ms = Backoff(random=random, base_ms=5.0, cap_ms=100.0).wait_ms(attempt)
    assert 0.0 <= wait_ms <= 100.0


def test_a_hedge_waits_for_the_slowest_few():
    policy = HedgePolicy()
    assert policy.delay_ms() is None
    for number in range(300):
        policy.record(10.0 + number % 100)
    assert 150.0 < policy.delay_ms() < 170.0


@pytest.mark.parametrize(
    ("changes", "moves"),
    [
        ({}, True),
        ({"generating_ms": 60.0}, False),
        ({"elsewhere_ms": 900.0}, False),
        ({"remaining_ms": 9000.0}, False),
        ({"received": 1, "remaining_ms": 1500.0}, False),
        ({"received": 1, "remaining_ms": 800.0}, True),
    ],
)
def test_a_generation_moves_when_late_here_and_in_time_there(changes, moves):
    terms = {
        "received": 4,
        "expected": 48,
        "generating_ms": 600.0,
        "remaining_ms": 1000.0,
        "elsewhere_ms": 500.0,
    }
    assert RescuePolicy().moves(**{**terms, **changes}) is moves


def test_a_move_is_paid_for_before_it_is_made():
    policy = make_policy(ratio=0.0, burst=0.0)
    assert decide(policy, FailureKind.MOVED).retry
    assert not decide(policy, FailureKind.MOVED, repeatable=False).retry
