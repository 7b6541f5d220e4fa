"""Entries report the paces that differ to those that decide by them, in few bytes."""

import math
from types import SimpleNamespace

import pytest

from leadford.common import EntryId
from leadford.forwarding.endpoints import MeasuredPace
from leadford.protocol import PROTOCOL_LOAD, PaceNews, PaceReport, encode
from leadford_server.forwarding._state import ForwardBounds
from leadford_server.forwarding.membership._heartbeats import (
    PACES_HEARTBEAT_DIVISOR,
    Heartbeats,
)
from leadford_server.forwarding.membership._links import HEARTBEAT_INTERVAL_S
from leadford_server.forwarding.membership._paces import PaceExchange
from leadford_server.forwarding.tests.test_state import Clock, new_state
from leadford_server.metrics import ENDPOINT_PACE_AGE_SECONDS, MALFORMED_REPORTS_TOTAL
from leadford_standins.records import endpoint_record

NAME = "i-{:08x}@1764777000000"
# Endpoints of the largest fleet.
ENDPOINTS = 1_500
# Fraction of the slowest link of an entry, of 5 Mbit/s, that reports may take there.
MAX_BYTES_PER_S = 0.02 * 5e6 / 8.0


def exchange(count, pace=None, service="s", now=10.0):
    """Return the exchange of an entry that measured its endpoints, if a pace is given.

    Each endpoint was measured a little later than the one before.
    """
    state = new_state(Clock(now), ForwardBounds())
    for number in range(count):
        listed = endpoint_record(NAME.format(number), service=service).listed
        state.roster_.record_listed(listed)
        if pace is not None:
            record = state.roster_.record(listed.endpoint_id)
            measured_at = now - 0.5 + number / 10_000.0
            for _ in range(20):
                record.pace_.record_reported(1.0, measured_at)
                record.pace_.record_measured(pace, measured_at)
    return PaceExchange(state=state)


def peer(name, version=PROTOCOL_LOAD):
    sent = []
    info = SimpleNamespace(peer_id=name, protocol_version=version)
    return SimpleNamespace(info=info, send=sent.append, sent=sent)


def test_paces_reach_another_entry_and_expire_there():
    sender, receiver = exchange(3, 1.7), exchange(3)
    news = sender.make()
    assert len(news.paces) == 3
    receiver.record(EntryId("sender"), news)
    record = receiver.state.roster_.record(NAME.format(1))
    assert record.pace(10.0) == pytest.approx(1.7, rel=0.06)
    assert record.pace(14.0) == 1.0
    # What others measured is not reported as a measurement of this entry.
    assert receiver.make() is None


def test_usual_paces_are_not_reported():
    assert exchange(3, 1.1).make() is None
    assert exchange(3).make() is None


def test_reports_of_unknown_endpoints_are_skipped_and_absurd_ones_counted():
    receiver = exchange(1, service="absurd")
    known = NAME.format(0)
    counter = MALFORMED_REPORTS_TOTAL.labels("absurd")
    before = counter._value.get()
    absurd = [
        PaceReport(known, ratio, samples, age_ms)
        for ratio, samples, age_ms in (
            (math.nan, 5, 1.0),
            (-3.0, 5, 1.0),
            (1e12, 5, 1.0),
            (1.7, -5, 1.0),
            (1.7, 5, math.inf),
        )
    ]
    unknown = PaceReport("unknown", 1.7, 5, 1.0)
    receiver.record(EntryId("n"), PaceNews([unknown, *absurd]))
    assert counter._value.get() - before == len(absurd)
    assert not receiver.state.roster_.record(known).pace_.is_reported_
    receiver.record(EntryId("n"), PaceNews([PaceReport(known, 1.7, 5, -1e9)]))
    assert receiver.state.roster_.record(known).pace(14.0) == 1.0


def test_only_entries_that_decide_get_paces_and_these_tell_all():
    sender = exchange(1, 1.7)
    news = sender.make()
    scheduler, other = peer("scheduler"), peer("other")
    addressed = sender.address(news, {EntryId("scheduler")})
    for each in (scheduler, other):
        addressed.send(each)
    assert (scheduler.sent, other.sent) == ([news], [])
    sender.address(news, {sender.state.entry_id}).send(other)
    assert other.sent == [news]


def test_an_older_build_gets_no_paces():
    sender = exchange(1, 1.7)
    older = peer("older", PROTOCOL_LOAD - 1)
    sender.address(sender.make(), {EntryId("older")}).send(older)
    sender.address(sender.make(), {sender.state.entry_id}).send(older)
    assert older.sent == []


def test_reports_of_a_large_fleet_are_bounded_in_bytes():
    """Every one of 1,500 endpoints is slow, and was measured since the last report."""
    news = exchange(ENDPOINTS, 1.7).make()
    assert len(news.paces) == 64
    size = len(encode(1, [news])) - len(encode(1, []))
    per_s = size / (PACES_HEARTBEAT_DIVISOR * HEARTBEAT_INTERVAL_S)
    print(f"{size} bytes, {per_s:.0f} bytes per second and link")
    assert per_s < MAX_BYTES_PER_S


def test_paces_go_with_heartbeats_that_every_link_carries():
    heartbeats = Heartbeats(entry_id=EntryId("e"), state=None, stages=None)
    carried = []
    for number in range(1, 13):
        if heartbeats.next_carries_paces:
            carried.append(number)
        heartbeats.heartbeat_count_ += 1
    assert carried == [4, 8, 12]


def test_the_age_of_the_oldest_estimate_is_measured():
    sender = exchange(3, 1.7, service="aged")
    record = sender.state.roster_.record(NAME.format(0))
    record.pace_.record_peer(EntryId("n"), MeasuredPace(1.7, 3, 9.9))
    sender.make()
    age_s = ENDPOINT_PACE_AGE_SECONDS.labels("aged")._value.get()
    assert age_s == pytest.approx(0.5, abs=0.001)
