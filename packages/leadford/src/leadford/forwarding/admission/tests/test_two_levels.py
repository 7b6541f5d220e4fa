"""Test that services that are not contended are judged as with two levels.

A sequence of requests is drawn, and each decision is compared, bit for bit, with the
rule of two levels written out here.
"""

from random import Random

import pytest

from leadford.forwarding.admission import (
    ForwardAdmission,
    RetryReservations,
    StageCapacity,
    Verdict,
)
from leadford.forwarding.admission._forecast import LESS_URGENT_FRACTION
from leadford.forwarding.admission._limits import (
    DEADLINE_FRACTION,
    MIN_SLACK_FRACTION_URGENT,
    SLACK_FRACTION_LESS_URGENT,
    SLACK_FRACTION_STEP,
    SLACK_FRACTION_URGENT,
)
from leadford.forwarding.admission.tests.conftest import (
    piece_limits,
    request_for,
    staged_route,
)
from leadford.forwarding.batching import AdmittedBacklog, BacklogKey, ThroughputRate
from leadford.forwarding.routes import RouteLevels, ServiceId, StageSpec

SERVICES = (ServiceId("first"), ServiceId("second"))
LIMITS = piece_limits(room_bytes=10**9)
ENDPOINTS = 3
RATE = ThroughputRate(70.3, 31.7)
FIRST_BYTE_S = 0.13


def two_level_rule(route, priority, counts, urgent, less_urgent, is_behind):
    """Return whether a first try is admitted, and its expected response time.

    `urgent` and `less_urgent` hold the admitted pieces of each service.
    """
    path_s, longest_s = 0.0, 0.0
    full_call_s = LIMITS.full_call_s
    for stage, count in zip(route.stages, counts, strict=True):
        if count == 0:
            continue
        rounds = -(-count // (LIMITS.batch * ENDPOINTS))
        service = stage.service_id
        # A call lasts for all pieces in it, of the requests that have come so far.
        held = urgent[service] + less_urgent[service]
        others = held * (full_call_s / (path_s + full_call_s)) / ENDPOINTS
        alone_s = rounds * LIMITS.duration_ms(min(LIMITS.batch, count)) / 1_000.0
        called = min(LIMITS.batch, count + others)
        calls_s = rounds * LIMITS.duration_ms(called) / 1_000.0
        start_s = path_s
        path_s += calls_s
        pieces = float(urgent[service] + less_urgent[service])
        waiting, per_s = less_urgent[service], RATE.less_urgent
        if route.priority == 0:
            pieces = urgent[service] + less_urgent[service] * LESS_URGENT_FRACTION
            waiting, per_s = urgent[service], RATE.pieces
        piece_s = LIMITS.full_call_s / LIMITS.batch
        held_s = LIMITS.full_call_s + max(0.2, 1.5 * LIMITS.full_call_s)
        if stage is route.stages[-1] or counts[1] == 0:
            held_s = LIMITS.full_call_s + 0.2
        piece_s = max(piece_s, stage.result_bytes * held_s / LIMITS.room_bytes)
        drain_s = waiting / per_s if is_behind else 0.0
        # The stage computes its backlog until the request reaches it.
        delay_s = max(0.0, max(pieces * piece_s / ENDPOINTS, drain_s) - start_s)
        longest_s = max(longest_s, delay_s - (calls_s - alone_s))
    least_s = 0.0 + path_s + FIRST_BYTE_S
    fraction = SLACK_FRACTION_LESS_URGENT
    if route.priority == 0:
        fraction = max(
            MIN_SLACK_FRACTION_URGENT,
            SLACK_FRACTION_URGENT - SLACK_FRACTION_STEP * priority,
        )
    limit_s = least_s + fraction * max(0.0, route.aim_ms / 1_000.0 - least_s)
    limit_s = min(limit_s, DEADLINE_FRACTION * route.timeout_ms / 1_000.0)
    expected_s = least_s + longest_s + 0.0
    return expected_s <= limit_s, expected_s


def route_of(priority, aim_s):
    stages = [StageSpec(SERVICES[0], (), 9_000), StageSpec(SERVICES[1], (0,), 5_000)]
    return staged_route(*stages, priority=priority, aim_ms=aim_s * 1_000.0)


@pytest.mark.parametrize("is_behind", [False, True])
@pytest.mark.parametrize("seed", range(3))
def test_drawn_requests_are_decided_as_with_two_levels(seed, is_behind):
    random = Random(seed)
    backlog = AdmittedBacklog()
    admission = ForwardAdmission(
        backlog=backlog, reservations=RetryReservations(), random=Random(1)
    )
    capacities = {name: StageCapacity(LIMITS, ENDPOINTS) for name in SERVICES}
    held = {0: dict.fromkeys(SERVICES, 0), 1: dict.fromkeys(SERVICES, 0)}
    if is_behind:
        for service in SERVICES:
            backlog.record_rate(service, RATE, 0.0)
    verdicts = []
    for number in range(600):
        route = route_of(random.choice([0, 0, 1, 2, 7]), random.uniform(1.2, 5.0))
        priority = random.choice([0, 1, 2, 5, route.priority])
        counts = (random.randrange(4), random.randrange(9))
        expected = two_level_rule(route, priority, counts, held[0], held[1], is_behind)
        decision = admission.decide(
            request_for(
                route,
                counts,
                capacities,
                priority=priority,
                fingerprint=f"{number}",
                first_byte_s=FIRST_BYTE_S,
                # Another service is contended, which changes nothing here.
                contended_ids=random.choice([frozenset(), frozenset({"other"})]),
            )
        )
        assert (decision.verdict is Verdict.ADMIT, decision.expected_s) == expected
        verdicts.append(decision.verdict)
        levels = RouteLevels.from_route(route, ())
        for stage, count in zip(route.stages, counts, strict=True):
            service = stage.service_id
            level = levels.level(service)
            change = count if decision.verdict is Verdict.ADMIT else 0
            change -= min(held[level][service] + change, random.randrange(4))
            held[level][service] += change
            backlog.add(BacklogKey(service, level), change)
    assert 100 < verdicts.count(Verdict.REFUSE) < 500
