"""Entries know what a store says that came back from a copy.

Three entries follow the store and three hear from them, on a simulated clock. The store
is away, comes back without its last changes, and gives their revisions out again.
"""

import asyncio

import pytest

from leadford_standins.simulated import run_simulated
from leadford_standins.wire import SimulatedFleet

# Seconds within which a change is known.
BOUND_S = 3.0
SEEDS = range(10)


async def lose_changes(fleet, lost=2, away_s=2.5):
    """Let the store lose changes of another kind."""
    held = fleet.store.copy()
    for _ in range(lost):
        await asyncio.sleep(0.5)
        fleet.change_other_kind()
    await asyncio.sleep(1.0)
    await fleet.be_away(away_s, held)


def unaware_of_leaving(seed, settled_s):
    """Return which entries do not know in time that an endpoint leaves."""

    async def run():
        fleet = SimulatedFleet(seed=seed)
        for name in "abcde":
            fleet.put(name)
        fleet.start()
        await asyncio.sleep(18.0)
        await lose_changes(fleet)
        await asyncio.sleep(settled_s)
        fleet.change_other_kind()
        # This revision had been given out before.
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
