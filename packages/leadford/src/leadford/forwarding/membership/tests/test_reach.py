"""Links lead to entries that live, however many of those that are recorded are lost."""

from random import Random

import pytest

from leadford.common import EntryId, HallId
from leadford.forwarding.batching import GroupId, PlaceId, RegionMap
from leadford.forwarding.membership import (
    ALL_REACHABLE,
    DialTimes,
    candidate_orders,
    candidates_to_link,
    entries_to_dial,
    first_of_each,
    peers_to_link,
)
from leadford.forwarding.membership._reach import (
    MAX_FURTHER_DIALS_COUNT,
    MIN_UNREACHED_S,
    REDIAL_INTERVAL_S,
)
from leadford.forwarding.routes import ServiceId

HALL = HallId("h")
GROUP = GroupId(ServiceId("s"), PlaceId("r"))
REGIONS = RegionMap({HALL: PlaceId("r")})
STEP_S = 0.2
# Dialing in vain is noticed up to a step late.
ROUND_S = MIN_UNREACHED_S + 2 * STEP_S


def entry_ids(count):
    return [EntryId(f"e{number:02}") for number in range(count)]


class Fleet:
    """Dial as the entries that live do; whoever is dialed and can be reached is linked.

    `cut` returns whether two entries cannot reach each other.
    """

    def __init__(self, ids, lost, cut=lambda one, other: False):
        self.ids = ids
        self.live = [entry for entry in ids if entry not in lost]
        self.cut = cut
        self.times_by_id = {entry: DialTimes() for entry in ids}
        self.dialed_by_id = {entry: set() for entry in ids}
        self.now = 100.0

    def linked(self, entry):
        """Return the live entries that an entry is linked with."""
        return {
            other
            for other in self.live
            if other != entry
            and not self.cut(entry, other)
            and (other in self.dialed_by_id[entry] or entry in self.dialed_by_id[other])
        }

    def play(self, duration_s):
        halls = dict.fromkeys(self.ids, HALL)
        orders = candidate_orders(halls, [GROUP], REGIONS)
        ends_at = self.now + duration_s
        while self.now < ends_at:
            for entry in self.live:
                reach = self.reach(entry)
                candidates = candidates_to_link(orders, reach)
                self.dialed_by_id[entry] = peers_to_link(
                    entry, halls, candidates, reach
                )
            self.now += STEP_S

    def reach(self, entry):
        times = self.times_by_id[entry]
        reached = {entry, *self.linked(entry)}
        for other in reached:
            times.record_reached(other)
        for other in self.dialed_by_id[entry] - reached:
            times.record_dialing(other, self.now)
        return times.reach(reached, self.now)

    def component(self, first):
        """Return the entries that news from one entry reaches."""
        found, waiting = {first}, [first]
        while waiting:
            added = self.linked(waiting.pop()) - found
            found |= added
            waiting += added
        return found


@pytest.mark.parametrize("count", [3, 8, 24, 60])
def test_entries_without_losses_hold_no_further_links(count):
    """Entries in place of lost ones must cost a sound fleet nothing."""
    ids = entry_ids(count)
    fleet = Fleet(ids, lost=[])
    fleet.play(2 * REDIAL_INTERVAL_S)
    halls = dict.fromkeys(ids, HALL)
    candidates = first_of_each(candidate_orders(halls, [GROUP], REGIONS))
    for entry in ids:
        wanted = peers_to_link(entry, halls, candidates, ALL_REACHABLE)
        assert fleet.dialed_by_id[entry] == wanted


@pytest.mark.parametrize(
    ("count", "lost_count"), [(8, 4), (8, 6), (24, 18), (60, 30), (60, 57)]
)
@pytest.mark.parametrize("seed", range(5))
def test_news_reaches_all_entries_that_live_though_the_peers_of_one_are_lost(
    count, lost_count, seed
):
    """An entry must not be alone because all to which it was linked are lost."""
    ids = entry_ids(count)
    fleet = Fleet(ids, lost=[])
    fleet.play(1.0)
    alone = Random(seed).choice(ids)
    linked = fleet.linked(alone)
    others = [entry for entry in ids if entry != alone and entry not in linked]
    further = Random(seed).sample(others, max(0, lost_count - len(linked)))
    fleet.live = [entry for entry in others if entry not in further] + [alone]
    fleet.play(6 * ROUND_S)
    assert fleet.component(alone) == set(fleet.live)
    # Two of the ring, two candidates, and what others dial.
    assert all(
        len(fleet.dialed_by_id[entry] & set(fleet.live)) <= 4 for entry in fleet.live
    )


@pytest.mark.parametrize("count", [8, 24, 60])
def test_news_reaches_entries_under_new_names_beside_the_records_of_lost_ones(count):
    """Hosts that were replaced under new names must not be split by the old records."""
    ids = entry_ids(count)
    replaced = [EntryId(f"{entry}-new") for entry in ids[1::2]]
    fleet = Fleet(sorted([*ids, *replaced]), lost=ids[1::2])
    fleet.play(6 * ROUND_S)
    assert fleet.component(ids[0]) == set(fleet.live)
    assert len(fleet.live) == count


def test_an_entry_that_is_back_takes_its_place_again():
    """The entries in place of a lost one must not stay linked once it is back."""
    ids = entry_ids(24)
    fleet = Fleet(ids, lost=[ids[1], ids[2]])
    fleet.play(4 * ROUND_S)
    assert {ids[3], ids[4]} <= fleet.linked(ids[0])
    fleet.live = ids
    fleet.play(1.0)
    sound = Fleet(ids, lost=[])
    sound.play(1.0)
    assert fleet.dialed_by_id == sound.dialed_by_id


def test_halves_of_a_fleet_that_were_cut_off_for_long_find_each_other_again():
    """A cut must not make either half forget the other."""
    ids = entry_ids(24)
    halves = [set(ids[::2]), set(ids[1::2])]

    def cut(one, other):
        return (one in halves[0]) != (other in halves[0])

    fleet = Fleet(ids, lost=[], cut=cut)
    fleet.play(10 * REDIAL_INTERVAL_S)
    assert fleet.component(ids[0]) == halves[0]
    assert fleet.component(ids[1]) == halves[1]
    fleet.cut = lambda one, other: False
    fleet.play(1.0)
    assert fleet.component(ids[0]) == set(ids)


def test_an_entry_that_was_cut_off_from_all_is_linked_again():
    """An entry that reached nobody for long must still dial those that live."""
    ids = entry_ids(24)
    fleet = Fleet(ids, lost=ids[1:7], cut=lambda one, other: ids[0] in (one, other))
    fleet.play(5 * REDIAL_INTERVAL_S)
    fleet.cut = lambda one, other: False
    fleet.play(REDIAL_INTERVAL_S)
    assert fleet.component(ids[0]) == set(fleet.live)


def test_few_entries_are_dialed_at_once():
    """A large fleet that is lost must not be dialed as a whole."""
    ids = entry_ids(90)
    times = DialTimes()
    for entry in ids[:60]:
        times.record_dialing(entry, 10.0)
    reach = times.reach(set(), 10.0 + 2 * MIN_UNREACHED_S)
    assert len(entries_to_dial(ids, 2, reach)) == 2 + MAX_FURTHER_DIALS_COUNT


def test_the_records_of_entries_that_are_gone_are_not_kept():
    """What is known of entries without a record must not add up."""
    times = DialTimes()
    for entry in entry_ids(5):
        times.record_dialing(entry, 10.0)
    times.retain({EntryId("e01")})
    assert set(times.dialed_at_by_id_) == {"e01"}
