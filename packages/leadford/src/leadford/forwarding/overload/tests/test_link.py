"""A full link is told apart from a peer that is slow, and from one that is lost."""

from leadford.common import EntryId
from leadford.forwarding.overload import LinkWaits

A, B, C = EntryId("a"), EntryId("b"), EntryId("c")
PEERS = (A, B, C)


def waits_after(*rounds):
    """Return the waits after rounds of trips, each a duration by peer."""
    waits = LinkWaits()
    for now, trips in enumerate(rounds):
        for peer_id, elapsed_s in zip(PEERS, trips, strict=True):
            assert waits.begin(peer_id, float(now))
            waits.end(peer_id, elapsed_s, float(now))
    return waits


def test_a_full_link_delays_the_trips_to_all_peers():
    waits = waits_after((0.001, 0.020, 0.002), (0.301, 0.320, 0.302))
    assert round(waits.wait_s(1.0), 3) == 0.3
    assert waits.is_full(1.0)


def test_slow_peers_are_no_full_link():
    waits = waits_after((0.001, 0.020, 0.002), (0.301, 0.021, 0.302))
    assert not waits.is_full(1.0)


def test_trips_that_do_not_end_are_slow_as_well():
    waits = waits_after((0.001, 0.020, 0.002))
    for peer_id in PEERS:
        assert waits.begin(peer_id, 1.0)
        assert not waits.begin(peer_id, 1.1)
    assert not waits.is_full(1.04)
    assert waits.is_full(1.2)
    waits.end(A, 0.001, 1.2)
    assert not waits.is_full(1.2)


def test_a_peer_that_is_lost_says_nothing():
    waits = waits_after((0.001, 0.020, 0.002))
    for peer_id in PEERS:
        waits.begin(peer_id, 1.0)
        waits.forget(peer_id)
    assert not waits.is_full(5.0)


def test_one_peer_alone_does_not_tell():
    waits = LinkWaits()
    for elapsed_s in (0.001, 0.5):
        waits.begin(A, 0.0)
        waits.end(A, elapsed_s, 0.0)
    assert not waits.is_full(0.0)
