"""Tests for every routing policy, and for what `expected_finish` adds."""

from collections import Counter
from random import Random

import pytest
from hypothesis import given, strategies as st

from leadford.common import Objective, UnknownVariantError
from leadford.pipelines.routing import (
    EndpointView,
    LoadReport,
    PrefixIndex,
    RoutingRequest,
    routing_policies,
)


def make_view(name, queued=0, running=0, at_s=0.0, **terms):
    view = EndpointView(endpoint_id=name, hall="h", concurrency=4, **terms)
    view.record_report(
        LoadReport(
            at_s=at_s, queued=queued, running=running, service_ms=10.0, concurrency=4
        )
    )
    return view


def make_policy(name, seed=0):
    return routing_policies.get(name).from_config(random=Random(seed))


@pytest.mark.parametrize("name", list(routing_policies))
@given(st.lists(st.tuples(st.integers(0, 50), st.integers(0, 8)), max_size=20))
def test_every_policy_chooses_a_candidate(name, loads):
    views = [make_view(f"e{i}", q, r) for i, (q, r) in enumerate(loads)]
    chosen = make_policy(name).choose(RoutingRequest(), views, 1.0)
    assert (chosen is None) == (not views)
    assert chosen is None or chosen in views


@pytest.mark.parametrize("name", list(routing_policies))
def test_every_policy_spreads_over_equal_candidates(name):
    views = [make_view(f"e{i}") for i in range(4)]
    policy = make_policy(name)
    counts = Counter()
    for _ in range(400):
        chosen = policy.choose(RoutingRequest(), views, 0.0)
        counts[chosen.endpoint_id] += 1
    assert min(counts.values()) > 50


@pytest.mark.parametrize("name", ["least_loaded", "expected_finish"])
def test_loaded_endpoints_are_avoided(name):
    views = [make_view("busy", queued=20, running=4), make_view("idle")]
    assert make_policy(name).choose(RoutingRequest(), views, 0.0).endpoint_id == "idle"


@pytest.mark.parametrize("name", ["least_loaded", "expected_finish"])
def test_own_unacknowledged_sends_count(name):
    views = [make_view("a"), make_view("b")]
    for _ in range(12):
        views[0].record_sent(0)
    assert make_policy(name).choose(RoutingRequest(), views, 0.0).endpoint_id == "b"


def test_an_old_report_is_discounted():
    views = [make_view("old", queued=30, at_s=-60.0), make_view("new", queued=8)]
    chosen = make_policy("expected_finish").choose(RoutingRequest(), views, 0.0)
    assert chosen.endpoint_id == "old"


def test_a_cached_prefix_draws_until_the_queue_outweighs_it():
    policy = make_policy("expected_finish")
    request = RoutingRequest(expected_tokens=10, prefix="p", prefill_tokens=400)
    warm, cold = make_view("warm"), make_view("cold")
    warm.prefixes_.record_cached("p", 0.0)
    assert policy.choose(request, [warm, cold], 1.0) is warm
    warm.record_report(LoadReport(at_s=1.0, queued=60, running=4, service_ms=100.0))
    assert policy.choose(request, [warm, cold], 1.0) is cold


def test_a_prefix_holder_counts_among_many_candidates():
    policy = make_policy("expected_finish")
    views = [make_view(f"e{n}", running=n % 3) for n in range(40)]
    views[17].record_report(LoadReport(running=3, service_ms=10.0, concurrency=4))
    views[17].prefixes_.record_cached("p", 0.0)
    request = RoutingRequest(expected_tokens=10, prefix="p", prefill_tokens=4000)
    assert policy.choose(request, views, 1.0) is views[17]


def test_a_newcomer_starts_slowly():
    views = [make_view("new", joined_at_s=0.0), make_view("old")]
    policy = make_policy("expected_finish")
    assert policy.choose(RoutingRequest(), views, 0.1).endpoint_id == "old"


@pytest.mark.parametrize(
    ("objective", "running", "remaining_ms", "chosen"),
    [
        (Objective.COST, 2, 1000.0, "busy"),
        (Objective.COST, 2, 15.0, "idle"),
        (Objective.COST, 4, 1000.0, "idle"),
        (Objective.ATTAINMENT, 2, 1000.0, "idle"),
    ],
)
def test_cost_fills_batches_that_are_in_time(objective, running, remaining_ms, chosen):
    views = [make_view("busy", running=running), make_view("idle")]
    request = RoutingRequest(
        expected_ms=100.0,
        expected_tokens=5,
        remaining_ms=remaining_ms,
        objective=objective,
    )
    policy = make_policy("expected_finish")
    assert policy.choose(request, views, 0.0).endpoint_id == chosen


def test_prefix_hints_age_and_stay_bounded():
    index = PrefixIndex(capacity=2, lifetime_s=10.0)
    for number in range(3):
        index.record_cached(f"p{number}", 0.0)
    assert not index.holds("p0", 1.0)
    assert index.holds("p2", 1.0)
    assert not index.holds("p2", 11.0)


def test_an_unknown_policy_names_the_known_ones():
    with pytest.raises(UnknownVariantError, match="least_loaded"):
        routing_policies.get("nearest")
