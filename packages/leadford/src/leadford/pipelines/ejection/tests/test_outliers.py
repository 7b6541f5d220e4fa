"""Failing and slow endpoints are ejected for a limited time, within a cap."""

from random import Random

from hypothesis import given, strategies as st

from leadford.pipelines.ejection import EndpointState, OutlierEjector

IDS = [f"e{number}" for number in range(6)]


def make_ejector(cap=0.34, ids=IDS):
    ejector = OutlierEjector(random=Random(1), cap=cap)
    ejector.retain(set(ids))
    return ejector


def fail(ejector, endpoint_id, times=5, now=0.0):
    for _ in range(times):
        ejector.record_failure(endpoint_id, "status 500", now)


def test_failures_in_a_row_eject():
    ejector = make_ejector()
    fail(ejector, "e0")
    assert not ejector.admits("e0", 0.1)
    event = ejector.take_events()[0]
    assert (event.endpoint_id, event.state) == ("e0", EndpointState.EJECTED)
    assert event.reason == "status 500"


def test_a_slow_endpoint_is_an_outlier_only_beside_others():
    ejector = make_ejector()
    for _ in range(12):
        for endpoint_id in IDS:
            ejector.record_success(
                endpoint_id, 100.0 if endpoint_id == "e3" else 10.0, 0.0
            )
    assert not ejector.admits("e3", 0.1)
    slow_together = make_ejector()
    for _ in range(30):
        for endpoint_id in IDS:
            slow_together.record_success(endpoint_id, 100.0, 0.0)
    assert all(slow_together.admits(endpoint_id, 0.1) for endpoint_id in IDS)


def test_never_most_of_a_pool():
    ejector = make_ejector()
    for endpoint_id in IDS:
        fail(ejector, endpoint_id)
    assert sum(not ejector.admits(endpoint_id, 0.1) for endpoint_id in IDS) == 2
    pair = make_ejector(ids=["e0", "e1"])
    fail(pair, "e0")
    fail(pair, "e1")
    assert sum(not pair.admits(endpoint_id, 0.1) for endpoint_id in ("e0", "e1")) == 1


def test_one_probe_at_a_time_restores():
    ejector = make_ejector()
    fail(ejector, "e0")
    now = 10.0
    for _ in range(3):
        assert ejector.admits("e0", now)
        ejector.record_sent("e0")
        assert not ejector.admits("e0", now)
        ejector.record_success("e0", 10.0, now)
    assert ejector.state("e0") is EndpointState.ACTIVE


def test_a_failed_probe_ejects_for_longer():
    ejector = make_ejector()
    fail(ejector, "e0")
    now = 0.0
    waits = []
    for _ in range(4):
        start = now
        while not ejector.admits("e0", now):
            now += 0.1
        waits.append(now - start)
        ejector.record_sent("e0")
        ejector.record_failure("e0", "status 500", now)
    assert waits == sorted(waits)
    assert waits[-1] > 3 * waits[0]


def test_an_abandoned_probe_frees_its_turn():
    ejector = make_ejector()
    fail(ejector, "e0")
    assert ejector.admits("e0", 10.0)
    ejector.record_sent("e0")
    ejector.record_abandoned("e0")
    assert ejector.admits("e0", 10.0)


@given(
    st.lists(
        st.tuples(st.sampled_from(IDS), st.booleans(), st.floats(0, 2)), max_size=200
    ),
    st.floats(0.0, 1.0),
)
def test_the_cap_holds_whatever_happens(outcomes, cap):
    ejector = make_ejector(cap)
    now = 0.0
    for endpoint_id, ok, pause_s in outcomes:
        now += pause_s
        if ejector.admits(endpoint_id, now):
            ejector.record_sent(endpoint_id)
        if ok:
            ejector.record_success(endpoint_id, 10.0, now)
        else:
            ejector.record_failure(endpoint_id, "x", now)
        out = sum(ejector.state(i) is not EndpointState.ACTIVE for i in IDS)
        assert out <= max(1, int(cap * len(IDS)))


def test_attempts_given_up_for_time_eject_a_slow_endpoint_only():
    ejector = make_ejector()
    for _ in range(6):
        for endpoint_id in IDS[1:]:
            ejector.record_success(endpoint_id, 30.0, 0.0)
        ejector.record_late("e0", 250.0, 0.0)
    assert not ejector.admits("e0", 0.1)
    overloaded = make_ejector()
    for _ in range(6):
        for endpoint_id in IDS:
            overloaded.record_late(endpoint_id, 250.0, 0.0)
    assert all(overloaded.admits(endpoint_id, 0.1) for endpoint_id in IDS)
