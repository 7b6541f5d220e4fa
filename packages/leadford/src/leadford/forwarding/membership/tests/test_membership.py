"""Entries know by themselves who lives, whom to link to, and whom to ask."""

import pytest

from leadford.common import EntryId, HallId
from leadford.forwarding.batching import GroupId, PlaceId, RegionMap
from leadford.forwarding.membership import (
    Staleness,
    is_live,
    is_silent,
    may_stop,
    stop_ends_at,
    wanted_peers,
)
from leadford.forwarding.routes import ServiceId

REGIONS = RegionMap({HallId("h1"): PlaceId("r"), HallId("h2"): PlaceId("r")})


def entries(count):
    return {
        EntryId(f"e{number:02}"): HallId(f"h{number % 2 + 1}")
        for number in range(count)
    }


def test_an_entry_lives_for_a_while_after_it_was_heard():
    assert is_live(10.0, 10.8)
    assert not is_live(10.0, 10.9)
    assert not is_live(None, 10.0)


def test_a_peer_without_a_word_for_long_is_silent():
    assert not is_silent(10.0, 12.6)
    assert is_silent(10.0, 12.8)


def test_links_lead_to_the_next_entries_so_that_news_reaches_all():
    halls = entries(7)
    reached = {EntryId("e00")}
    for _ in range(6):
        for entry in set(reached):
            reached |= wanted_peers(entry, halls, [], REGIONS)
    assert reached == set(halls)
    assert wanted_peers(EntryId("e06"), halls, [], REGIONS) == {"e00", "e01"}


def test_links_lead_to_the_first_candidates_of_each_group():
    halls = entries(40)
    group = GroupId(ServiceId("s"), PlaceId("r"))
    candidates = [
        wanted_peers(entry, halls, [group], REGIONS)
        - wanted_peers(entry, halls, [], REGIONS)
        for entry in (EntryId("e05"), EntryId("e20"))
    ]
    assert candidates[0] | candidates[1]
    assert all(len(found) <= 2 for found in candidates)


def test_the_number_of_links_does_not_grow_with_the_fleet():
    group = GroupId(ServiceId("s"), PlaceId("r"))
    for count in (5, 50, 500):
        assert len(wanted_peers(EntryId("e00"), entries(count), [group], REGIONS)) <= 4


def test_an_entry_alone_links_to_nobody():
    assert wanted_peers(EntryId("e00"), entries(1), [], REGIONS) == set()


def test_a_peer_is_asked_once_it_has_known_better_for_a_while():
    staleness = Staleness()
    assert not staleness.must_ask(3, 3, 10.0)
    assert not staleness.must_ask(3, 4, 10.0)
    assert not staleness.must_ask(3, 4, 10.2)
    assert staleness.must_ask(3, 4, 10.3)
    # It is asked again only after as long a while.
    assert not staleness.must_ask(3, 4, 10.4)
    assert staleness.must_ask(3, 4, 10.75)


def test_an_entry_that_knows_nothing_asks_at_once():
    assert Staleness().must_ask(0, 1, 10.0)


def test_a_stop_ends_with_its_last_request_but_not_too_soon():
    assert not may_stop(3.1, 0)
    assert may_stop(3.2, 0)
    assert not may_stop(5.0, 1)


def test_a_stop_ends_before_the_grace_period_does():
    assert stop_ends_at(10.0, 8.0) == pytest.approx(17.4)
