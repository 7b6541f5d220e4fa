"""Tests for every queue policy, and for the fairness of those that share."""

from collections import Counter

import pytest
from hypothesis import given, strategies as st

from leadford.pipelines.queues import QueuedAttempt, WorkspaceTerms, queue_policies

FAIR = ("weighted_fair", "guaranteed_minimum")


def make_queue(name, terms=None):
    terms = terms or {}
    return queue_policies.get(name).from_config(
        terms=lambda workspace: terms.get(workspace, WorkspaceTerms())
    )


def attempt(key, workspace="w", priority=4, deadline_at=10.0, cost_ms=10.0):
    return QueuedAttempt(key, workspace, priority, deadline_at, cost_ms, 0.0)


@pytest.mark.parametrize("name", list(queue_policies))
@given(
    steps=st.lists(
        st.tuples(
            st.sampled_from(["push", "pop", "remove"]),
            st.integers(0, 12),
            st.integers(0, 3),
            st.integers(0, 2),
        ),
        max_size=80,
    )
)
def test_every_policy_hands_out_each_attempt_once(name, steps):
    queue = make_queue(name)
    held = set()
    for index, (step, number, workspace, priority) in enumerate(steps):
        key = f"k{number}"
        if step == "push" and key not in held:
            queue.push(attempt(key, f"w{workspace}", priority, float(number)))
            held.add(key)
        elif step == "pop":
            item = queue.pop(index * 0.01)
            assert (item is None) == (not held)
            if item is not None:
                held.remove(item.key)
        elif step == "remove":
            item = queue.remove(key)
            assert (item is not None) == (key in held)
            held.discard(key)
        assert len(queue) == len(held)
        assert {item.key for item in queue} == held
    while (item := queue.pop(100.0)) is not None:
        held.remove(item.key)
    assert not held
    assert queue.ahead_ms(9, "w") == 0


@pytest.mark.parametrize("name", list(queue_policies))
def test_an_attempt_is_queued_once(name):
    queue = make_queue(name)
    queue.push(attempt("k"))
    with pytest.raises(ValueError, match="queued already"):
        queue.push(attempt("k"))


@pytest.mark.parametrize("name", ["earliest_deadline", *FAIR])
def test_priority_goes_first_and_deadline_within_it(name):
    queue = make_queue(name)
    queue.push(attempt("late", priority=1, deadline_at=9.0))
    queue.push(attempt("soon", priority=1, deadline_at=2.0))
    queue.push(attempt("first", priority=0, deadline_at=20.0))
    order = [queue.pop(0.0).key for _ in range(3)]
    assert order == ["first", "soon", "late"]


@pytest.mark.parametrize("name", FAIR)
def test_the_lowest_class_is_not_starved(name):
    queue = make_queue(name)
    queue.push(attempt("low", priority=9))
    served = []
    for index in range(60):
        queue.push(attempt(f"high{index}", priority=0))
        served.append(queue.pop(index * 0.01).key)
    assert "low" in served


@pytest.mark.parametrize("name", FAIR)
def test_a_greedy_workspace_takes_only_its_share(name):
    terms = {w: WorkspaceTerms(1.0, 0.24) for w in "abcd"}
    queue = make_queue(name, terms)
    for index in range(400):
        queue.push(attempt(f"a{index}", "a", deadline_at=float(index)))
    for workspace in "bcd":
        for index in range(40):
            queue.push(attempt(f"{workspace}{index}", workspace))
    served = Counter(queue.pop(index * 0.01).workspace for index in range(120))
    assert all(served[workspace] >= 27 for workspace in "bcd")


@given(st.lists(st.integers(1, 8), min_size=2, max_size=5))
def test_backlogged_workspaces_are_served_by_weight(weights):
    terms = {f"w{i}": WorkspaceTerms(float(w)) for i, w in enumerate(weights)}
    queue = make_queue("weighted_fair", terms)
    rounds = 20 * sum(weights)
    for workspace in terms:
        for index in range(rounds):
            queue.push(attempt(f"{workspace}/{index}", workspace))
    served = Counter(queue.pop(0.0).workspace for _ in range(rounds))
    for index, weight in enumerate(weights):
        assert abs(served[f"w{index}"] - 20 * weight) <= 2


def test_state_follows_the_active_workspaces():
    queue = make_queue("weighted_fair")
    for index in range(20_000):
        queue.push(attempt(f"k{index}", f"w{index}"))
        queue.pop(0.0)
    fair = queue.classes_by_priority_[4]
    assert not fair.flow_table_.flows_by_workspace_
    assert len(fair.finish_tags_) <= 1025


@pytest.mark.parametrize("name", FAIR)
def test_a_newcomer_waits_for_its_turn_not_for_anothers_backlog(name):
    queue = make_queue(name, {w: WorkspaceTerms(1.0, 0.4) for w in "ab"})
    for index in range(100):
        queue.push(attempt(f"a{index}", "a"))
    assert queue.ahead_ms(4, "a") == pytest.approx(1000.0)
    assert queue.ahead_ms(4, "b") == pytest.approx(5.0)
    queue.push(attempt("b0", "b"))
    assert queue.ahead_ms(4, "b") == pytest.approx(25.0)
    assert queue.ahead_ms(9, "b") == pytest.approx(1010.0)
    assert queue.ahead_ms(0, "b") == 0.0
