"""What ends its endpoints is stopped early, and what merely ran beside it is served.

Plays requests on a model of endpoints: innocents of many lengths, sent where few run or
where their prompts are known, and requests that end whoever runs them, sent again and
again at all entries. An endpoint that ends takes along what runs on it and is back
after a while.
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

# Seconds: until an answer begins, until the first event of one that ends its endpoint
# would come, and until an endpoint is back.
BEGINS_S = 0.4
ENDS_AFTER_S = 0.35
BACK_S = 2.5
# Attempts for each try of a caller, and its tries.
ATTEMPTS = 2
TRIES = 2


class Job:
    """Hold one request, which ends its endpoints or is innocent."""

    def __init__(self, digest, takes_s, *, ends=False, at=0.0):
        self.digest = RequestDigest(digest)
        self.takes_s = takes_s
        self.ends = ends
        self.at = at
        self.left = ATTEMPTS * TRIES
        self.endpoint = None
        self.sent_at = 0.0
        self.run = 0


class Day(msgspec.Struct, frozen=True):
    """Say what a day is made of.

    Units: innocents_per_s a second, copies_s between two copies of a request that ends
    its endpoints, apart_s between two such requests that are new, all in seconds.
    """

    endpoints: int
    innocents_per_s: float
    seconds: float
    ending: int
    copies: int = 20
    copies_s: float = 0.4
    apart_s: float = 12.0


class Play:
    """Play a day and count what becomes of its requests."""

    def __init__(self, day, seed):
        self.day = day
        self.random = Random(seed)
        self.ledger = CrashLedger()
        self.ids = count()
        self.events = []
        self.running = {EndpointId(f"e{n}"): {} for n in range(day.endpoints)}
        self.starts = dict.fromkeys(self.running, 0)
        self.down_until = dict.fromkeys(self.running, 0.0)
        self.refused = self.failed = self.served = 0
        self.ends_by_digest = {}

    def add(self, at, kind, job, run=0):
        heappush(self.events, (at, next(self.ids), kind, job, run))

    def play(self):
        day = self.day
        at = 0.0
        number = 0
        while at < day.seconds:
            at += self.random.expovariate(day.innocents_per_s)
            number += 1
            job = Job(f"innocent-{number}", self.random.expovariate(0.8) + BEGINS_S)
            self.add(at, "send", job)
        for ending in range(day.ending):
            begins = 3.0 + ending * day.apart_s
            for copy in range(day.copies):
                job = Job(f"ending-{ending}", ENDS_AFTER_S, ends=True)
                self.add(begins + copy * day.copies_s, "send", job)
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
            self.refused += not job.ends
            return
        if job.left == 0:
            self.failed += not job.ends
            return
        job.left -= 1
        up = [e for e, until in self.down_until.items() if until <= now]
        suspects = {
            e: sum(self.is_suspect(other, now) for other in self.running[e]) for e in up
        }
        if verdict.action is QuarantineAction.RUN_APART:
            found = choose_apart(suspects, self.random)
        else:
            found = self.usual(job, up)
        if found is None:
            self.add(now + 0.3, "send", job)
            return
        job.endpoint, job.sent_at, job.run = found, now, job.run + 1
        self.running[found][job] = None
        self.add(now + job.takes_s, "end", job, job.run)

    def usual(self, job, up):
        """Return the endpoint with little work of those that know the prompt."""
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
        if not job.ends:
            job.endpoint = None
            self.served += 1
            self.ledger.clear(job.digest)
            return
        lost = [job, *self.running[endpoint]]
        self.running[endpoint] = {}
        self.down_until[endpoint] = now + BACK_S
        self.starts[endpoint] += 1
        self.ends_by_digest[job.digest] = self.ends_by_digest.get(job.digest, 0) + 1
        start = EndpointId(f"{endpoint}.{self.starts[endpoint]}")
        for other in lost:
            other.endpoint = None
            other.run += 1
            is_under_way = now - other.sent_at > BEGINS_S
            case = CrashCase(CaseId(next(self.ids)), other.digest, start, is_under_way)
            self.ledger.record(case, now)
            self.add(now + 0.01, "send", other)


@pytest.mark.parametrize("endpoints", [6, 18, 60])
def test_innocents_beside_requests_that_end_endpoints_are_served(endpoints):
    day = Day(endpoints, innocents_per_s=4.0 * endpoints, seconds=250.0, ending=20)
    played = Play(day, seed=endpoints).play()
    all_innocents = played.served + played.refused + played.failed
    assert played.refused <= all_innocents / 1_000.0
    assert played.failed <= all_innocents / 1_000.0
    assert len(played.ends_by_digest) == day.ending
    assert max(played.ends_by_digest.values()) <= 6


def test_several_that_end_endpoints_at_once_are_told_apart():
    day = Day(18, innocents_per_s=70.0, seconds=120.0, ending=5, apart_s=0.2)
    played = Play(day, seed=1).play()
    assert max(played.ends_by_digest.values()) <= 6
    assert played.refused <= (played.served + played.failed) / 1_000.0


def test_without_such_requests_nothing_is_refused():
    day = Day(18, innocents_per_s=70.0, seconds=60.0, ending=0)
    played = Play(day, seed=1).play()
    assert played.refused == played.failed == 0
