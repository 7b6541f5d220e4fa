"""A late entry leaves the scheduling of groups to others, and does not flap."""

import pytest

from leadford.forwarding.overload import ScheduleHandover
from leadford.forwarding.overload._handover import MAX_ON_TIME_S, MIN_ON_TIME_S

STEP_S = 0.02
# Time within which an entry that is late all the time must have handed over.
MAX_YIELD_S = 0.3


class SimulatedEntry:
    """Update the handover once each step, and count its changes."""

    def __init__(self):
        self.handover = ScheduleHandover()
        self.now = 0.0
        self.changes = 0

    def run(self, seconds, *, lags=False, recovers=False):
        """Run for a time; `lags` says for each moment whether the entry lags."""
        until = self.now + seconds
        while self.now < until:
            self.now += STEP_S
            before = self.handover.is_yielding_
            is_late = lags(self.now) if callable(lags) else lags
            self.handover.update(self.now, lags=is_late, recovers=recovers)
            self.changes += self.handover.is_yielding_ != before

    @property
    def yields(self):
        return self.handover.is_yielding_


def test_a_late_entry_yields_soon_and_takes_back_after_some_seconds_on_time():
    entry = SimulatedEntry()
    entry.run(10.0)
    assert not entry.yields
    entry.run(MAX_YIELD_S, lags=True)
    assert entry.yields
    entry.run(MIN_ON_TIME_S - 0.1)
    assert entry.yields
    entry.run(0.2)
    assert not entry.yields


def test_an_entry_that_is_late_at_times_within_each_second_yields_once():
    entry = SimulatedEntry()
    entry.run(30.0, lags=lambda now: now % 0.2 < 0.1)
    assert entry.yields
    assert entry.changes == 1


@pytest.mark.parametrize("late_s", [0.04, 0.1])
def test_one_short_delay_moves_no_role(late_s):
    entry = SimulatedEntry()
    entry.run(60.0, lags=lambda now: now % 3.0 < late_s)
    assert entry.changes == 0


def test_an_entry_that_still_refuses_callers_does_not_take_back():
    entry = SimulatedEntry()
    entry.run(1.0, lags=True)
    entry.run(4 * MIN_ON_TIME_S, recovers=True)
    assert entry.yields
    entry.run(MIN_ON_TIME_S + 0.1)
    assert not entry.yields


def test_an_entry_that_the_role_makes_late_takes_it_back_ever_more_rarely():
    entry = SimulatedEntry()
    for _ in range(600):
        entry.run(1.0, lags=not entry.yields)
    # With the shortest wait it would change 200 times.
    assert entry.changes <= 30
    # Long after the last relapse the wait is short again.
    entry.run(MAX_ON_TIME_S + 1.0)
    entry.run(MAX_ON_TIME_S + 1.0)
    entry.run(MAX_YIELD_S, lags=True)
    entry.run(MIN_ON_TIME_S + 0.1)
    assert not entry.yields


def test_a_process_that_was_held_up_counts_as_late_for_one_step_only():
    entry = SimulatedEntry()
    entry.run(1.0)
    entry.now += 30.0
    entry.run(STEP_S, lags=True)
    entry.run(1.0)
    assert entry.changes == 0
