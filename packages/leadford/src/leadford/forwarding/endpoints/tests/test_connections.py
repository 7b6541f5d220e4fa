"""Connections stay within an endpoint's limit and are not reused near their end."""

import pytest

from leadford.forwarding.endpoints import max_connections, may_use_again


@pytest.mark.parametrize(
    "connections_max, entries, allowed",
    [(100, 1, 95), (100, 4, 23), (48, 5, 9), (3, 4, 1), (1, 1, 1)],
)
def test_entries_share_the_bound_of_an_endpoint(connections_max, entries, allowed):
    assert max_connections(connections_max, 1.0 / entries) == allowed


def test_an_equal_share_is_what_the_bound_divides_into():
    for bound in range(1, 100):
        for entries in range(1, 70):
            allowed = max_connections(bound, 1.0 / entries)
            assert allowed == max(1, int(bound * 0.95) // entries)


def test_a_connection_is_not_used_shortly_before_its_endpoint_closes_it():
    assert may_use_again(4.3, 5.0)
    assert not may_use_again(4.4, 5.0)
    assert not may_use_again(0.0, 0.5)


def test_where_the_endpoint_says_nothing_a_connection_rests_for_eight_seconds():
    assert may_use_again(7.9, None)
    assert not may_use_again(8.0, None)
