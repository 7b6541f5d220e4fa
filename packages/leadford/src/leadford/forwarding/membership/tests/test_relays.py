"""A few entries follow the store; the others rely on them within a time limit."""

import pytest

from leadford.common import EntryId, HallId
from leadford.forwarding.batching import GroupId, PlaceId, RegionMap
from leadford.forwarding.membership import (
    PeerClock,
    PeerReach,
    candidate_orders,
    candidates_to_link,
    first_candidates,
    follower_watch_s,
    max_confirmation_age_s,
    peers_to_link,
    store_followers,
)
from leadford.forwarding.routes import ServiceId

REGIONS = RegionMap({HallId("h1"): PlaceId("r"), HallId("h2"): PlaceId("r")})
GROUPS = [GroupId(ServiceId(name), PlaceId("r")) for name in ("s1", "s2", "s3")]


def entries(count):
    return {
        EntryId(f"e{number:03}"): HallId(f"h{number % 2 + 1}")
        for number in range(count)
    }


@pytest.mark.parametrize("count", [8, 30, 300])
def test_three_entries_follow_however_many_there_are(count):
    assert len(store_followers(entries(count), GROUPS, REGIONS)) == 3


def test_in_a_small_fleet_everybody_follows():
    halls = entries(7)
    assert store_followers(halls, GROUPS, REGIONS) == set(halls)


def test_without_batched_services_everybody_follows():
    halls = entries(30)
    assert store_followers(halls, [], REGIONS) == set(halls)


def test_one_group_gives_two_followers():
    assert len(store_followers(entries(30), GROUPS[:1], REGIONS)) == 2


def test_every_entry_holds_links_to_all_that_follow():
    halls = entries(60)
    followers = store_followers(halls, GROUPS, REGIONS)
    for entry in halls:
        assert followers - {entry} <= peers_to_link(
            entry, halls, first_candidates(halls, GROUPS, REGIONS)
        )


def test_who_follows_does_not_depend_on_the_order_of_groups():
    halls = entries(60)
    turned = store_followers(halls, GROUPS[::-1], REGIONS)
    assert store_followers(halls, GROUPS, REGIONS) == turned


@pytest.mark.parametrize("bound_s", [2.0, 3.0, 4.0])
@pytest.mark.parametrize("drawn", [0.0, 1.0])
def test_a_confirmation_comes_before_the_others_would_ask(bound_s, drawn):
    watch_s = follower_watch_s(bound_s, bound_s + 1.0, drawn)
    assert watch_s + 0.4 <= max_confirmation_age_s(bound_s)
    assert max_confirmation_age_s(bound_s) <= bound_s - 0.6


def test_what_stood_in_a_queue_counts_as_old_as_it_is():
    clock = PeerClock()
    clock.record(100.0, 7.002)
    clock.record(103.0, 14.0)
    assert clock.to_local_time(103.0) == pytest.approx(10.002)


def test_a_faster_message_shows_the_difference_better():
    clock = PeerClock()
    clock.record(100.0, 8.5)
    clock.record(101.0, 8.003)
    assert clock.to_local_time(101.0) == pytest.approx(8.003)


def test_live_entries_follow_in_place_of_lost_ones():
    """Followers that are lost for good are replaced, however many there are.

    Otherwise all entries learn of changes from their own calls only, late, until the
    records of the lost ones are removed.
    """
    halls = entries(24)
    lost = set()
    for _ in range(5):
        followers = store_followers(halls, GROUPS, REGIONS, lost)
        assert len(followers) == 3
        assert not followers & lost
        lost |= followers


def test_the_usual_followers_follow_again_once_they_are_reached():
    halls = entries(24)
    usual = store_followers(halls, GROUPS, REGIONS)
    assert store_followers(halls, GROUPS, REGIONS, usual) != usual
    assert store_followers(halls, GROUPS, REGIONS, set()) == usual


@pytest.mark.parametrize("cut_at", [4, 12, 20])
def test_each_part_of_a_fleet_that_is_cut_apart_has_followers(cut_at):
    """No part counts on followers that it cannot reach, and none is erased."""
    halls = entries(24)
    parts = [set(sorted(halls)[:cut_at]), set(sorted(halls)[cut_at:])]
    for part in parts:
        followers = store_followers(halls, GROUPS, REGIONS, set(halls) - part)
        assert len(followers) == 3
        assert followers <= part


def test_every_entry_links_to_those_that_follow_in_place_of_lost_ones():
    halls = entries(60)
    lost = store_followers(halls, GROUPS, REGIONS)
    orders = candidate_orders(halls, GROUPS, REGIONS)
    reach = PeerReach(set(halls) - lost, lost)
    followers = store_followers(halls, GROUPS, REGIONS, lost)
    for entry in sorted(set(halls) - lost):
        candidates = candidates_to_link(orders, reach)
        assert followers - {entry} <= peers_to_link(entry, halls, candidates, reach)


def test_an_entry_that_reaches_nobody_follows_the_store_itself():
    halls = entries(24)
    own = sorted(halls)[7]
    others = set(halls) - {own}
    assert store_followers(halls, GROUPS, REGIONS, others) == {own}
