"""A full link is told apart from a peer that is slow, and from one that is lost."""

from leadford.common import EntryId
from leadford.forwarding.overload import LinkWaits

A, B, C = EntryId("a"), EntryId("b"), EntryId("c")


def waits_after(*trips):
    """Return the waits after trips, each a peer and a duration."""
    waits = LinkWaits()
    for peer_id, elapsed_s in [(A, 0.001), (B, 0.020), (C, 0.002), *trips]:
        assert waits.begin(peer_id, 0.0)
        waits.end(peer_id, elapsed_s)
    return waits


def test_a_full_link_delays_the_trips_to_all_peers():
    waits = waits_after((A, 0.301), (B, 0.32), (C, 0.302), (A, 0.301), (B, 0.32))
    assert round(waits.wait_s(0.0), 3) == 0.3


def test_slow_peers_are_no_full_link():
    waits = waits_after((A, 0.301), (B, 0.02), (C, 0.302), (A, 0.301), (C, 0.302))
    assert waits.wait_s(0.0) == 0.0


def test_one_large_message_is_no_full_link():
    waits = waits_after((A, 0.301), (B, 0.32), (C, 0.302), (A, 0.001), (B, 0.02))
    assert waits.wait_s(0.0) == 0.0
    assert not waits.is_slow(0.0)


def test_trips_under_way_are_slow_once_they_last_longer():
    waits = waits_after((A, 0.301), (B, 0.32))
    for peer_id in (A, B, C):
        assert waits.begin(peer_id, 1.0)
        assert not waits.begin(peer_id, 1.1)
    assert waits.wait_s(1.04) == 0.0
    assert waits.is_slow(1.2)
    assert waits.wait_s(1.2) > 0.1


def test_a_peer_that_is_lost_says_nothing():
    waits = waits_after()
    for peer_id in (A, B, C):
        waits.begin(peer_id, 1.0)
        waits.forget(peer_id)
    assert waits.wait_s(5.0) == 0.0


def test_one_peer_alone_does_not_tell():
    waits = LinkWaits()
    for elapsed_s in (0.001, 0.5, 0.5, 0.5, 0.5, 0.5):
        waits.begin(A, 0.0)
        waits.end(A, elapsed_s)
    assert waits.wait_s(0.0) == 0.0
