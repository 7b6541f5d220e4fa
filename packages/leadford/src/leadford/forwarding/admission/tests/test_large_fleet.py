"""A load beyond what a stage can make, spread over many entries, is admitted in time.

Replays in small steps: requests come to 60 entries in turn, which know what heartbeats
of 0.2 s tell them. Four of them hear everybody, the others hear those four and two
neighbours. One stage binds; it makes the pieces that were admitted first.
"""

from random import Random

import pytest

from leadford.common import EntryId
from leadford.forwarding.admission import (
    ForwardAdmission,
    RetryReservations,
    StageCapacity,
    Verdict,
)
from leadford.forwarding.admission.tests.conftest import (
    piece_limits,
    request_for,
    staged_route,
)
from leadford.forwarding.batching import AdmittedBacklog, BacklogKey, Throughput
from leadford.forwarding.routes import ServiceId, StageSpec

SERVICE = ServiceId("stage")
KEY = BacklogKey(SERVICE, False)
LIMITS = piece_limits(batch=16, piece_ms=11.0, room_bytes=100_000_000)
ROUTE = staged_route(
    StageSpec(SERVICE, (), 60_000), timeout_ms=6_000.0, aim_ms=3_100.0, priority=1
)
ENTRIES = 60
HUBS = 4
ENDPOINTS = 6
PIECES = 6
ENGINE_S = 0.1
STEP_S = 0.01
HEARTBEAT_STEPS = 20
LENGTH_S = 10.0
# What all endpoints make in a second.
CAPACITY = ENDPOINTS * LIMITS.batch / LIMITS.full_call_s


class Fleet:
    """Hold the backlogs of all entries, and the one queue of the stage."""

    def __init__(self, *, tells_sum, slowness=1.0, tells_rate=False):
        self.tells_sum = tells_sum
        self.slowness = slowness
        self.tells_rate = tells_rate
        self.throughput = Throughput()
        self.backlogs = [AdmittedBacklog() for _ in range(ENTRIES)]
        self.admissions = [
            ForwardAdmission(
                backlog=backlog, reservations=RetryReservations(), random=Random(1)
            )
            for backlog in self.backlogs
        ]
        self.queue = []
        self.made = 0.0
        self.took_s = []
        self.expected_s = []
        self.refused = 0

    def hears(self, number):
        """Return the entries that one hears."""
        if number < HUBS:
            return [other for other in range(ENTRIES) if other != number]
        near = [(number + step) % ENTRIES for step in (-2, -1, 1, 2)]
        return sorted(({*range(HUBS)} | {*near}) - {number})

    def beat(self, number, now):
        """Have one entry hear all that it has links with."""
        backlog = self.backlogs[number]
        for other in self.hears(number):
            said = self.backlogs[other].say()
            backlog.record_heard(EntryId(f"e{other}"), said, now)
            if self.tells_sum and other < HUBS:
                told = self.backlogs[other].sum(SERVICE, now)
                backlog.record_sum(SERVICE, told, now)
        if self.tells_rate:
            backlog.record_rate(SERVICE, self.throughput.rate(now), now)

    def ask(self, number, now):
        """Have a request come to an entry."""
        decision = self.admissions[number].decide(
            request_for(
                ROUTE,
                (PIECES,),
                {SERVICE: StageCapacity(LIMITS, ENDPOINTS)},
                priority=1,
                fingerprint=f"{number} {now}",
                engine_s=ENGINE_S,
                now=now,
            )
        )
        self.expected_s.append(decision.expected_s)
        if decision.verdict is Verdict.REFUSE:
            self.refused += 1
            return
        self.backlogs[number].add(KEY, PIECES)
        self.queue.append((number, now))

    def make(self, now):
        """Make what the endpoints can in one step."""
        made = CAPACITY / self.slowness * STEP_S
        self.made = min(self.made + made, len(self.queue) * PIECES)
        while self.queue and self.made >= PIECES:
            self.made -= PIECES
            number, came_at = self.queue.pop(0)
            self.backlogs[number].add(KEY, -PIECES)
            for _ in range(PIECES):
                self.throughput.record_made(is_urgent=False)
            self.took_s.append(now - came_at + LIMITS.full_call_s + ENGINE_S)


def replay(*, load, tells_sum, slowness=1.0, tells_rate=False):
    """Return the fleet after requests came at so many times the capacity."""
    fleet = Fleet(tells_sum=tells_sum, slowness=slowness, tells_rate=tells_rate)
    random = Random(3)
    due = 0.0
    for step in range(round(LENGTH_S / STEP_S)):
        now = step * STEP_S
        if step % HEARTBEAT_STEPS == 0:
            waiting = len(fleet.queue) * PIECES
            full_round = ENDPOINTS * LIMITS.batch
            fleet.throughput.sample(waiting=waiting, full_round=full_round, now=now)
        for number in range(ENTRIES):
            if step % HEARTBEAT_STEPS == number % HEARTBEAT_STEPS:
                fleet.beat(number, now)
        due += load * CAPACITY / PIECES * STEP_S
        while due >= 1.0:
            due -= 1.0
            fleet.ask(random.randrange(ENTRIES), now)
        fleet.make(now)
    return fleet


def in_time_part(fleet):
    """Return the part of what the stage can make that was answered in time."""
    in_time = sum(1 for took_s in fleet.took_s if took_s <= ROUTE.aim_ms / 1_000.0)
    return in_time * PIECES / (CAPACITY * LENGTH_S)


@pytest.mark.parametrize("load", [1.3, 2.0, 3.0])
def test_beyond_its_capacity_a_stage_serves_what_it_can_in_time(load):
    fleet = replay(load=load, tells_sum=True)
    assert in_time_part(fleet) > 0.9
    assert max(fleet.took_s) < 1.1 * ROUTE.aim_ms / 1_000.0


def test_entries_that_count_only_what_they_hear_admit_too_much():
    fleet = replay(load=2.0, tells_sum=False)
    assert in_time_part(fleet) < 0.6


def late_part(fleet):
    """Return the part of the answers that came too late."""
    late = [took_s for took_s in fleet.took_s if took_s > ROUTE.aim_ms / 1_000.0]
    return len(late) / len(fleet.took_s)


def test_a_stage_slower_than_configured_is_admitted_to_by_what_it_makes():
    slow = {"load": 1.2, "tells_sum": True, "slowness": 2.0}
    assert late_part(replay(**slow)) > 0.4
    assert late_part(replay(**slow, tells_rate=True)) < 0.05


def test_a_load_that_the_stage_bears_is_not_turned_away():
    assert replay(load=0.8, tells_sum=True).refused == 0


def test_a_short_queue_serves_as_many_and_leaves_time_to_come_back():
    fleet = replay(load=2.0, tells_sum=True)
    assert in_time_part(fleet) > 0.9
    steady = sorted(fleet.took_s[len(fleet.took_s) // 2 :])
    median_s = steady[len(steady) // 2]
    # A caller that was refused once and comes back after 0.8 s is in time too.
    assert median_s + 0.8 < ROUTE.aim_ms / 1_000.0
