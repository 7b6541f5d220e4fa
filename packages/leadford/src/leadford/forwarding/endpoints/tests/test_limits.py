"""All entries together stay within the limit that an endpoint names."""

import pytest

from leadford.common import EndpointId, EntryId
from leadford.forwarding.endpoints import EndpointLimits, LimitObservation

ID = EndpointId("e")
# In any window of this length, an endpoint accepts one and a half times its limit, plus
# five requests.
WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
STEP_S = 0.02


def fleet(count):
    ids = {EntryId(f"entry-{number}") for number in range(count)}
    entries = [EndpointLimits(entry_id=entry_id) for entry_id in sorted(ids)]
    for entry in entries:
        entry.set_entries(ids)
    return entries


def name_limit(entries, per_s, now):
    for entry in entries:
        entry.record_answer(ID, per_s, sent_at=now - 0.1, now=now)


def sent_between(entries, began_at, ends_at, *, is_sole_sender=False):
    """Return the times of all requests if all entries send as many as they may."""
    times = []
    steps = round((ends_at - began_at) / STEP_S)
    for step in range(steps):
        now = began_at + step * STEP_S
        for entry in entries:
            while entry.wait_s(ID, now, is_sole_sender=is_sole_sender) <= 0.0:
                entry.record_sent(ID, now, is_sole_sender=is_sole_sender)
                times.append(now)
    return times


def most_in_a_window(times):
    return max(sum(t <= s < t + WINDOW_S for s in times) for t in times)


@pytest.mark.parametrize("count", [1, 2, 4, 5, 30, 350])
@pytest.mark.parametrize("per_s", [0.4, 1.0, 1.4, 10.0])
def test_all_entries_together_keep_to_a_limit(count, per_s):
    entries = fleet(count)
    name_limit(entries, per_s, 10.0)
    times = sent_between(entries, 10.0, 26.0)
    assert most_in_a_window(times) <= LIMIT_FACTOR * per_s * WINDOW_S + LIMIT_SLACK
    assert len(times) >= 0.9 * per_s * 16.0


def test_a_limit_is_kept_while_entries_come_and_go():
    entries = fleet(5)
    name_limit(entries, 1.0, 10.0)
    times = []
    for change in range(16):
        began_at = 10.0 + change
        for entry in entries:
            entry.set_entries({e.entry_id for e in entries[: 4 + change % 2]})
        times += sent_between(entries[: 4 + change % 2], began_at, began_at + 1.0)
    assert most_in_a_window(times) <= LIMIT_FACTOR * WINDOW_S + LIMIT_SLACK


def test_the_one_entry_that_calls_an_endpoint_has_the_whole_rate():
    (entry, *_) = fleet(30)
    name_limit([entry], 2.0, 10.0)
    times = sent_between([entry], 10.0, 18.0, is_sole_sender=True)
    assert 16 <= len(times) <= 18


def test_an_endpoint_that_takes_nothing_is_asked_now_and_then():
    entries = fleet(5)
    name_limit(entries, 0.0, 10.0)
    times = sent_between(entries, 10.0, 50.0)
    assert most_in_a_window(times) <= LIMIT_SLACK
    assert len(times) >= 5


def test_only_an_answer_to_a_later_request_ends_a_limit():
    (entry,) = fleet(1)
    name_limit([entry], 1.0, 10.0)
    # Sent before the limit was named, and answered out of order.
    entry.record_answer(ID, None, sent_at=9.9, now=10.2)
    assert entry.is_limited(ID)
    entry.record_answer(ID, None, sent_at=10.5, now=10.6)
    assert not entry.is_limited(ID)
    assert entry.wait_s(ID, 10.6) == 0.0


def test_a_limit_that_changes_does_not_allow_more_at_once():
    (entry,) = fleet(1)
    times = []
    for number in range(40):
        now = 10.0 + number / 10.0
        name_limit([entry], 1.0 + number % 3 / 10.0, now)
        times += sent_between([entry], now, now + 0.1)
    assert len(times) <= 1 + 4 * 1.2


def test_entries_without_a_part_hear_of_a_limit_and_of_its_end():
    first, second = fleet(2)
    first.record_answer(ID, 1.0, sent_at=9.9, now=10.0)
    second.record_report(*first.reportable(10.0))
    assert second.is_limited(ID)
    first.record_answer(ID, None, sent_at=11.0, now=11.1)
    second.record_report(*first.reportable(11.2))
    assert not second.is_limited(ID)
    # A late report changes nothing that is newer.
    second.record_report(LimitObservation(ID, 1.0, 10.5))
    assert not second.is_limited(ID)
    assert second.reportable(30.0) == []


def test_an_entry_without_a_part_asks_by_itself_once_nobody_tells_of_the_limit():
    entries = fleet(9)
    name_limit(entries, 1.0, 10.0)
    apart = [entry for entry in entries if entry.wait_s(ID, 10.0) > 5.0]
    assert len(apart) == 5
    assert all(entry.wait_s(ID, 41.0) == 0.0 for entry in apart)


def test_endpoints_that_left_are_forgotten():
    (entry,) = fleet(1)
    name_limit([entry], 1.0, 10.0)
    entry.retain([], 20.0)
    assert entry.is_limited(ID)
    entry.retain([ID], 50.0)
    assert entry.is_limited(ID)
    entry.retain([], 50.0)
    assert not entry.is_limited(ID)
    assert entry.reportable(10.0) == []


@pytest.mark.parametrize("travel_s", [0.01, 0.25, 0.6])
def test_news_do_not_become_newer_by_travelling_to_and_fro(travel_s):
    """A limit that entries report to each other in heartbeats keeps its age.

    Entries report the age of a limit without the travel time of the message. So each
    heartbeat could make a limit newer at its receiver, and again at the sender; with
    0.25 s of travel time it became as new as the answers that ended it.
    """
    entries = fleet(2)
    name_limit(entries[:1], 1.0, 10.0)
    for beat in range(100):
        now = 10.0 + beat * 0.2
        told = [entry.reportable(now) for entry in entries]
        for entry, heard in zip(entries, reversed(told), strict=True):
            for limit in heard:
                late = LimitObservation(ID, limit.per_s, limit.known_at + travel_s)
                entry.record_report(late)
    assert entries[0].reportable(30.0) == [LimitObservation(ID, 1.0, 10.0)]
    # The answer to a request that took five seconds ends the limit.
    entries[0].record_answer(ID, None, sent_at=25.0, now=30.0)
    assert not entries[0].is_limited(ID)
