"""Test that requests admitted to a chain of stages in a burst are answered in time.

A simulation in small time steps: requests arrive at one entry in bursts and pass
through three stages in sequence, of which the last one is the bottleneck. Each stage
processes pieces in the order of their arrival. So the backlog of the last stage shrinks
while a request is still in the stages before it.
"""

from collections import deque
from random import Random

import msgspec
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
    priority=1,
)
ENGINE_S = 0.15
STEP_S = 0.01
DURATION_S = 12.0
# Throughput of the last stage.
CAPACITY_REQUESTS_PER_S = (
    ENDPOINTS_BY_SERVICE[LAST] * LIMITS.batch / LIMITS.full_call_s / COUNTS[2]
)
# Time from the start of a burst to the next one, and fraction of it at the higher load.
BURST_INTERVAL_S = 3.0
BURST_FRACTION = 0.5


class Chain:
    """Simulate the queues of three stages and the admission before them."""

    def __init__(self, *, aim_s):
        self.route = msgspec.structs.replace(ROUTE, aim_ms=aim_s * 1_000.0)
        self.backlog = AdmittedBacklog()
        self.admission = ForwardAdmission(
            backlog=self.backlog, reservations=RetryReservations(), random=Random(1)
        )
        self.queues = [deque() for _ in COUNTS]
        self.credit = [0.0 for _ in COUNTS]
        self.response_times_s = []
        self.refused = 0

    def submit(self, number, now):
        capacities = {
            service: StageCapacity(LIMITS, endpoints)
            for service, endpoints in ENDPOINTS_BY_SERVICE.items()
        }
        decision = self.admission.decide(
            request_for(
                self.route,
                COUNTS,
                capacities,
                priority=1,
                fingerprint=f"{number}",
                first_byte_s=ENGINE_S,
                now=now,
            )
        )
        if decision.verdict is Verdict.REFUSE:
            self.refused += 1
            return
        for stage, count in zip(ROUTE.stages, COUNTS, strict=True):
            self.backlog.add(BacklogKey(stage.service_id, 1), count)
        self.queues[0].append((now, now))

    def process(self, now):
        """Process what the endpoints of each stage can in one time step."""
        for number, stage in enumerate(ROUTE.stages):
            per_s = ENDPOINTS_BY_SERVICE[stage.service_id] * LIMITS.batch
            self.credit[number] += per_s / LIMITS.full_call_s * STEP_S
            queue, count = self.queues[number], COUNTS[number]
            ready = sum(1 for _, ready_at in queue if ready_at <= now)
            self.credit[number] = min(self.credit[number], max(count, ready * count))
            while queue and queue[0][1] <= now and self.credit[number] >= count:
                self.credit[number] -= count
                came_at, _ = queue.popleft()
                self.backlog.add(BacklogKey(stage.service_id, 1), -count)
                call_s = LIMITS.duration_ms(count) / 1_000.0
                if number + 1 < len(COUNTS):
                    self.queues[number + 1].append((came_at, now + call_s))
                else:
                    self.response_times_s.append(now + call_s + ENGINE_S - came_at)


def replay(*, quiet, burst, aim_s=3.6):
    """Return the chain after loads given as multiples of the last stage's capacity."""
    chain = Chain(aim_s=aim_s)
    due, number = 0.0, 0
    for step in range(round(DURATION_S / STEP_S)):
        now = step * STEP_S
        load = (
            burst
            if now % BURST_INTERVAL_S < BURST_FRACTION * BURST_INTERVAL_S
            else quiet
        )
        due += load * CAPACITY_REQUESTS_PER_S * STEP_S
        while due >= 1.0:
            due -= 1.0
            number += 1
            chain.submit(number, now)
        chain.process(now)
    return chain


def late(chain):
    return [
        response_s
        for response_s in chain.response_times_s
        if response_s > chain.route.aim_ms / 1_000.0
    ]


def test_a_burst_that_is_admitted_is_answered_in_time():
    chain = replay(quiet=0.3, burst=1.7)
    assert late(chain) == []
    # The admitted requests use most of the capacity of the chain.
    assert len(chain.response_times_s) > 0.9 * CAPACITY_REQUESTS_PER_S * DURATION_S


@pytest.mark.parametrize("load", [1.2, 1.6, 2.5])
def test_beyond_the_capacity_of_the_chain_what_is_admitted_is_in_time(load):
    chain = replay(quiet=load, burst=load)
    assert chain.refused > 0
    assert len(late(chain)) < 0.02 * len(chain.response_times_s)
    assert len(chain.response_times_s) > 0.8 * CAPACITY_REQUESTS_PER_S * DURATION_S


@pytest.mark.parametrize("aim_s", [1.6, 2.0, 3.6])
def test_a_chain_that_keeps_up_refuses_first_tries(aim_s):
    # Pieces on their way to the last stage counted as if they waited there.
    chain = replay(quiet=0.9, burst=0.9, aim_s=aim_s)
    assert chain.refused == 0
    assert late(chain) == []


@pytest.mark.parametrize("aim_s", [1.6, 2.0, 3.6])
@pytest.mark.parametrize("burst", [1.7, 6.0])
def test_a_burst_into_an_idle_chain_is_admitted_for_longer_than_it_can_wait(
    aim_s, burst
):
    # The last stage is idle until the first requests of a burst reach it.
    chain = replay(quiet=0.0, burst=burst, aim_s=aim_s)
    assert late(chain) == []
    # Each burst gets what the last stage can make from its start to its end.
    bursts = DURATION_S / BURST_INTERVAL_S
    burst_s = BURST_FRACTION * BURST_INTERVAL_S
    assert len(chain.response_times_s) > CAPACITY_REQUESTS_PER_S * burst_s * bursts
