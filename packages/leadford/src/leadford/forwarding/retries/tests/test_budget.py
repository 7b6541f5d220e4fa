"""Retries of all entries together stay within the fleet's budget in each window."""

from hypothesis import given, strategies as st

from leadford.forwarding.retries import RetryBudgets, WindowedRetryBudget


def test_slack_is_shared_and_ratio_is_earned():
    budget = WindowedRetryBudget(ratio=0.2, slack=40.0, window_s=10.0)
    budget.entry_count_ = 4
    spent = sum(budget.try_spend(0.0) for _ in range(50))
    assert spent == 8
    for _ in range(100):
        budget.record_request(1.0)
    assert sum(budget.try_spend(1.0) for _ in range(50)) == 17


def test_old_repeats_leave_the_window():
    budget = WindowedRetryBudget(ratio=0.0, slack=10.0, window_s=10.0)
    assert sum(budget.try_spend(0.0) for _ in range(20)) == 8
    assert not budget.allows(9.9)
    assert budget.allows(10.1)


def test_requests_before_the_window_are_forgotten_though_nothing_is_retried():
    """The memory of an entry grew for as long as a service had no failure."""
    budget = WindowedRetryBudget(ratio=0.2, slack=40.0, window_s=10.0)
    for number in range(10_000):
        budget.record_request(number * 0.1)
    assert len(budget.requests_) <= 102


@given(
    events=st.lists(
        st.tuples(st.integers(0, 3), st.booleans(), st.floats(0.0, 0.3)), max_size=300
    )
)
def test_no_window_holds_more_than_the_fleet_may_repeat(events):
    ratio, slack, window_s = 0.2, 20.0, 10.0
    budgets = [
        WindowedRetryBudget(ratio=ratio, slack=slack, window_s=window_s)
        for _ in range(4)
    ]
    for budget in budgets:
        budget.entry_count_ = 4
    now = 0.0
    requests, retries = [], []
    for entry, is_retry, gap_s in events:
        now += gap_s
        if not is_retry:
            budgets[entry].record_request(now)
            requests.append(now)
        elif budgets[entry].try_spend(now):
            retries.append(now)
        recent_retries = [at for at in retries if at >= now - window_s]
        recent_requests = [at for at in requests if at >= now - window_s]
        assert len(recent_retries) <= ratio * len(recent_requests) + slack


def test_each_service_has_a_budget_and_all_are_shared_by_the_entries():
    budgets = RetryBudgets(
        make=lambda: WindowedRetryBudget(ratio=0.0, slack=40.0, window_s=10.0)
    )
    first = budgets.budget("a")
    assert budgets.budget("a") is first
    assert budgets.budget("b") is not first
    budgets.set_entry_count(4)
    assert sum(first.try_spend(0.0) for _ in range(50)) == 8
    assert sum(budgets.budget("c").try_spend(0.0) for _ in range(50)) == 8
