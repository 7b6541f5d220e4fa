"""Under a burst before a chain of stages what is admitted is answered in time.

Replays in small steps: requests come to one entry in bursts, and pass three stages in
turn, of which the last one binds. Each stage makes the pieces that came to it first. So
a backlog of the last stage shrinks while a request is still in the stages before it.
"""

from collections import deque
from random import Random

import pytest

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
from leadford.forwarding.batching import AdmittedBacklog, BacklogKey
from leadford.forwarding.routes import ServiceId, StageSpec

FIRST, SECOND, LAST = ServiceId("first"), ServiceId("second"), ServiceId("last")
LIMITS = piece_limits(batch=20, piece_ms=6.0, room_bytes=100_000_000)
COUNTS = (1, 6, 8)
ENDPOINTS_BY_SERVICE = {FIRST: 3, SECOND: 5, LAST: 4}
ROUTE = staged_route(
    StageSpec(FIRST, (), 60_000),
    StageSpec(SECOND, (0,), 20_000),
    StageSpec(LAST, (1,), 5_000),
    timeout_ms=6_000.0,
    aim_ms=3_600.0,
    priority=1,
)
ENGINE_S = 0.15
STEP_S = 0.01
LENGTH_S = 12.0
# Requests that the last stage makes in a second.
CAPACITY = ENDPOINTS_BY_SERVICE[LAST] * LIMITS.batch / LIMITS.full_call_s / COUNTS[2]
# Seconds from the begin of a burst to the next one, and its part at the higher load.
WAVE_S = 3.0
BURST_PART = 0.5


class Chain:
    """Hold the queues of three stages and one admission before them."""

    def __init__(self):
        self.backlog = AdmittedBacklog()
        self.admission = ForwardAdmission(
            backlog=self.backlog, reservations=RetryReservations(), random=Random(1)
        )
        self.queues = [deque() for _ in COUNTS]
        self.credit = [0.0 for _ in COUNTS]
        self.took_s = []
        self.refused = 0

    def ask(self, number, now):
        capacities = {
            service: StageCapacity(LIMITS, endpoints)
            for service, endpoints in ENDPOINTS_BY_SERVICE.items()
        }
        decision = self.admission.decide(
            request_for(
                ROUTE,
                COUNTS,
                capacities,
                priority=1,
                fingerprint=f"{number}",
                engine_s=ENGINE_S,
                now=now,
            )
        )
        if decision.verdict is Verdict.REFUSE:
            self.refused += 1
            return
        for stage, count in zip(ROUTE.stages, COUNTS, strict=True):
            self.backlog.add(BacklogKey(stage.service_id, False), count)
        self.queues[0].append((now, now))

    def make(self, now):
        """Make what the endpoints of each stage can in one step."""
        for number, stage in enumerate(ROUTE.stages):
            per_s = ENDPOINTS_BY_SERVICE[stage.service_id] * LIMITS.batch
            self.credit[number] += per_s / LIMITS.full_call_s * STEP_S
            queue, count = self.queues[number], COUNTS[number]
            ready = sum(1 for _, there_at in queue if there_at <= now)
            self.credit[number] = min(self.credit[number], max(count, ready * count))
            while queue and queue[0][1] <= now and self.credit[number] >= count:
                self.credit[number] -= count
                came_at, _ = queue.popleft()
                self.backlog.add(BacklogKey(stage.service_id, False), -count)
                call_s = LIMITS.duration_ms(count) / 1_000.0
                if number + 1 < len(COUNTS):
                    self.queues[number + 1].append((came_at, now + call_s))
                else:
                    self.took_s.append(now + call_s + ENGINE_S - came_at)


def replay(*, quiet, burst):
    """Return the chain after bursts at so many times the capacity of its last stage."""
    chain = Chain()
    due, number = 0.0, 0
    for step in range(round(LENGTH_S / STEP_S)):
        now = step * STEP_S
        load = burst if now % WAVE_S < BURST_PART * WAVE_S else quiet
        due += load * CAPACITY * STEP_S
        while due >= 1.0:
            due -= 1.0
            number += 1
            chain.ask(number, now)
        chain.make(now)
    return chain


def late(chain):
    return [took for took in chain.took_s if took > ROUTE.aim_ms / 1_000.0]


def test_a_burst_that_is_admitted_is_answered_in_time():
    chain = replay(quiet=0.3, burst=1.7)
    assert late(chain) == []
    # What is admitted is most of what the chain could make.
    assert len(chain.took_s) > 0.9 * CAPACITY * LENGTH_S


@pytest.mark.parametrize("load", [1.2, 1.6, 2.5])
def test_beyond_the_capacity_of_the_chain_what_is_admitted_is_in_time(load):
    chain = replay(quiet=load, burst=load)
    assert chain.refused > 0
    assert len(late(chain)) < 0.02 * len(chain.took_s)
    assert len(chain.took_s) > 0.8 * CAPACITY * LENGTH_S
