"""Entries share what was running at a crash, each peer as far as its build knows it."""

from random import Random
from types import SimpleNamespace

import pytest

from leadford.common import EndpointId, EntryId
from leadford.protocol import (
    PROTOCOL_ORIGINS,
    PROTOCOL_PROMPTS,
    CrashNews,
    LostRunReport,
    PromptNews,
)
from leadford.quarantine import PartId, PromptKeys, QuarantineAction, RequestDigest
from leadford_server.forwarding.membership._crashes import CrashExchanges
from leadford_server.quarantine import PromptQuarantine, RequestQuarantine


class Peer:
    """Stand in for a link; keeps what is sent over it."""

    def __init__(self, protocol_version):
        self.info = SimpleNamespace(protocol_version=protocol_version)
        self.sent_ = []

    def send(self, message):
        self.sent_.append(message)


class Entry:
    """Hold the exchanges of one entry and its two peers, of an older and this build."""

    def __init__(self, *, forwards=False):
        log = SimpleNamespace(report=lambda event, **fields: None)
        fields = {"now": lambda: self.now, "random": Random(1), "log": log}
        self.now = 10.0
        self.scheduled_ = []
        self.older, self.same = Peer(PROTOCOL_ORIGINS), Peer(PROTOCOL_PROMPTS)
        self.state = SimpleNamespace(
            quarantine_=RequestQuarantine(**fields),
            prompt_quarantine_=PromptQuarantine(**fields),
            loop=SimpleNamespace(call_soon=self.scheduled_.append),
        )
        peers = {EntryId("older"): self.older, EntryId("same"): self.same}
        self.exchanges = CrashExchanges(
            state=self.state, peers_by_id=peers, forwards_news=lambda: forwards
        )

    def flush(self):
        """Run what was scheduled for the end of the event loop iteration."""
        while self.scheduled_:
            self.scheduled_.pop()()


def keys(digest, *parts):
    return PromptKeys(RequestDigest(digest), tuple(map(PartId, parts)))


def lose(entry, endpoint, prompt):
    """Record a lost run as the request path does."""
    state = entry.state
    endpoint_id = EndpointId(endpoint)
    state.quarantine_.record_connection_lost(
        prompt.digest, endpoint_id, is_under_way=False
    )
    state.prompt_quarantine_.record_connection_lost(
        prompt, endpoint_id, answering_s=0.0
    )


def run_report(number, part, endpoint):
    return LostRunReport(number, f"digest-{number}", endpoint, ["shared", part])


def test_prompt_parts_are_told_to_peers_that_know_the_message():
    entry = Entry()
    lose(entry, "one", keys("a", "shared", "bad"))
    entry.flush()
    assert [type(message) for message in entry.older.sent_] == [CrashNews]
    assert {type(message) for message in entry.same.sent_} == {CrashNews, PromptNews}


@pytest.mark.parametrize("forwards", [True, False])
def test_only_news_that_is_new_is_forwarded(forwards):
    entry = Entry(forwards=forwards)
    news = PromptNews(lost=[run_report(1, "bad", "one")])
    handler = entry.exchanges.handlers()[PromptNews]
    handler(entry.same, news)
    handler(entry.same, news)
    entry.flush()
    assert entry.same.sent_ == ([news] if forwards else [])


def test_a_new_peer_is_told_all_that_is_needed_to_refuse_a_part():
    entry = Entry()
    for number in range(3):
        lose(entry, f"endpoint-{number}", keys(f"d{number}", "shared", "bad"))
        entry.now += 1.0
    newcomer = Peer(PROTOCOL_PROMPTS)
    entry.exchanges.send_known(newcomer)
    older = Peer(PROTOCOL_ORIGINS)
    entry.exchanges.send_known(older)
    assert [type(message) for message in older.sent_] == [CrashNews]
    [known] = [m for m in newcomer.sent_ if isinstance(m, PromptNews)]
    other = Entry()
    other.now = 1_000.0
    other.state.prompt_quarantine_.apply_news(known)
    verdict = other.state.prompt_quarantine_.verdict(keys("new", "shared", "bad"))
    assert verdict.action is QuarantineAction.REFUSE


def test_an_answer_told_by_a_peer_clears_its_parts():
    entry, other = Entry(), Entry()
    reports = [run_report(number, "bad", f"e{number}") for number in range(3)]
    for number, report in enumerate(reports):
        entry.now = other.now = 10.0 + number
        for quarantine in (entry, other):
            quarantine.state.prompt_quarantine_.apply_news(PromptNews(lost=[report]))
    entry.now = other.now = 14.0
    answered = keys("sound", "shared", "other")
    entry.state.prompt_quarantine_.record_answered(answered, begun_at=13.0)
    entry.flush()
    [news] = entry.same.sent_
    other.state.prompt_quarantine_.apply_news(news)
    # Only the part that is left is blamed now, whatever comes with it.
    verdict = other.state.prompt_quarantine_.verdict(keys("new", "bad"))
    assert verdict.action is QuarantineAction.REFUSE


def test_a_case_that_arrives_after_an_answer_that_clears_it_is_void():
    entry = Entry()
    quarantine = entry.state.prompt_quarantine_
    quarantine.record_answered(keys("sound", "shared"), begun_at=9.0)
    reports = [
        LostRunReport(n, f"d{n}", f"e{n}", ["shared"], age_ms=age_ms)
        for n, age_ms in enumerate((5_000.0, 4_000.0, 3_000.0))
    ]
    quarantine.apply_news(PromptNews(lost=reports))
    assert not quarantine.cases_.has_cases(keys("new", "shared"))


def test_a_new_peer_is_not_told_of_parts_that_were_cleared():
    # It refused every request with a first part that all others knew to be harmless.
    entry = Entry()
    for number in range(4):
        lose(
            entry, f"endpoint-{number}", keys(f"d{number}", "shared", f"part-{number}")
        )
        entry.now += 1.0
    quarantine = entry.state.prompt_quarantine_
    quarantine.record_answered(keys("sound", "shared"), begun_at=entry.now)
    other = Entry()
    other.now = 1_000.0
    other.state.prompt_quarantine_.apply_news(quarantine.news_for_new_peer())
    for known in (quarantine, other.state.prompt_quarantine_):
        verdict = known.verdict(keys("new", "shared", "other"))
        assert verdict.action is QuarantineAction.RUN
