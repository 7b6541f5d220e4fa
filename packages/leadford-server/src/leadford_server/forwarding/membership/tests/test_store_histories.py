"""Entries know in time what the store holds, whatever happens to it.

Draws random faults and changes of the store and of the entries that follow it, on a
simulated clock; failing sequences of steps are shrunk.
"""

import asyncio
from enum import Enum

from hypothesis import example, given, settings, strategies as st

from leadford_standins.simulated import run_simulated
from leadford_standins.wire import SimulatedFleet, StoreFault

# Time after the last step by which entries know what the store holds: the time to catch
# up, and the time within which a change has to be known.
BOUND_S = 7.0
# Time after which no record can be left over from a copy.
LAPSE_S = 5.0
# Number of copies, newest first, from which the store can be restored.
COPIES = 5
SERVICE = "s"


class Step(Enum):
    """Name the steps of a scenario."""

    JOIN = "an endpoint joins"
    LEAVE = "an endpoint says that it leaves"
    REMOVE = "an endpoint is removed"
    OTHER = "another kind changes"
    WAIT = "nothing"
    AWAY = "the store is away"
    FORGET = "the store forgets its history"
    RESTORE = "the store comes back from a copy"
    LOSE = "the same, and nobody writes again what it has lost"
    CUT = "an entry is cut off from the others"
    HEAL = "it is not any more"


class Scenario:
    """Carry out steps, and record which endpoints were said to leave."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.copies = [fleet.store.copy()]
        self.joined = 0
        self.left = set()

    def listed(self):
        return sorted(self.fleet.store.objects_by_kind_.get("servers", {}))

    def join(self):
        self.fleet.put(f"n{self.joined}")
        self.joined += 1

    async def apply(self, step, number, seconds):
        fleet = self.fleet
        listed = self.listed()
        name = listed[number % len(listed)] if listed else None
        if step is Step.JOIN:
            self.join()
        elif step is Step.LEAVE and name is not None:
            self.left.add(name)
            fleet.put(name, "draining")
        elif step is Step.REMOVE and name is not None:
            fleet.store.delete("servers", name)
        elif step is Step.OTHER:
            fleet.change_other_kind()
        elif step is Step.AWAY:
            fleet.store.fault = StoreFault.RESET
            await asyncio.sleep(seconds)
            fleet.store.fault = StoreFault.NONE
        elif step is Step.FORGET:
            fleet.store.forget_history()
        elif step in (Step.RESTORE, Step.LOSE):
            await self.restore(number, seconds, is_lost=step is Step.LOSE)
        elif step is Step.CUT:
            fleet.entries[number % len(fleet.entries)].is_cut_off_ = True
        elif step is Step.HEAL:
            fleet.entries[number % len(fleet.entries)].is_cut_off_ = False
        await asyncio.sleep(seconds)
        self.copies = [fleet.store.copy(), *self.copies][:COPIES]

    async def restore(self, number, seconds, *, is_lost):
        store = self.fleet.store
        held = self.copies[number % len(self.copies)]
        store.fault = StoreFault.RESET
        await asyncio.sleep(seconds / 2.0)
        before = store.restore(held)
        store.fault = StoreFault.NONE
        # Copies from a history that has ended are not used again.
        self.copies = [held]
        await asyncio.sleep(seconds / 4.0)
        if not is_lost:
            store.rewrite_lost_objects(before, held, ["servers"])

    def faults(self, now):
        """Return where the state of entries differs from what the store holds."""
        objects = self.fleet.store.objects_by_kind_.get("servers", {})
        draining = {n for n, o in objects.items() if o["spec"]["state"] == "draining"}
        ready = set(objects) - self.left - draining
        found = []
        for entry in self.fleet.entries:
            listed = set(entry.roster_.records_by_id_)
            usable = {r.listed.name for r in entry.roster_.usable(SERVICE, now)}
            if listed != set(objects):
                found.append((entry.entry_id, "lists", listed ^ set(objects)))
            if usable & draining:
                found.append((entry.entry_id, "uses", usable & draining))
            if ready - usable:
                found.append((entry.entry_id, "does not use", ready - usable))
        return found


def run_steps(steps, *, followers=3, resting=2, seed=1):
    """Return the differences that remain after the steps and a quiet period."""

    async def run():
        fleet = SimulatedFleet(followers=followers, resting=resting, seed=seed)
        scenario = Scenario(fleet)
        for _ in range(3):
            scenario.join()
        fleet.start()
        await asyncio.sleep(5.0)
        for step, number, seconds in steps:
            await scenario.apply(step, number, seconds)
        for entry in fleet.entries:
            entry.is_cut_off_ = False
        await asyncio.sleep(BOUND_S)
        now = asyncio.get_running_loop().time()
        found = scenario.faults(now + LAPSE_S)
        fleet.stop()
        return found

    return run_simulated(run())


STEPS = st.lists(
    st.tuples(
        st.sampled_from(Step),
        st.integers(0, 9),
        st.sampled_from([0.0, 0.05, 0.3, 1.0, 2.5]),
    ),
    max_size=8,
)


@settings(max_examples=60, deadline=None)
@given(STEPS, st.integers(1, 3), st.integers(0, 2), st.integers(1, 99))
@example(
    # A follower must not trust another one across a restoration.
    [
        (Step.OTHER, 0, 0.3),
        (Step.OTHER, 0, 1.0),
        (Step.LOSE, 2, 2.5),
        (Step.OTHER, 0, 0.0),
        (Step.LEAVE, 0, 0.05),
        (Step.OTHER, 0, 1.0),
    ],
    3,
    2,
    1,
)
def test_entries_know_what_the_store_holds(steps, followers, resting, seed):
    found = run_steps(steps, followers=followers, resting=resting, seed=seed)
    assert found == []
