"""Subsets are balanced and stable; the loss of a hall is reported as one event."""

from collections import Counter

from hypothesis import given, strategies as st

from leadford.pipelines.membership import (
    HallMonitor,
    HostState,
    HostTable,
    choose_relays,
    choose_subset,
)

HALLS = {f"e{number}": f"h{number % 4}" for number in range(80)}


def subset(node, halls=HALLS, size=20, hall="h0"):
    return choose_subset(node, halls, hall=hall, size=size)


def test_a_subset_is_mostly_near_and_never_only_near():
    chosen = subset("n1")
    assert len(chosen) == len(set(chosen)) == 20
    near = [endpoint for endpoint in chosen if HALLS[endpoint] == "h0"]
    assert len(near) == 15


def test_a_hall_that_is_too_small_is_filled_up():
    assert len(subset("n1", size=40)) == 40
    assert set(subset("n1", size=100)) == set(HALLS)


@given(st.integers(0, 79), st.integers(0, 50))
def test_one_departure_changes_at_most_one_member(gone, node):
    before = set(subset(f"n{node}"))
    halls = {k: v for k, v in HALLS.items() if k != f"e{gone}"}
    after = set(subset(f"n{node}", halls))
    assert len(before - after) <= 1
    assert len(after - before) <= 1


def test_load_spreads_over_the_pool():
    halls = {f"e{number}": "h0" for number in range(60)}
    counts = Counter()
    for node in range(200):
        counts.update(subset(f"n{node}", halls))
    mean = 200 * 20 / 60
    assert max(counts.values()) < 1.5 * mean
    assert min(counts.values()) > 0.5 * mean


def test_two_relays_stand_for_a_hall():
    entries = {f"entry{number}": f"h{number % 2}" for number in range(10)}
    relays = choose_relays(entries, "h1")
    assert len(relays) == 2
    assert all(entries[relay] == "h1" for relay in relays)
    del entries[relays[0]]
    assert relays[1] in choose_relays(entries, "h1")


def test_a_host_is_leaving_as_long_as_the_newest_list_says_so():
    hosts = HostTable()
    hosts.record_list(
        {"a": HostState.LIVE, "b": HostState.LEAVING, "c": HostState.GONE}
    )
    assert not hosts.is_leaving("a")
    assert hosts.is_leaving("b")
    assert hosts.is_leaving("c")
    hosts.record_list({"b": HostState.LIVE})
    assert not hosts.is_leaving("a")
    assert not hosts.is_leaving("b")
    assert not hosts.is_leaving("c")


def make_monitor():
    monitor = HallMonitor(own_hall="h0")
    monitor.set_members({k: HALLS[k] for k in list(HALLS)[:16]})
    return monitor


def test_a_lost_hall_is_one_event():
    monitor = make_monitor()
    members = [e for e, h in monitor.halls_by_endpoint_.items() if h == "h1"]
    events = [monitor.record_unreachable(e, 0.1 * i) for i, e in enumerate(members)]
    assert [event for event in events if event] == ["h1"]
    assert monitor.is_lost("h1", 1.0)
    assert not monitor.is_lost("h1", 10.0)
    monitor.record_reached(members[0])
    assert not monitor.is_lost("h1", 1.0)


def test_losing_everything_is_held_to_be_our_own_fault():
    monitor = make_monitor()
    order = sorted(monitor.halls_by_endpoint_)
    by_hall = Counter()
    lost = []
    for endpoint in sorted(order, key=lambda e: (by_hall[e], e)):
        lost.append(monitor.record_unreachable(endpoint, 0.0))
    assert sum(monitor.is_lost(f"h{n}", 0.1) for n in range(4)) < 4


def test_failures_far_apart_lose_no_hall():
    monitor = make_monitor()
    members = [e for e, h in monitor.halls_by_endpoint_.items() if h == "h1"]
    for index, endpoint in enumerate(members):
        assert monitor.record_unreachable(endpoint, index * 10.0) is None
