"""A prompt part that crashes endpoints is found; parts that come with it are served.

Simulates a set of endpoints. Harmless prompts hold the first part of their caller and
one of many second parts. Others hold the first part of the same caller and a part that
crashes each endpoint which begins to answer it. An endpoint that crashes loses all that
it runs and restarts after a delay.
"""

from heapq import heappop, heappush
from itertools import count
from random import Random

import msgspec
import pytest

from leadford.common import EndpointId
from leadford.quarantine import (
    UNDER_WAY_S,
    CaseId,
    LostRun,
    PartBlames,
    PartCases,
    PartId,
    PartTrials,
    PromptKeys,
    ProvenParts,
    RequestDigest,
)

ANSWER_BEGINS_S = 0.3
RESTART_S = 4.0
ATTEMPTS = 2
SHARED_PART = PartId("caller-0")


class Job:
    """Hold one request, which crashes its endpoints or is harmless."""

    def __init__(self, number, part_ids, duration_s, *, crashes=False):
        part_ids = tuple(PartId(part_id) for part_id in part_ids)
        self.keys = PromptKeys(RequestDigest(f"digest-{number}"), part_ids)
        self.duration_s = duration_s
        self.crashes = crashes
        self.attempts_left = ATTEMPTS
        self.endpoint = None
        self.run = 0
        self.sent_at = self.begun_at = 0.0


class Scenario(msgspec.Struct, frozen=True):
    """Hold the parameters of a simulation.

    `culprits` are the parts that crash endpoints; `cuts` the number of moments at which
    all connections end, and no endpoint does. Units: per second, and seconds.
    """

    culprits: tuple[str, ...] = ("culprit-0",)
    endpoints: int = 18
    harmless_per_s: float = 30.0
    crashing_per_s: float = 3.0
    seconds: float = 40.0
    first_at: float = 8.0
    cuts: int = 0
    answer_s: float = 0.8


class Simulation:
    """Simulate a scenario and count the outcomes of its requests."""

    def __init__(self, scenario, seed):
        self.scenario = scenario
        self.random = Random(seed)
        self.cases = PartCases()
        self.blames = PartBlames(self.cases)
        self.trials = PartTrials(random=self.random)
        self.proven = ProvenParts()
        self.ids = count()
        self.events = []
        self.running = {f"e{n}": {} for n in range(scenario.endpoints)}
        self.starts = dict.fromkeys(self.running, 0)
        self.down_until = dict.fromkeys(self.running, 0.0)
        self.refused = self.lost = self.served = 0
        self.crashes_by_part = dict.fromkeys(scenario.culprits, 0)
        # Runs of a culprit that began after its fifth crash and 3 s more.
        self.later_runs = 0
        self.fifth_at = {}

    def schedule(self, at, kind, job=None, run=0):
        heappush(self.events, (at, next(self.ids), kind, job, run))

    def simulate(self):
        scenario = self.scenario
        at = 0.0
        while at < scenario.seconds:
            at += self.random.expovariate(scenario.harmless_per_s)
            self.schedule(at, "send", self.harmless_job())
        at = scenario.first_at
        while scenario.culprits and at < scenario.seconds:
            at += self.random.expovariate(scenario.crashing_per_s)
            culprit = self.random.choice(scenario.culprits)
            parts = (SHARED_PART, culprit)
            self.schedule(
                at, "send", Job(next(self.ids), parts, ANSWER_BEGINS_S, crashes=True)
            )
        for cut in range(scenario.cuts):
            self.schedule(scenario.first_at + 3.0 * cut, "cut")
        while self.events:
            at, _, kind, job, run = heappop(self.events)
            if kind == "send":
                self.send(job, at)
            elif kind == "cut":
                self.cut(at)
            elif job.run == run and job.endpoint is not None:
                self.begin(job, at) if kind == "begin" else self.end(job, at)
        return self

    def harmless_job(self):
        caller = self.random.choice((0, 0, 0, 1))
        second = int(self.random.paretovariate(0.7)) % 60
        parts = (f"caller-{caller}", f"part-{caller}-{second}")
        duration_s = ANSWER_BEGINS_S + self.random.expovariate(
            1.0 / self.scenario.answer_s
        )
        return Job(next(self.ids), parts, duration_s)

    def send(self, job, now):
        suspicion = self.blames.suspicion(job.keys, now)
        if self.trials.decide(suspicion, job.keys, now).refuses:
            self.refused += not job.crashes
            return
        if job.attempts_left == 0:
            self.lost += not job.crashes
            return
        up = [name for name, until in self.down_until.items() if until <= now]
        if not up:
            self.schedule(now + 0.2, "send", job)
            return
        job.attempts_left -= 1
        job.run += 1
        job.sent_at = now
        job.endpoint = min(
            up, key=lambda e: (len(self.running[e]), self.random.random())
        )
        self.running[job.endpoint][job] = None
        self.schedule(now + ANSWER_BEGINS_S, "begin", job, job.run)
        self.schedule(now + job.duration_s, "end", job, job.run)

    def begin(self, job, now):
        job.begun_at = now
        if not job.crashes:
            return
        culprit = job.keys.part_ids[-1]
        self.crashes_by_part[culprit] += 1
        if self.crashes_by_part[culprit] == 5:
            self.fifth_at[culprit] = now
        if now - ANSWER_BEGINS_S > self.fifth_at.get(culprit, now) + 3.0:
            self.later_runs += 1
        self.down_until[job.endpoint] = now + RESTART_S
        self.lose_runs(job.endpoint, now)

    def lose_runs(self, endpoint, now):
        self.starts[endpoint] += 1
        start = EndpointId(f"{endpoint}.{self.starts[endpoint]}")
        jobs, self.running[endpoint] = self.running[endpoint], {}
        for job in jobs:
            job.endpoint = None
            proven = self.proven.proven(job.keys.part_ids, now)
            has_begun = job.begun_at >= job.sent_at
            is_under_way = has_begun and now - job.begun_at > UNDER_WAY_S
            case_id = CaseId(next(self.ids))
            run = LostRun(case_id, start, job.keys, proven, is_under_way)
            self.cases.record(run, now)
            self.schedule(now + 0.01, "send", job)

    def cut(self, now):
        for endpoint in self.running:
            self.lose_runs(endpoint, now)

    def end(self, job, now):
        del self.running[job.endpoint][job]
        job.endpoint = None
        self.served += 1
        self.proven.record(job.keys.part_ids, job.begun_at)
        self.cases.clear(job.keys.part_ids, job.begun_at)


MAX_LATER_RUNS = 3


@pytest.mark.parametrize("crashing_per_s", [1.0, 3.0, 10.0])
@pytest.mark.parametrize("endpoints", [6, 18])
def test_one_crashing_part_is_found_beside_harmless_prompts(endpoints, crashing_per_s):
    for seed in range(5):
        scenario = Scenario(
            endpoints=endpoints,
            harmless_per_s=2.0 * endpoints,
            crashing_per_s=crashing_per_s,
        )
        result = Simulation(scenario, seed).simulate()
        assert result.later_runs <= MAX_LATER_RUNS
        assert result.refused <= result.served / 1_000.0


@pytest.mark.parametrize("answer_s", [0.8, 3.0])
@pytest.mark.parametrize("count", [2, 3])
def test_several_crashing_parts_under_one_first_part_are_told_apart(count, answer_s):
    culprits = tuple(f"culprit-{number}" for number in range(count))
    for seed in range(5):
        scenario = Scenario(culprits=culprits, crashing_per_s=6.0, answer_s=answer_s)
        result = Simulation(scenario, seed).simulate()
        assert result.later_runs <= MAX_LATER_RUNS
        assert result.refused <= result.served / 1_000.0


def test_connections_that_all_end_at_once_blame_no_part():
    for seed in range(5):
        scenario = Scenario(culprits=(), cuts=10)
        assert Simulation(scenario, seed).simulate().refused == 0


def test_without_crashes_no_prompt_is_refused():
    scenario = Scenario(culprits=())
    assert Simulation(scenario, seed=1).simulate().refused == 0
