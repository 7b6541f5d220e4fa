"""Entries decide on their own who is alive, whom to link to, and whom to ask."""

import pytest

from leadford.common import EntryId, HallId
from leadford.forwarding.batching import (
    GroupId,
    PlaceId,
    RegionMap,
    schedulers_in_order,
)
from leadford.forwarding.membership import (
    PeerFetch,
    PeerLiveness,
    PeerVersions,
    common_peers,
    first_candidates,
    max_call_s,
    may_stop,
    peers_to_link,
    placement_group,
    placement_groups,
    stop_ends_at,
    watch_s,
)
from leadford.forwarding.membership._watch import ANSWER_RESERVE_S, WATCH_MARGIN_S
from leadford.forwarding.routes import ServiceId

REGIONS = RegionMap({HallId("h1"): PlaceId("r"), HallId("h2"): PlaceId("r")})


def entries(count):
    return {
        EntryId(f"e{number:02}"): HallId(f"h{number % 2 + 1}")
        for number in range(count)
    }


PEER = EntryId("peer")


def heard(at):
    """Return the state after one message from a peer."""
    peers = PeerLiveness()
    peers.record_heard(PEER, at)
    return peers


def test_an_entry_lives_for_a_while_after_it_was_heard():
    assert heard(10.0).is_live(PEER, 10.8)
    assert not heard(10.0).is_live(PEER, 10.9)
    assert not PeerLiveness().is_live(PEER, 10.0)


def test_a_peer_without_a_word_for_long_is_silent():
    assert not heard(10.0).is_silent(PEER, 12.6)
    assert heard(10.0).is_silent(PEER, 12.8)
    assert not PeerLiveness().is_silent(PEER, 12.8)


def test_a_peer_is_silent_as_soon_where_this_entry_runs():
    peers = heard(10.0)
    for step in range(1, 16):
        peers.record_running(10.0 + 0.2 * step)
        assert peers.is_live(PEER, 10.0 + 0.2 * step) == (step < 5)
    assert peers.is_silent(PEER, 13.0)


@pytest.mark.parametrize("held_up_s", [1.0, 3.0, 30.0])
def test_time_in_which_an_entry_is_held_up_is_no_silence_of_its_peers(held_up_s):
    peers = heard(10.0)
    peers.record_running(10.0)
    awake_at = 10.0 + held_up_s
    # Both before its next `record_running` and after it, until it has read the waiting
    # messages.
    assert peers.is_live(PEER, awake_at)
    peers.record_running(awake_at)
    assert peers.is_live(PEER, awake_at)
    # A peer that is gone counts as dead after the usual time.
    for step in range(1, 5):
        peers.record_running(awake_at + 0.2 * step)
    assert not peers.is_live(PEER, awake_at + 0.8)


def test_links_lead_to_the_next_entries_so_that_news_reaches_all():
    halls = entries(7)
    reached = {EntryId("e00")}
    for _ in range(6):
        for entry in set(reached):
            reached |= peers_to_link(entry, halls, set())
    assert reached == set(halls)
    assert peers_to_link(EntryId("e06"), halls, set()) == {"e00", "e01"}


def test_links_lead_to_the_first_candidates_of_each_group():
    halls = entries(40)
    group = GroupId(ServiceId("s"), PlaceId("r"))
    candidates = [
        peers_to_link(entry, halls, first_candidates(halls, [group], REGIONS))
        - peers_to_link(entry, halls, set())
        for entry in (EntryId("e05"), EntryId("e20"))
    ]
    assert candidates[0] | candidates[1]
    assert all(len(found) <= 2 for found in candidates)


def test_the_number_of_links_does_not_grow_with_the_fleet():
    group = GroupId(ServiceId("s"), PlaceId("r"))
    for count in (5, 50, 500):
        halls = entries(count)
        candidates = first_candidates(halls, [group], REGIONS)
        assert len(peers_to_link(EntryId("e00"), halls, candidates)) <= 4


def test_an_entry_alone_links_to_nobody():
    assert peers_to_link(EntryId("e00"), entries(1), set()) == set()


def test_a_peer_is_asked_once_it_has_known_better_for_a_while():
    fetch = PeerFetch(0)
    assert not fetch.should_request(3, 3, 10.0)
    assert not fetch.should_request(3, 4, 10.0)
    assert not fetch.should_request(3, 4, 10.2)
    assert fetch.should_request(3, 4, 10.3)


def test_no_other_peer_is_asked_while_parts_of_an_answer_arrive():
    fetch = PeerFetch(0)
    assert not fetch.should_request(3, 4, 10.0)
    fetch.record_requested(EntryId("e1"), 10.3)
    for step in range(20):
        now = 10.4 + 0.9 * step
        assert not fetch.should_request(3, 4, now)
        fetch.record_part(now)
    assert not fetch.should_request(3, 4, now + 0.9)
    assert fetch.should_request(3, 4, now + 1.0)


def test_each_further_peer_is_given_twice_as_long():
    fetch = PeerFetch(0)
    assert not fetch.should_request(3, 4, 10.0)
    now = 10.5
    for wait_s in (1.0, 2.0, 4.0, 8.0, 8.0):
        assert fetch.should_request(3, 4, now)
        fetch.record_requested(EntryId("e1"), now)
        assert not fetch.should_request(3, 4, now + wait_s - 0.1)
        now += wait_s


def test_nobody_is_asked_at_once_after_an_answer_that_cannot_be_used():
    fetch = PeerFetch(0)
    assert not fetch.should_request(3, 4, 10.0)
    now = 10.5
    for wait_s in (0.5, 1.0, 2.0, 4.0, 8.0, 8.0):
        assert fetch.should_request(3, 4, now)
        fetch.record_requested(EntryId("e1"), now)
        fetch.record_unusable(now)
        assert not fetch.should_request(3, 4, now + wait_s - 0.1)
        now += wait_s


def test_another_peer_is_asked_when_the_link_to_the_first_ends():
    fetch = PeerFetch(0)
    assert not fetch.should_request(3, 4, 10.0)
    fetch.record_requested(EntryId("e1"), 10.3)
    fetch.record_lost(EntryId("e2"))
    assert not fetch.should_request(3, 4, 10.4)
    fetch.record_lost(EntryId("e1"))
    assert fetch.should_request(3, 4, 10.4)


def test_a_version_that_comes_in_force_begins_the_wait_for_the_next():
    fetch = PeerFetch(0)
    assert not fetch.should_request(3, 4, 10.0)
    assert not fetch.should_request(4, 5, 10.4)
    assert fetch.should_request(4, 5, 10.75)


def test_an_entry_that_knows_nothing_asks_at_once():
    assert PeerFetch(0).should_request(0, 1, 10.0)


def test_an_entry_is_behind_since_it_first_heard_of_a_version_it_has_not_got():
    heard = PeerVersions()
    assert heard.stale_s(3, 10.0) is None
    heard.record(3, 3, 10.0)
    assert heard.stale_s(3, 10.0) is None
    heard.record(4, 3, 10.0)
    heard.record(6, 3, 10.5)
    heard.record(4, 3, 10.9)
    assert heard.stale_s(3, 11.0) == 1.0
    # Following a series of changes does not make it count as behind for longer.
    assert heard.stale_s(4, 11.0) == 0.5
    assert heard.stale_s(6, 11.0) is None


def test_a_stop_ends_with_its_last_request_but_not_too_soon():
    assert not may_stop(3.1, 0)
    assert may_stop(3.2, 0)
    assert not may_stop(5.0, 1)


def test_a_stop_ends_before_the_grace_period_does():
    assert stop_ends_at(10.0, 8.0) == pytest.approx(17.4)


def test_watches_wait_longer_the_more_entries_tell_each_other_news():
    alone = [watch_s(1.8, peers, 1.0, resync_s=6.0) for peers in (0, 2)]
    assert alone == [1.8, 1.8]
    shared = [watch_s(1.8, peers, 1.0, resync_s=6.0) for peers in (3, 5, 20, 350)]
    assert 1.8 < shared[0] < shared[1] < shared[2] == shared[3]
    # Including the margin of a watch, a configuration is confirmed within 6 s.
    assert shared[3] + 0.35 < 6.0


@pytest.mark.parametrize("resync_s", [4.0, 6.0])
def test_watches_of_entries_that_started_together_do_not_end_together(resync_s):
    waits = {watch_s(1.8, 20, drawn, resync_s=resync_s) for drawn in (0.0, 0.5, 1.0)}
    assert len(waits) == 3
    assert min(waits) >= 0.75 * max(waits)


@pytest.mark.parametrize("resync_s", [2.0, 3.0, 4.0, 5.0])
@pytest.mark.parametrize("peers", [0, 4, 20, 350])
def test_no_watch_waits_longer_than_an_entry_may_be_behind(peers, resync_s):
    longest_s = watch_s(1.8, peers, 1.0, resync_s=resync_s)
    assert longest_s + WATCH_MARGIN_S + ANSWER_RESERVE_S <= resync_s


def test_calls_after_one_that_heard_nothing_leave_time_for_the_answer():
    assert max_call_s(3.0) == 2.0
    assert max_call_s(2.0) == pytest.approx(2.0 - ANSWER_RESERVE_S)


def test_watches_keep_a_pause_where_there_is_hardly_time_to_catch_up():
    assert watch_s(1.8, 20, 0.0, resync_s=0.5) == 0.2


def test_each_pool_of_many_engines_has_an_entry_that_places():
    halls = entries(300)
    many = {HallId(f"h{number}"): 200 for number in range(6)}
    one_region = RegionMap({**dict.fromkeys([*many, *halls.values()], PlaceId("r"))})
    groups = placement_groups(ServiceId("m"), many, halls, one_region)
    assert len(groups) == 9
    placers = {schedulers_in_order(group, halls, one_region)[0] for group in groups}
    assert len(placers) >= 7
    found = {
        placement_group(
            ServiceId("m"), many, halls, one_region, pool_key=f"part-{number}"
        )
        for number in range(200)
    }
    assert found < groups
    assert len(found) == 8
    whole = placement_group(ServiceId("m"), many, halls, one_region, pool_key="")
    assert {whole} == groups - found


def test_few_engines_are_placed_by_one_entry():
    halls = entries(60)
    few = {HallId("h1"): 39}
    one_region = RegionMap({**dict.fromkeys([*few, *halls.values()], PlaceId("r"))})
    group = placement_group(ServiceId("m"), few, halls, one_region, pool_key="part")
    assert placement_groups(ServiceId("m"), few, halls, one_region) == {group}
    assert placement_groups(ServiceId("m"), few, entries(4), one_region) == set()


@pytest.mark.parametrize("count", [1, 2, 5, 6, 40])
def test_all_entries_are_linked_to_the_common_peers(count):
    halls = entries(count)
    group = GroupId(ServiceId("s"), PlaceId("h0"))
    common = common_peers(halls, first_candidates(halls, [group], REGIONS))
    assert common == (set(halls) if count <= 5 else common)
    links = {
        entry: peers_to_link(entry, halls, first_candidates(halls, [group], REGIONS))
        for entry in halls
    }
    for entry in halls:
        inbound = {other for other in halls if entry in links[other]}
        assert common - {entry} <= links[entry] | inbound
