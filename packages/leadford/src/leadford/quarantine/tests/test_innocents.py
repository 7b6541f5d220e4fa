"""Requests that crash endpoints are stopped early; those that ran beside them are not.

Simulates a set of endpoints. Harmless requests of many durations go to endpoints with
low load or with a known prompt. Requests that crash every endpoint that runs them are
sent repeatedly. An endpoint that crashes loses all the requests that it runs and
restarts after a delay.
"""

from heapq import heappop, heappush
from itertools import count
from random import Random

import msgspec
import pytest

from leadford.common import EndpointId
from leadford.quarantine import (
    CaseId,
    CrashCase,
    CrashLedger,
    QuarantineAction,
    RequestDigest,
    choose_apart,
    decide_quarantine,
)

# Seconds until an answer begins, until a crashing request ends its endpoint, and until
# a crashed endpoint is available again.
ANSWER_BEGINS_S = 0.4
CRASH_DELAY_S = 0.35
RESTART_S = 2.5
ATTEMPTS_PER_TRY = 2
TRIES_PER_REQUEST = 2


class Job:
    """Hold one request, which crashes its endpoints or is harmless."""

    def __init__(self, digest, duration_s, *, crashes=False, at=0.0):
        self.digest = RequestDigest(digest)
        self.duration_s = duration_s
        self.crashes = crashes
        self.at = at
        self.attempts_left = ATTEMPTS_PER_TRY * TRIES_PER_REQUEST
        self.endpoint = None
        self.sent_at = 0.0
        self.run = 0


class Scenario(msgspec.Struct, frozen=True):
    """Hold the parameters of a simulation.

    Units: harmless_per_s in requests per second; seconds, the duration;
    copy_interval_s between two copies of a crashing request, and crashing_interval_s
    between the first copies of two different ones, all in seconds.
    """

    endpoints: int
    harmless_per_s: float
    seconds: float
    crashing: int
    copies: int = 20
    copy_interval_s: float = 0.4
    crashing_interval_s: float = 12.0


class Simulation:
    """Simulate a scenario and count the outcomes of its requests."""

    def __init__(self, scenario, seed):
        self.scenario = scenario
        self.random = Random(seed)
        self.ledger = CrashLedger()
        self.ids = count()
        self.events = []
        self.running = {EndpointId(f"e{n}"): {} for n in range(scenario.endpoints)}
        self.starts = dict.fromkeys(self.running, 0)
        self.down_until = dict.fromkeys(self.running, 0.0)
        self.refused = self.failed = self.served = 0
        self.ends_by_digest = {}

    def schedule(self, at, kind, job, run=0):
        heappush(self.events, (at, next(self.ids), kind, job, run))

    def simulate(self):
        scenario = self.scenario
        at = 0.0
        number = 0
        while at < scenario.seconds:
            at += self.random.expovariate(scenario.harmless_per_s)
            number += 1
            job = Job(
                f"innocent-{number}", self.random.expovariate(0.8) + ANSWER_BEGINS_S
            )
            self.schedule(at, "send", job)
        for crashing in range(scenario.crashing):
            first_at = 3.0 + crashing * scenario.crashing_interval_s
            for copy in range(scenario.copies):
                job = Job(f"ending-{crashing}", CRASH_DELAY_S, crashes=True)
                self.schedule(first_at + copy * scenario.copy_interval_s, "send", job)
        while self.events:
            at, _, kind, job, run = heappop(self.events)
            if kind == "send":
                self.send(job, at)
            elif job.run == run and job.endpoint is not None:
                self.end(job, at)
        return self

    def send(self, job, now):
        verdict = decide_quarantine(self.ledger.suspicion(job.digest), now)
        if verdict.refuses:
            self.refused += not job.crashes
            return
        if job.attempts_left == 0:
            self.failed += not job.crashes
            return
        job.attempts_left -= 1
        up = [e for e, until in self.down_until.items() if until <= now]
        suspects = {
            e: sum(self.is_suspect(other, now) for other in self.running[e]) for e in up
        }
        if verdict.action is QuarantineAction.RUN_APART:
            found = choose_apart(suspects, self.random)
        else:
            found = self.choose_usual(job, up)
        if found is None:
            self.schedule(now + 0.3, "send", job)
            return
        job.endpoint, job.sent_at, job.run = found, now, job.run + 1
        self.running[found][job] = None
        self.schedule(now + job.duration_s, "end", job, job.run)

    def choose_usual(self, job, up):
        """Return the least loaded of the endpoints that know the prompt."""
        known = [
            e for e in up if (int(job.digest.split("-")[1]) + int(e[1:])) % 3 == 0
        ] or up
        return min(known, key=lambda e: len(self.running[e]), default=None)

    def is_suspect(self, job, now):
        verdict = decide_quarantine(self.ledger.suspicion(job.digest), now)
        return verdict.action is not QuarantineAction.RUN

    def end(self, job, now):
        endpoint = job.endpoint
        self.running[endpoint].pop(job)
        if not job.crashes:
            job.endpoint = None
            self.served += 1
            self.ledger.clear(job.digest)
            return
        lost = [job, *self.running[endpoint]]
        self.running[endpoint] = {}
        self.down_until[endpoint] = now + RESTART_S
        self.starts[endpoint] += 1
        self.ends_by_digest[job.digest] = self.ends_by_digest.get(job.digest, 0) + 1
        start = EndpointId(f"{endpoint}.{self.starts[endpoint]}")
        for other in lost:
            other.endpoint = None
            other.run += 1
            is_under_way = now - other.sent_at > ANSWER_BEGINS_S
            case = CrashCase(CaseId(next(self.ids)), other.digest, start, is_under_way)
            self.ledger.record(case, now)
            self.schedule(now + 0.01, "send", other)


@pytest.mark.parametrize("endpoints", [6, 18, 60])
def test_innocents_beside_requests_that_end_endpoints_are_served(endpoints):
    scenario = Scenario(
        endpoints, harmless_per_s=4.0 * endpoints, seconds=250.0, crashing=20
    )
    result = Simulation(scenario, seed=endpoints).simulate()
    harmless_count = result.served + result.refused + result.failed
    assert result.refused <= harmless_count / 1_000.0
    assert result.failed <= harmless_count / 1_000.0
    assert len(result.ends_by_digest) == scenario.crashing
    assert max(result.ends_by_digest.values()) <= 6


def test_several_that_end_endpoints_at_once_are_told_apart():
    scenario = Scenario(
        18, harmless_per_s=70.0, seconds=120.0, crashing=5, crashing_interval_s=0.2
    )
    result = Simulation(scenario, seed=1).simulate()
    assert max(result.ends_by_digest.values()) <= 6
    assert result.refused <= (result.served + result.failed) / 1_000.0


def test_without_such_requests_nothing_is_refused():
    scenario = Scenario(18, harmless_per_s=70.0, seconds=60.0, crashing=0)
    result = Simulation(scenario, seed=1).simulate()
    assert result.refused == result.failed == 0
