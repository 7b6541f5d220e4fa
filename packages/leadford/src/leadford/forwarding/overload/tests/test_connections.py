"""New connections give way while the event loop is late, and only then."""

import pytest

from leadford.common import EntryId
from leadford.forwarding.overload import (
    MAX_CALM_TURN_S,
    ConnectionAdmission,
    LateCause,
    LinkWaits,
    LoopTurns,
    PeerDelays,
)
from leadford.forwarding.overload._connections import MIN_ADMITTED_PER_S, RECOVERY_S

CAPACITY_PER_S = 200
STEP_S = 0.01
# Each step that a request waits for takes a turn.
TURNS_PER_REQUEST = 8


class SimulatedEntry:
    """Serve connections at a fixed rate; the turns of its loop grow with what waits."""

    def __init__(self):
        self.turns = LoopTurns()
        self.admission = ConnectionAdmission(turns=self.turns)
        self.now = 0.0
        self.waiting = 0.0
        self.read = 0
        self.shed = 0
        self.served = 0.0
        self.max_wait_s = 0.0
        self.due = 0.0

    def run(self, seconds, per_s, capacity_per_s=CAPACITY_PER_S):
        """Offer connections at a rate, and measure a turn in each step."""
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            self.due += per_s * STEP_S
            while self.due >= 1.0:
                self.due -= 1.0
                self._offer()
            done = min(self.waiting, capacity_per_s * STEP_S)
            self.waiting -= done
            self.served += done
            wait_s = self.waiting / capacity_per_s
            self.max_wait_s = max(self.max_wait_s, wait_s)
            self.turns.record(wait_s / TURNS_PER_REQUEST, self.now)
            self.admission.update(self.now)

    def _offer(self):
        if self.admission.admits(self.now):
            self.read += 1
            self.waiting += 1
        else:
            self.shed += 1


def test_all_connections_are_read_while_the_loop_keeps_up():
    entry = SimulatedEntry()
    entry.run(10.0, 0.9 * CAPACITY_PER_S)
    assert entry.shed == 0


@pytest.mark.parametrize("multiple", [1.2, 2.0, 4.0, 8.0])
def test_an_entry_that_gets_more_than_it_bears_serves_nine_tenths_of_it(multiple):
    entry = SimulatedEntry()
    entry.run(1.0, 0.5 * CAPACITY_PER_S)
    served = entry.served
    entry.run(8.0, multiple * CAPACITY_PER_S)
    assert entry.served - served >= 0.9 * 8.0 * CAPACITY_PER_S
    # Nothing waits for long, so what is read is still wanted when it is served.
    assert entry.max_wait_s < 0.6


def test_the_rate_follows_an_entry_that_becomes_slower():
    entry = SimulatedEntry()
    entry.run(2.0, 150)
    entry.run(4.0, 150, capacity_per_s=40)
    assert entry.waiting < 40
    entry.run(RECOVERY_S + 4.0, 20)
    shed = entry.shed
    entry.run(3.0, 150)
    assert entry.shed == shed


def test_some_connections_are_read_however_late_the_loop_is():
    turns = LoopTurns()
    admission = ConnectionAdmission(turns=turns)
    read = 0
    for number in range(1_000):
        now = number * STEP_S
        turns.record(1.0, now)
        admission.update(now)
        read += admission.admits(now) and now > 2.0
    assert 0.8 * MIN_ADMITTED_PER_S <= read / 8.0 <= 1.2 * MIN_ADMITTED_PER_S


def test_a_loop_that_was_held_up_once_closes_no_connection():
    turns = LoopTurns()
    admission = ConnectionAdmission(turns=turns)
    for number, turn_s in enumerate([0.0, 0.0, 2.0, 0.0, 0.0]):
        turns.record(turn_s, float(number))
        admission.update(float(number))
        assert admission.admits(float(number))


def test_a_full_link_lowers_the_rate_as_well_but_not_below_the_usual_one():
    link = LinkWaits()
    admission = ConnectionAdmission(turns=LoopTurns(), link=link)
    now = 0.0
    # 20 a second for a minute, then 100 a second while the link is full.
    for _ in range(1_200):
        now += 0.05
        assert admission.admits(now)
    read = 0
    for number in range(1_000):
        now += 0.01
        if number % 10 == 0:
            for peer_id in (EntryId("a"), EntryId("b")):
                link.begin(peer_id, now)
                link.end(peer_id, 0.5 if number > 0 else 0.001)
        admission.update(now)
        read += admission.admits(now) and number >= 200
    assert 15.0 <= read / 8.0 <= 25.0


def test_kept_connections_are_closed_only_while_new_ones_are():
    turns = LoopTurns()
    admission = ConnectionAdmission(turns=turns)
    assert not admission.closes_kept(0.0)
    for _ in range(3):
        turns.record(2 * MAX_CALM_TURN_S, 0.0)
    admission.update(0.0)
    while admission.admits(0.1):
        pass
    assert admission.closes_kept(0.2)
    assert not admission.closes_kept(2.0)


def test_what_waits_is_closed_unread_until_an_entry_that_was_late_has_recovered():
    # An entry that was on time for one turn read all that waited, and answered it late.
    entry = SimulatedEntry()
    entry.run(1.0, 0.5 * CAPACITY_PER_S)
    assert entry.admission.reads_waiting
    entry.run(2.0, 4.0 * CAPACITY_PER_S)
    entry.turns.last_.clear()
    assert not entry.turns.is_late
    assert not entry.admission.reads_waiting
    entry.run(2.0 * RECOVERY_S + 4.0, 0.2 * CAPACITY_PER_S)
    assert entry.admission.reads_waiting


PEER = EntryId("peer")
# Turns that other processes fill: long, with little work of the entry's own.
HELD_UP_TURN_S = 0.03
WORKED_S = 0.004


class HeldUpEntry:
    """Have an entry whose loop is held up, and a peer that is late for some time."""

    def __init__(self):
        self.turns = LoopTurns()
        self.peers = PeerDelays()
        self.admission = ConnectionAdmission(turns=self.turns, peers=self.peers)
        self.now = 0.0

    def run(self, seconds, peer_fraction):
        """Offer 50 connections a second; return how many were not admitted."""
        shed = self.admission.shed_count_
        for _ in range(round(seconds / HELD_UP_TURN_S)):
            self.turns.begin(self.now)
            self.now += HELD_UP_TURN_S
            self.turns.record(HELD_UP_TURN_S, self.now, worked_s=WORKED_S)
            self.peers.record_own(self.turns.delay_fraction_)
            self.peers.record(PEER, peer_fraction, self.now)
            self.admission.update(self.now)
            for _ in range(round(50 * HELD_UP_TURN_S)):
                self.admission.admits(self.now)
        return self.admission.shed_count_ - shed


def test_an_entry_that_others_hold_up_closes_connections_though_all_are_late():
    # Its callers found nobody better, and were closed unread everywhere.
    entry = HeldUpEntry()
    assert entry.run(8.0, peer_fraction=0.8) == 0
    assert entry.admission.is_late(entry.now)


def test_an_entry_that_is_held_up_alone_leaves_callers_to_others():
    entry = HeldUpEntry()
    assert entry.run(8.0, peer_fraction=0.0) > 100
    assert entry.admission.cause_ is LateCause.HELD_UP
    # Once the others are late as well, it reads all again at once.
    entry.run(0.1, peer_fraction=0.8)
    assert entry.run(4.0, peer_fraction=0.8) == 0


def test_an_entry_with_more_work_than_it_bears_closes_connections_beside_late_ones():
    entry = HeldUpEntry()
    for number in range(3):
        entry.turns.record(0.08, number * 0.1, worked_s=2 * MAX_CALM_TURN_S)
    entry.peers.record(PEER, 0.9, 0.3)
    entry.admission.update(0.3)
    assert entry.admission.cause_ is LateCause.OVERLOAD
    assert entry.admission.limit_per_s_ is not None
