"""Requests that are all alike are not refused for long because endpoints ended."""

from heapq import heappop, heappush
from itertools import count
from random import Random
from types import SimpleNamespace

import pytest

from leadford.common import EndpointId
from leadford.quarantine import RequestDigest
from leadford_server.quarantine import RequestQuarantine

POLL = RequestDigest("poll")
POLLS_PER_S = 7.0
ENTRIES = 3
SECONDS = 600.0
WORK_S = 0.3
CRASH_DELAY_S = 0.35
FAULT_AT_S = 60.0


class Model:
    """Simulate callers whose requests are all alike, at entries that share news.

    Each run takes an endpoint of its own. Runs that begin within `fault_s` after
    FAULT_AT_S end their endpoints.
    """

    def __init__(self, *, fault_s, seed):
        self.fault_until = FAULT_AT_S + fault_s
        self.random = Random(seed)
        self.now = 0.0
        self.numbers = count()
        self.events = []
        self.refused = self.ends = 0
        self.entries = [self.new_entry() for _ in range(ENTRIES)]
        for entry in self.entries:
            entry.publish_news = self.tell

    def new_entry(self):
        log = SimpleNamespace(report=lambda event, **fields: None)
        return RequestQuarantine(now=lambda: self.now, random=self.random, log=log)

    def tell(self, news):
        for entry in self.entries:
            entry.apply_news(news)

    def simulate(self):
        at = 0.0
        while at < SECONDS:
            at += self.random.expovariate(POLLS_PER_S)
            heappush(self.events, (at, next(self.numbers), self.begin))
        while self.events:
            self.now, _, event = heappop(self.events)
            event()
        return self

    def begin(self):
        entry = self.random.choice(self.entries)
        if entry.verdict(POLL).refuses:
            self.refused += 1
            return
        is_fault = FAULT_AT_S <= self.now < self.fault_until
        ends_at = self.now + (CRASH_DELAY_S if is_fault else WORK_S)
        number = next(self.numbers)

        def end():
            if not is_fault:
                entry.record_answered(POLL)
                return
            self.ends += 1
            endpoint_id = EndpointId(f"e{number}")
            entry.record_connection_lost(POLL, endpoint_id, is_under_way=False)

        heappush(self.events, (ends_at, number, end))


@pytest.mark.parametrize("seed", range(5))
def test_requests_alike_are_served_again_soon_after_endpoints_ended_under_them(seed):
    model = Model(fault_s=2.0, seed=seed).simulate()
    assert model.ends >= 3
    assert model.refused <= 16 * POLLS_PER_S


@pytest.mark.parametrize("seed", range(5))
def test_a_request_that_was_answered_before_it_ended_endpoints_is_soon_refused(seed):
    model = Model(fault_s=SECONDS, seed=seed).simulate()
    # Three ends and what was under way then, and the same for one trial.
    assert 3 <= model.ends <= 12


def test_a_request_that_was_never_answered_is_refused_after_three_ends():
    model = Model(fault_s=SECONDS, seed=1)
    model.now = FAULT_AT_S
    entry = model.entries[0]
    for number in range(3):
        endpoint_id = EndpointId(f"e{number}")
        entry.record_connection_lost(POLL, endpoint_id, is_under_way=False)
    for other in model.entries:
        assert other.verdict(POLL).refuses
        assert other.verdict(POLL).retry_after_s == 600.0
    model.now += 599.0
    assert all(other.verdict(POLL).refuses for other in model.entries)
