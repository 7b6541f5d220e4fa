"""Entries stay up to date with a store that was restored from a copy.

Three entries follow the store and three learn from them, on a simulated clock. The
store is unavailable, is restored without its last changes, and gives their revisions
out again.
"""

import asyncio

import pytest

from leadford.protocol import PROTOCOL_LIMITS
from leadford_standins.simulated import run_simulated
from leadford_standins.wire import SimulatedFleet

# Time within which every entry knows of a change.
BOUND_S = 3.0
SEEDS = range(10)


async def lose_changes(fleet, lost=2, away_s=2.5):
    """Restore the store to a copy that lacks changes of another kind."""
    held = fleet.store.copy()
    for _ in range(lost):
        await asyncio.sleep(0.5)
        fleet.change_other_kind()
    await asyncio.sleep(1.0)
    await fleet.be_away(away_s, held)


def unaware_of_leaving(seed, settled_s):
    """Return the entries that do not learn in time that an endpoint leaves."""

    async def run():
        fleet = SimulatedFleet(seed=seed)
        for name in "abcde":
            fleet.put(name)
        fleet.start()
        await asyncio.sleep(18.0)
        await lose_changes(fleet)
        await asyncio.sleep(settled_s)
        fleet.change_other_kind()
        # The store gave this revision out before the restoration.
        fleet.put("a", "draining")
        await asyncio.sleep(0.1)
        fleet.change_other_kind()
        await asyncio.sleep(BOUND_S)
        fleet.stop()
        return [e.entry_id for e in fleet.entries if "a" not in e.roster_.leaving_ids_]

    return run_simulated(run())


@pytest.mark.parametrize("settled_s", [0.3, 2.0, 4.3])
def test_an_endpoint_that_leaves_after_the_store_was_restored_is_known_to_leave(
    settled_s,
):
    unaware = {seed: unaware_of_leaving(seed, settled_s) for seed in SEEDS}
    assert {seed: ids for seed, ids in unaware.items() if ids} == {}


def unaware_of(change, *, seed=1, lost=2, before=None, after=None, **fields):
    """Return the entries whose listing differs from the store's after the bound."""

    async def run():
        fleet = SimulatedFleet(seed=seed, **fields)
        for name in "abcde":
            fleet.put(name)
        fleet.start()
        await asyncio.sleep(18.0)
        if before is not None:
            await before(fleet)
        await lose_changes(fleet, lost)
        await asyncio.sleep(1.0)
        if after is not None:
            await after(fleet)
        change(fleet)
        await asyncio.sleep(BOUND_S)
        listed = set(fleet.store.objects_by_kind_["servers"])
        fleet.stop()
        return [
            entry.entry_id
            for entry in fleet.entries
            if set(entry.roster_.records_by_id_) != listed
        ]

    return run_simulated(run())


def test_an_endpoint_that_joins_after_the_store_was_restored_is_known():
    assert unaware_of(lambda fleet: fleet.put("f")) == []


def test_an_endpoint_that_is_removed_after_the_store_was_restored_is_known_to_be():
    assert unaware_of(lambda fleet: fleet.store.delete("servers", "a")) == []


def test_what_follows_once_revisions_have_passed_the_old_ones_is_known():
    async def pass_old_revisions(fleet):
        for name in "fgh":
            fleet.put(name)

    assert unaware_of(lambda fleet: fleet.put("i"), after=pass_old_revisions) == []


def test_what_was_written_before_any_entry_asks_the_restored_store_is_known():
    """No watch ends with 410, as the new revisions have passed the old ones."""

    async def run():
        fleet = SimulatedFleet()
        for name in "abcde":
            fleet.put(name)
        fleet.start()
        await asyncio.sleep(18.0)
        held = fleet.store.copy()
        fleet.change_other_kind()
        await asyncio.sleep(1.0)
        fleet.store.restore(held)
        for name in "fg":
            fleet.put(name)
        fleet.put("a", "draining")
        await asyncio.sleep(BOUND_S)
        fleet.stop()
        return [
            (set(e.roster_.records_by_id_), "a" in e.roster_.leaving_ids_)
            for e in fleet.entries
        ]

    assert run_simulated(run()) == [(set("abcdefg"), True)] * 6


def test_two_restorations_in_a_row_are_followed():
    async def again(fleet):
        await lose_changes(fleet, away_s=0.2)

    assert unaware_of(lambda fleet: fleet.put("f"), after=again) == []


def test_an_entry_that_was_cut_off_in_the_restoration_knows_of_what_follows():
    async def cut_off(fleet):
        fleet.entries[-1].is_cut_off_ = True

    async def reconnect(fleet):
        fleet.entries[-1].is_cut_off_ = False

    left = unaware_of(lambda fleet: fleet.put("f"), before=cut_off, after=reconnect)
    assert left == []


def test_answers_of_a_store_that_is_over_change_nothing():
    async def run():
        fleet = SimulatedFleet(followers=1, resting=0)
        for name in "ab":
            fleet.put(name)
        fleet.start()
        await asyncio.sleep(5.0)
        store = fleet.store
        old = store.copy()
        fleet.change_other_kind()
        await fleet.be_away(0.5, old)
        fleet.put("c")
        await asyncio.sleep(2.0)
        # Some calls reach the store in its state before the restoration.
        present, past = store.copy(), store.era_ - 1
        store.objects_by_kind_, store.era_ = old.objects_by_kind, past
        await asyncio.sleep(2.0)
        (entry,) = fleet.entries
        meanwhile = set(entry.roster_.records_by_id_)
        store.objects_by_kind_, store.era_ = present.objects_by_kind, past + 1
        fleet.put("d")
        await asyncio.sleep(2.0)
        fleet.stop()
        return meanwhile, set(entry.roster_.records_by_id_)

    assert run_simulated(run()) == (set("abc"), set("abcd"))


@pytest.mark.parametrize("older", [(0,), (0, 1, 2), (3, 4, 5), (0, 3)])
def test_entries_beside_an_older_build_know_of_what_follows(older):
    versions = dict.fromkeys(older, PROTOCOL_LIMITS)
    left = unaware_of(lambda fleet: fleet.put("f"), versions=versions)
    assert left == []


def test_an_older_build_is_neither_believed_nor_told_where_the_store_tells_epochs():
    async def run():
        fleet = SimulatedFleet(followers=1, resting=2, versions={0: PROTOCOL_LIMITS})
        fleet.put("a")
        fleet.start()
        await asyncio.sleep(10.0)
        fleet.stop()
        older, *rest = fleet.entries
        assert rest[0].relays.min_version > older.version
        # They call the store themselves, at least once per rest.
        return [entry.client_.calls_ for entry in rest]

    assert min(run_simulated(run())) >= 4


def test_entries_beside_an_older_build_rest_where_the_store_tells_no_epoch():
    async def run():
        fleet = SimulatedFleet(followers=1, resting=2, versions={0: PROTOCOL_LIMITS})
        fleet.store.era_ = None
        fleet.put("a")
        fleet.start()
        await asyncio.sleep(10.0)
        fleet.stop()
        return [entry.client_.calls_ for entry in fleet.entries[1:]]

    assert max(run_simulated(run())) <= 3


def test_entries_that_rest_list_anew_one_after_the_other():
    async def run():
        fleet = SimulatedFleet(resting=20)
        fleet.put("a")
        fleet.start()
        await asyncio.sleep(10.0)
        held = fleet.store.copy()
        fleet.change_other_kind()
        await asyncio.sleep(1.0)
        fleet.store.restore(held)
        before = sum(entry.client_.calls_ for entry in fleet.entries)
        await asyncio.sleep(2.0)
        fleet.stop()
        after = sum(entry.client_.calls_ for entry in fleet.entries)
        return after - before

    # One listing for each entry, and the watches of the three followers.
    assert run_simulated(run()) <= 23 + 3 * 6
